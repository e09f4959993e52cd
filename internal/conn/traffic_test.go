package conn

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/testkit"
)

// Bytes that are not counted make a saturated link look idle. What one end counts as sent the other
// must count as received, on connections from callers and to upstreams, also when one is reused.
func TestBothEndsCountTheSameBytes(t *testing.T) {
	var server Traffic
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	s.Listener = server.Listener(s.Listener)
	s.Start()
	defer s.Close()
	p := NewPool()
	address := s.Listener.Addr().(*net.TCPAddr).String()
	for range 2 {
		c, err := p.Get(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		body := make([]byte, 100_000)
		if err := c.Write(&Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: bytes.NewReader(body), Length: int64(len(body))}); err != nil {
			t.Fatal(err)
		}
		resp, err := c.ReadResponse("POST")
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != int64(len(body)) {
			t.Fatalf("read %d bytes, error %v, want %d", n, err, len(body))
		}
		p.Put(c)
	}
	// A write is counted after it has returned, by which time the other end may have read the bytes.
	testkit.Eventually(t, 5*time.Second, "both ends have counted the same bytes", func() bool {
		sent, received := p.Traffic.Sent.Load(), p.Traffic.Received.Load()
		return sent >= 200_000 && received >= 200_000 && sent == server.Received.Load() && received == server.Sent.Load()
	})
}
