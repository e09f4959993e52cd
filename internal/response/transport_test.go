package response

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// A server sends valid responses, byte by byte, and then an invalid one on the same connection. The head of each response
// must be checked, and only the head: a body may look like an invalid head.
func TestHeadsAreCheckedOnKeptConnections(t *testing.T) {
	const body = "\r\nX Trouble: 1\r\n\r\n"
	responses := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n" + body,
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n" + body + "\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\nX-A: b\n X-Trouble: 1\nContent-Length: 18\n\n" + body,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var connections atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			in := bufio.NewReader(c)
			for _, text := range responses {
				if _, err := http.ReadRequest(in); err != nil {
					break
				}
				for k := range len(text) {
					_, _ = c.Write([]byte{text[k]}) // an error means that the client has disconnected
				}
			}
			c.Close()
		}
	}()
	client := http.Client{Transport: NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
	for k := range responses {
		resp, err := client.Get("http://" + ln.Addr().String())
		if k == len(responses)-1 {
			if err == nil {
				t.Errorf("a broken head: read as a response with header %v", resp.Header)
			}
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
			t.Errorf("response %d: body %q, error %v", k, got, err)
		}
		resp.Body.Close()
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections, want one that is used again", n)
	}
}

// A platform is reached by HTTPS. The encrypted bytes of the connection must not be checked as a head.
func TestResponsesByHTTPSAreRead(t *testing.T) {
	broken := false
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !broken {
			_, _ = io.WriteString(w, "the body") // the test fails if it is short
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nX Trouble: 1\r\n\r\nthe body") // as above
	}))
	defer server.Close()
	config := server.Client().Transport.(*http.Transport).TLSClientConfig
	client := http.Client{Transport: NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: config})}
	for _, broken = range []bool{false, true} {
		resp, err := client.Get(server.URL)
		if broken {
			if !errors.Is(err, ErrInvalid) {
				t.Errorf("a broken head: error %v, want ErrInvalid", err)
			}
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "the body" {
			t.Errorf("body %q, error %v", got, err)
		}
		resp.Body.Close()
	}
}

// A server sends a response on a new connection before it gets a request. It must not be read as the response to it.
func TestAResponseBeforeTheRequestIsRejected(t *testing.T) {
	c := &headConn{Conn: arrived{}}
	if _, err := c.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	c.expectHead()
	if _, err := c.Read(make([]byte, 8)); !errors.Is(err, ErrInvalid) {
		t.Errorf("error %v, want ErrInvalid", err)
	}
}

// arrived is a connection on which bytes have arrived.
type arrived struct{ net.Conn }

// Read implements net.Conn.
func (arrived) Read(p []byte) (int, error) { return copy(p, "HTTP/1.1"), nil }
