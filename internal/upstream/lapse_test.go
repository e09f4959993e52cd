package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// An entry decides to send a call while its grant is valid, and is paused before the call is
// sent. When the entry continues, the grant has expired and the upstream may be leaving. The
// call must not be sent, and the core must receive one failure that says so.
func TestPromise5LapsedGrantIsNotSent(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer srv.Close()
	for _, engine := range []bool{true, false} {
		events := make(chan core.Event, 10)
		c := NewClient(func(ev core.Event) { events <- ev })
		c.Run(context.Background(), core.Dispatch{
			Attempt: "a", Address: srv.Listener.Addr().String(), Engine: engine, Method: http.MethodPost, Path: "/v1/completions",
			Body: []byte(`{"model":"m","prompt":"p"}`), SendBefore: time.Now().Add(-time.Millisecond), Timeout: time.Second,
		})
		ev := <-events
		testkit.Eventually(t, time.Minute, "the client has no call in progress", func() bool { return c.Running() == 0 })
		if f, ok := ev.(core.UpstreamFailed); !ok || f.Sent || calls.Load() != 0 || len(events) != 0 {
			t.Errorf("engine=%v: %d calls arrived, first event %+v, %d further events; want no call and one UpstreamFailed with Sent false", engine, calls.Load(), ev, len(events))
		}
	}
}
