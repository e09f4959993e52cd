package response

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// A server sends sound responses, byte by byte, and then a broken one on the same connection. The head of each response
// must be checked, and nothing else: a body may look like a broken head.
func TestHeadsAreCheckedOnKeptConnections(t *testing.T) {
	const body = "\r\nX Trouble: 1\r\n\r\n"
	responses := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n" + body,
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n" + body + "\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 18\nX Trouble: 1\n\n" + body,
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
