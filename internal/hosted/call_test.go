package hosted

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// fakeWire supports only requests for an upstream's report, and decodes each response to an
// empty report.
type fakeWire struct{ Wire }

func (fakeWire) ReportCall() UpstreamCall {
	return UpstreamCall{Method: http.MethodGet, Target: "/state"}
}
func (fakeWire) DecodeReport([]byte) (Report, error) { return Report{}, nil }
func (fakeWire) DecodeResponse(resp *http.Response, id string) Response {
	return Response{Matches: resp.Header.Get("Attempt-Id") == id}
}

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

// The body of a report is longer than the limit. The connection must not be used again: its next response would be
// read from the rest of the body.
func TestACallWithATooLongBodyEndsItsConnection(t *testing.T) {
	var connections atomic.Int64
	upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(2*maxCallResponse))
		_, _ = w.Write(make([]byte, 2*maxCallResponse)) // an error means that the caller has disconnected
	}))
	upstream.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	upstream.Start()
	defer upstream.Close()
	s := &server{wire: fakeWire{}, conns: conn.NewPool(), gate: forward.New(forward.Options{}), metrics: metrics.NewMetrics(), log: hclog.NewNullLogger()}
	s.paths = pathsWithoutPeers(s)
	const calls = 2
	for range calls {
		_, err := s.requestReport(t.Context(), strings.TrimPrefix(upstream.URL, "http://"))
		var over *conn.LimitError
		if !errors.As(err, &over) || over.Part != conn.PartBody {
			t.Errorf("error %v, want a LimitError of the body", err)
		}
	}
	if n := connections.Load(); n != calls {
		t.Errorf("%d connections for %d calls, want a new one for each", n, calls)
	}
}

// A late second response to a caller's request arrives where a report, or the response to an order to move, is due. It must
// not be taken for that, nor that for the response to the next call on the connection.
func TestALateResponseIsNotThatToACall(t *testing.T) {
	connections := map[string]int{}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connections[r.RemoteAddr]++; len(connections) == 1 {
			w.Header().Set("Attempt-Id", "another")
		}
	}))
	defer upstream.Close()
	s := &server{wire: fakeWire{}, conns: conn.NewPool(), gate: forward.New(forward.Options{}), metrics: metrics.NewMetrics(), log: hclog.NewNullLogger()}
	s.paths = pathsWithoutPeers(s)
	address := strings.TrimPrefix(upstream.URL, "http://")
	for _, want := range []error{errOtherRequest, nil} {
		if _, err := s.requestReport(t.Context(), address); !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
	}
	if len(connections) != 2 {
		t.Errorf("%d connections, want another one after the late response", len(connections))
	}
	for id, want := range map[string]error{"own": errOtherRequest, "another": nil} {
		clear(connections)
		s.conns = conn.NewPool()
		if _, err := s.call(t.Context(), address, UpstreamCall{Method: http.MethodPost, Target: "/move", Body: []byte("{}"), Request: id}); !errors.Is(err, want) {
			t.Errorf("call about %s: error %v, want %v", id, err, want)
		}
	}
}
