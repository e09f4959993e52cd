package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// testTimeout limits every wait in these tests.
const testTimeout = 10 * time.Second

// newTestClient starts a server with the given handler. It returns a client, the server's
// address and the channel that receives the client's events.
func newTestClient(t *testing.T, h http.HandlerFunc) (*Client, string, chan core.Event) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	events := make(chan core.Event, 100)
	return NewClient(func(e core.Event) { events <- e }), srv.Listener.Addr().String(), events
}

// next returns the next event.
func next(t *testing.T, events chan core.Event) core.Event {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(testTimeout):
		t.Fatal("no event received within the timeout")
		return nil
	}
}

// A call that the core has closed, or that a new connection of the same attempt has replaced,
// must report no failure: the failure would be attributed to the new connection. Ended calls
// must be removed, or the map of calls would grow without limit.
func TestPromise1ClosedCallReportsNothing(t *testing.T) {
	var calls atomic.Int64
	c, address, events := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set(headerBoot, "run-1")
		fmt.Fprint(w, "data: {\"index\":0,\"choices\":[{\"text\":\"a\"}]}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	d := core.Dispatch{Attempt: "a", Address: address, Engine: true, Method: http.MethodPost, Path: "/", Body: []byte("{}"), Timeout: testTimeout, Link: 1}
	c.Run(context.Background(), d)
	if tok, ok := next(t, events).(core.UpstreamToken); !ok || tok.Link != 1 || tok.Boot != "run-1" {
		t.Fatalf("first event = %+v, want a token on link 1 from boot run-1", tok)
	}
	d.Link, d.Resume = 2, true
	c.Run(context.Background(), d)
	if tok, ok := next(t, events).(core.UpstreamToken); !ok || tok.Link != 2 {
		t.Fatalf("first event after the second Run = %+v, want a token on link 2", tok)
	}
	c.Close("a")
	testkit.Eventually(t, testTimeout, "the client has no call in progress", func() bool { return c.Running() == 0 })
	select {
	case e := <-events:
		t.Errorf("event after Close: %+v, want none", e)
	case <-time.After(50 * time.Millisecond):
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("%d calls arrived at the upstream, want 2", n)
	}
}

// A call that fails before it has a connection must be reported as not sent. A refused
// connection must be reported as refused, which distinguishes a crashed upstream from an
// unreachable network. A call whose grant has expired must not be sent.
func TestPromise3SentOnlyIfConnected(t *testing.T) {
	var calls atomic.Int64
	c, address, events := newTestClient(t, func(http.ResponseWriter, *http.Request) { calls.Add(1); panic(http.ErrAbortHandler) })
	const refusingAddress = "127.0.0.1:1" // a port that no test server ever listens on
	cases := []struct {
		name           string
		d              core.Dispatch
		sent, notFound bool
	}{
		{"aborted", core.Dispatch{Address: address}, true, false},
		{"refused", core.Dispatch{Address: refusingAddress}, false, false},
		{"refused while resuming", core.Dispatch{Address: refusingAddress, Resume: true}, false, true},
		{"grant expired", core.Dispatch{Address: address, SendBefore: time.Now().Add(-time.Second)}, false, false},
	}
	for _, tc := range cases {
		tc.d.Attempt, tc.d.Engine, tc.d.Method, tc.d.Path, tc.d.Body, tc.d.Timeout = tc.name, true, http.MethodPost, "/", []byte("{}"), testTimeout
		c.Run(context.Background(), tc.d)
		f, ok := next(t, events).(core.UpstreamFailed)
		if !ok || f.Sent != tc.sent || f.NotFound != tc.notFound {
			t.Errorf("%s: event = %+v, want UpstreamFailed with Sent %t and NotFound %t", tc.name, f, tc.sent, tc.notFound)
		}
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("%d calls arrived at the upstream, want only the aborted call", n)
	}
	c.Poll(context.Background(), "engine-1", refusingAddress)
	if s, ok := next(t, events).(core.PollFailed); !ok || !s.Refused {
		t.Errorf("poll of a port without a listener: %+v, want PollFailed with Refused", s)
	}
}
