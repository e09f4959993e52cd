package conn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// A connection is used again on which a message was not written or read to its end, or after which more has arrived.
// The rest of that message is then taken for the beginning of the next.
func TestOnlyProvedConnectionsAreUsedAgain(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		response string
		// length is the declared length of a request body of 4 bytes, read what is read of the response.
		length, read int64
		reused       bool
	}{
		"whole":             {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 4, 5, true},
		"in chunks":         {chunks, UnknownLength, 5, true},
		"no body":           {"HTTP/1.1 204 No Content\r\n\r\n", 4, 0, true},
		"after 100":         {"HTTP/1.1 100 Continue\r\n\r\n" + chunks, 4, 5, true},
		"end not read":      {chunks, 4, 3, false},
		"cut off":           {chunks[:len(chunks)-5], 4, 9, false},
		"no response":       {"", 4, 0, false},
		"no length":         {"HTTP/1.1 200 OK\r\n\r\nbody", 4, 5, false},
		"closing":           {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", 4, 5, false},
		"another response":  {chunks + chunks, 4, 5, false},
		"another protocol":  {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", 4, 0, false},
		"request not whole": {chunks, 9, 5, false},
	} {
		ours, theirs := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, theirs) }() // ends with the test
		go func() {
			_, _ = io.WriteString(theirs, c.response) // the test may have closed its end
			if c.response == "" || name == "cut off" || name == "no length" {
				theirs.Close()
			}
		}()
		p := NewPool()
		p.Dial = func(context.Context, string) (net.Conn, error) { return ours, nil }
		got, err := p.Get(t.Context(), "peer")
		if err != nil {
			t.Fatal(err)
		}
		_ = got.Write(&Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: strings.NewReader("body"), Length: c.length}) // may fail
		if resp, err := got.ReadResponse("POST"); err == nil {
			_, _ = io.CopyN(io.Discard, resp.Body, c.read) // may break off
		}
		p.Put(got)
		if reused := len(p.idle["peer"]) == 1; reused != c.reused {
			t.Errorf("%s: kept %v, want %v", name, reused, c.reused)
		}
		ours.Close()
		theirs.Close()
	}
}

// A request whose caller has left takes an idle connection. It may be written before the connection is closed.
func TestNoConnectionIsGivenOnceTheContextHasEnded(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	p := NewPool()
	p.Adopt(ours, "peer")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.Get(ctx, "peer"); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v", err, context.Canceled)
	}
}
