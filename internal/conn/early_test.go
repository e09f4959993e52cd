package conn

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A server responds before it has read the request, without a length, and resets the connection while the rest is
// written. The kernel reports the reset to the write alone: to the read, the connection looks closed in order, and the
// part that arrived must not count as the whole body. After the whole request, a body may end with its connection.
func TestABodyIsNotEndedByAConnectionThatAWriteHasLost(t *testing.T) {
	const head, part = "HTTP/1.1 200 OK\r\n\r\n", "a part of the body"
	for _, early := range []bool{true, false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			read := int64(1000)
			if !early {
				read = int64(len("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n") + 200_000)
			}
			_, _ = io.CopyN(io.Discard, c, read) // the test fails if it is short
			_, _ = io.WriteString(c, head+part)  // as above
			if early {
				_ = c.(*net.TCPConn).SetLinger(0) // as above
			}
		}()
		c, err := NewPool().Get(t.Context(), ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		body := io.Reader(strings.NewReader(strings.Repeat("x", 200_000)))
		if early {
			body = io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), &afterEnd{ended}, strings.NewReader(strings.Repeat("x", 100_000)))
		}
		err = c.Write(&Request{Method: "POST", Target: "/", Host: "h", Body: body, Length: 200_000})
		if (err != nil) != early {
			t.Fatalf("early response %v: the write ended with error %v", early, err)
		}
		resp, err := c.ReadResponse("POST")
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		if string(got) != part || (err != nil) != early {
			t.Errorf("early response %v: body %q, error %v", early, got, err)
		}
	}
}

// afterEnd reads nothing and ends shortly after a channel is closed.
type afterEnd struct{ ended chan struct{} }

// Read implements io.Reader.
func (a *afterEnd) Read([]byte) (int, error) {
	<-a.ended
	time.Sleep(20 * time.Millisecond) // until the reset has arrived
	return 0, io.EOF
}

// A server has read the whole request, responds without a length and closes, before the write of the request has returned,
// as on a busy machine. The response is complete.
func TestABodyEndsWithItsConnectionBeforeTheWriteReturns(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const body, response = 100 * readBufferSize, "HTTP/1.1 200 OK\r\n\r\nthe whole body"
	head := "POST / HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("x", readBufferSize) + "\r\nContent-Length: 409600\r\n\r\n"
	head = strings.Replace(head, "x", "", len(head)%readBufferSize) // its writes end with a full buffer
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.CopyN(io.Discard, c, int64(len(head)+body)) // the test fails if it is short
		_, _ = io.WriteString(c, response)                    // as above
	}()
	c, err := NewPool().Get(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	written := make(chan error, 1)
	filler := strings.TrimSuffix(strings.SplitN(strings.SplitN(head, "X-Filler: ", 2)[1], "\r\n", 2)[0], "\r")
	go func() {
		written <- c.Write(&Request{
			Method: "POST", Target: "/", Host: "h", Header: map[string][]string{"X-Filler": {filler}}, Length: body,
			Body: io.MultiReader(strings.NewReader(strings.Repeat("x", body)), &afterEnd{ended}),
		})
	}()
	resp, err := c.ReadResponse("POST")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); string(got) != "the whole body" || err != nil {
		t.Errorf("body %q, error %v, want the whole body", got, err)
	}
	if err := <-written; err != nil {
		t.Errorf("the write ended with error %v", err)
	}
}

// A server reads a part of a request, responds without a length and closes in order. The rest of the request is written
// after that, into the buffers of the kernel, without an error. It came too late to prove that the response is complete.
func TestABodyDoesNotEndBeforeTheLastWriteOfItsRequest(t *testing.T) {
	const first, last = 100_000, 1000
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101000\r\n\r\n"
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.CopyN(io.Discard, c, int64((len(head)+first)/readBufferSize*readBufferSize)) // the test fails if it is short
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part")                              // as above
	}()
	c, err := NewPool().Get(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	written := make(chan error, 1)
	go func() {
		written <- c.Write(&Request{
			Method: "POST", Target: "/", Host: "h", Length: first + last,
			Body: io.MultiReader(strings.NewReader(strings.Repeat("x", first)), &afterEnd{ended}, strings.NewReader(strings.Repeat("x", last))),
		})
	}()
	resp, err := c.ReadResponse("POST")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("body %q is complete, want an error", got)
	}
	<-written // with or without an error
}
