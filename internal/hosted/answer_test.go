package hosted

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/memory"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// copyNothing is a Wire that copies no headers.
type copyNothing struct{ Wire }

func (copyNothing) CopyHeaders(_, _ http.Header, _ bool) {}

// Without memory for a response it is forwarded as it arrives. It must not be lost, and nothing of an
// error response may be forwarded that is not read in full.
func TestResponseWithoutMemory(t *testing.T) {
	m := metrics.NewMetrics()
	s := &server{wire: copyNothing{}, metrics: m, memory: newMemoryAccount(0, m, hclog.NewNullLogger()), gate: forward.New(forward.Options{})}
	s.memory.newHold().charge(memory.Streams, 1<<30)
	s.memory.newHold().charge(memory.Responses, memory.LimitsFor(0).Guaranteed[memory.Responses])
	for status, want := range map[int]forward.Outcome{http.StatusOK: forward.Done, http.StatusInternalServerError: forward.Lost} {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)
		ctx, cancel := context.WithCancelCause(t.Context())
		x := &exchange{server: s, w: w, r: r, ctx: ctx, cancel: cancel, hold: s.memory.newHold(), call: &forward.Call{Route: &route.Route{}}}
		x.out = newOutput(x, true)
		body := strings.Repeat("x", 100_000)
		got, err := x.forwardResponse(nil, nil, &http.Response{StatusCode: status, ContentLength: -1, TransferEncoding: []string{"chunked"}, Body: io.NopCloser(strings.NewReader(body))}, Response{Signed: true})
		if got != want || want == forward.Done && w.Body.String() != body || want == forward.Lost && w.Body.Len() > 0 {
			t.Errorf("status %d: outcome %s (%v) with %d bytes forwarded, want %s", status, got, err, w.Body.Len(), want)
		}
		cancel(nil)
	}
}

// Another upstream responds to a stream that goes on without events. Its body must not follow the events that the
// caller has.
func TestAResumedStreamGetsNoOtherBody(t *testing.T) {
	m := metrics.NewMetrics()
	s := &server{wire: copyNothing{}, metrics: m, memory: newMemoryAccount(0, m, hclog.NewNullLogger()), gate: forward.New(forward.Options{})}
	for _, status := range []int{http.StatusMovedPermanently, http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError} {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)
		x := &exchange{server: s, w: w, r: r, ctx: t.Context(), hold: s.memory.newHold(), call: &forward.Call{Route: &route.Route{Kind: route.Stream}}, headSent: true}
		got, err := x.forwardResponse(nil, nil, &http.Response{StatusCode: status, ContentLength: 4, Body: io.NopCloser(strings.NewReader("none"))}, Response{Signed: true})
		if got != forward.Failed || w.Body.Len() > 0 {
			t.Errorf("status %d: outcome %s (%v) with %q forwarded, want %s and nothing", status, got, err, w.Body, forward.Failed)
		}
	}
}
