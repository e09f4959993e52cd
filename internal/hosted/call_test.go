package hosted

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// fakeWire supports only requests for an upstream's report, and decodes each response to an
// empty report.
type fakeWire struct{ Wire }

func (fakeWire) ReportCall() UpstreamCall {
	return UpstreamCall{Method: http.MethodGet, Target: "/state"}
}
func (fakeWire) DecodeReport([]byte) (Report, error) { return Report{}, nil }

// A leaving upstream closes each connection immediately, while its report lags. An upstream that
// stays also closes a connection occasionally. If it were considered leaving because of that, all
// its generations would be moved without need.
func TestAnUpstreamThatClosesTwoConnectionsInARowIsLeaving(t *testing.T) {
	for _, c := range []struct {
		name    string
		closes  []bool
		leaving bool
	}{
		{"keeps its connections open", []bool{false}, false},
		{"closes one connection", []bool{true, false}, false},
		{"closes all connections", []bool{true, true}, true},
	} {
		requests := 0
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c.closes[min(requests, len(c.closes)-1)] {
				w.Header().Set("Connection", "close")
			}
			requests++
		}))
		s := &server{wire: fakeWire{}, conns: conn.NewPool(), gate: forward.New(forward.Options{})}
		s.paths = pathsWithoutPeers(s)
		r, err := s.probeLeaving(t.Context(), strings.TrimPrefix(upstream.URL, "http://"))
		if err != nil || r.Leaving != c.leaving || requests != len(c.closes) {
			t.Errorf("upstream that %s: Leaving = %v after %d requests, error %v; want Leaving only after two closed connections in a row", c.name, r.Leaving, requests, err)
		}
		upstream.Close()
	}
}
