package conn

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// repeated reads a text and then a unit without an end. It counts the bytes that were read.
type repeated struct {
	io.Reader
	unit string
	sent atomic.Int64
}

func (r *repeated) Read(p []byte) (n int, err error) {
	if n, err = r.Reader.Read(p); n == 0 {
		r.Reader = strings.NewReader(strings.Repeat(r.unit, 4096))
		n, err = r.Reader.Read(p)
	}
	r.sent.Add(int64(n))
	return n, err
}

// account is a Memory with a limit.
type account struct{ limit, used, most int }

func (a *account) Reserve(n int) bool {
	if a.used+n > a.limit {
		return false
	}
	a.used += n
	a.most = max(a.most, a.used)
	return true
}

func (a *account) Release(n int) { a.used -= n }

// respondWith returns a connection on which a peer sends what a reader delivers.
func respondWith(t *testing.T, from io.Reader, m Memory) *Conn {
	t.Helper()
	ours, theirs := net.Pipe()
	t.Cleanup(func() { ours.Close() })
	go func() {
		_, _ = io.Copy(theirs, from) // ends with an error when the test closes its end
		theirs.Close()
	}()
	p := NewPool()
	p.Memory = m
	p.Dial = func(context.Context, string) (net.Conn, error) { return ours, nil }
	c, err := p.Get(t.Context(), "peer")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A peer sends the head of a response without an end. Without a limit, the process takes as much memory as the
// peer sends, and the call does not end before its timeout.
func TestAHeadWithoutAnEndIsGivenUpAtItsLimit(t *testing.T) {
	for name, r := range map[string]*repeated{
		"one line":                {Reader: strings.NewReader("HTTP/1.1 200 OK\r\nX: "), unit: "x"},
		"no line":                 {Reader: strings.NewReader(""), unit: "x"},
		"fields":                  {Reader: strings.NewReader("HTTP/1.1 200 OK\r\n"), unit: "A:\r\nB:\r\n"},
		"informational responses": {Reader: strings.NewReader(""), unit: "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		m := &account{limit: 1 << 30}
		c := respondWith(t, r, m)
		began := time.Now()
		_, err := c.ReadResponse("GET")
		var over *LimitError
		if !errors.As(err, &over) || over.Part != PartHead || over.Limit != MaxResponseHead {
			t.Errorf("%s: error %v, want a LimitError of the head", name, err)
		}
		if sent := r.sent.Load(); sent > MaxResponseHead+(64<<10) || time.Since(began) > time.Second {
			t.Errorf("%s: ended after %d bytes and %v", name, sent, time.Since(began))
		}
		if want := (MaxResponseHead - HeadBuffer) * HeadCost; m.most != want {
			t.Errorf("%s: %d bytes of memory reserved, want %d", name, m.most, want)
		}
		c.Close()
		if m.used != 0 {
			t.Errorf("%s: %d bytes are still reserved", name, m.used)
		}
	}
}

// Many heads are longer than usual at the same time. What exceeds the memory of the process must not be read, and a
// head within its limit must be, whatever arrives of the body with it.
func TestAHeadIsReadWithinTheMemory(t *testing.T) {
	field := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	for _, c := range []struct {
		fields, limit int
		read          bool
	}{{0, 0, true}, {3, 0, true}, {20, 1 << 20, true}, {31, 1 << 20, true}, {20, 100 << 10, false}} {
		m := &account{limit: c.limit}
		body := strings.Repeat("b", 8<<10)
		head := "HTTP/1.1 200 OK\r\nContent-Length: 8192\r\n" + strings.Repeat(field, c.fields) + "\r\n"
		conn := respondWith(t, strings.NewReader(head+body), m)
		resp, err := conn.ReadResponse("GET")
		if !c.read {
			if !errors.Is(err, ErrNoMemory) {
				t.Errorf("%d bytes of head, %d of memory: error %v, want ErrNoMemory", len(head), c.limit, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%d bytes of head, %d of memory: %v", len(head), c.limit, err)
			continue
		}
		if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
			t.Errorf("%d bytes of head: body of %d bytes, error %v", len(head), len(got), err)
		}
		conn.Close()
		if m.used != 0 {
			t.Errorf("%d bytes of head: %d bytes are still reserved", len(head), m.used)
		}
	}
}

// BenchmarkReadResponse reads the head of a usual response to a call.
func BenchmarkReadResponse(b *testing.B) {
	const response = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Content-Type: application/json\r\nServer-Load: 3,0,8\r\nKeep-Alive: timeout=15\r\nContent-Length: 0\r\n\r\n"
	ours, theirs := net.Pipe()
	defer ours.Close()
	go func() {
		for block := []byte(strings.Repeat(response, 64)); ; {
			if _, err := theirs.Write(block); err != nil {
				return
			}
		}
	}()
	p := NewPool()
	p.Dial = func(context.Context, string) (net.Conn, error) { return ours, nil }
	c, err := p.Get(b.Context(), "peer")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.ReadResponse("GET"); err != nil {
			b.Fatal(err)
		}
	}
}
