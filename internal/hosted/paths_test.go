package hosted

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// pathsWithoutPeers returns the paths of an instance that is alone.
func pathsWithoutPeers(s *server) *paths {
	p := newPaths(s, metrics.NewMetrics(), hclog.NewNullLogger())
	p.tunnelPeers = func(string, map[string]int) []msg.Heartbeat { return nil }
	return p
}

// An instance alone that reaches no upstream may have lost its paths: it must accuse none. If it reaches a
// neighbour, the upstream is down.
func TestAnInstanceAloneWithoutPathsAccusesNoUpstream(t *testing.T) {
	neighbour := httptest.NewServer(http.NotFoundHandler())
	defer neighbour.Close()
	const gone = "127.0.0.1:1"
	up := strings.TrimPrefix(neighbour.URL, "http://")
	for _, c := range []struct {
		name    string
		reached bool
		want    finding
	}{
		{"no path", false, findingUnknown},
		{"a neighbour is reached", true, findingDown},
	} {
		s := newTestServer(gone)
		s.decide(func(now time.Time, g *forward.Gate) {
			g.Roster().Update(now, []roster.Change{{ID: "u1", Version: 2, Valid: true, Entry: roster.Entry{ID: "u1", Service: "pool", Address: up, DataCentre: "dc-a", Born: 7}}}, 2)
		})
		s.paths.direct = func(ctx context.Context, address string) (net.Conn, error) {
			if address == up && c.reached {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		if got := s.paths.check(gone); got != c.want {
			t.Errorf("%s: finding %q, want %q", c.name, got, c.want)
		}
	}
}

// A request that is sent on an idle connection whose path is lost fails, and may not be repeated. Those to
// the upstream are closed, and those to all once the instance is isolated.
func TestIdleConnectionsOnLostPathsAreClosed(t *testing.T) {
	upstream := httptest.NewServer(http.NotFoundHandler())
	defer upstream.Close()
	listening := strings.TrimPrefix(upstream.URL, "http://")
	s := newTestServer(listening)
	errDialled := errors.New("dialled")
	s.paths.direct = func(context.Context, string) (net.Conn, error) { return nil, errDialled }
	idle := func(address string) bool {
		c, err := s.conns.Get(t.Context(), address)
		if err == nil {
			s.conns.Put(c)
		}
		return err == nil
	}
	for _, address := range []string{"a", "b", "c"} {
		c, err := net.Dial("tcp", listening)
		if err != nil {
			t.Fatal(err)
		}
		s.conns.Adopt(c, address)
	}
	s.paths.bypassed("a", "other", errDialled)
	if idle("a") || !idle("b") || !idle("c") {
		t.Error("want the idle connection on the lost path closed, and no other one")
	}
	s.paths.bypassed("b", "other", errDialled)
	if idle("c") {
		t.Error("an isolated instance keeps an idle connection")
	}
}

// That an upstream is down must be confirmed again and again: it may have started again when this instance loses
// its path to it.
func TestAnUpstreamIsNotDownForEverByOneInstance(t *testing.T) {
	neighbour := httptest.NewServer(http.NotFoundHandler())
	defer neighbour.Close()
	up := strings.TrimPrefix(neighbour.URL, "http://")
	const gone = "127.0.0.1:1"
	s := newTestServer(gone)
	s.paths.witness = func(string) string { return up }
	reached := true
	s.paths.direct = func(ctx context.Context, address string) (net.Conn, error) {
		if address == up && reached {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	if f := s.paths.check(gone); f != findingDown {
		t.Fatalf("finding %q, want down", f)
	}
	reached = false
	for end := time.Now().Add(1300 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s.paths.check(gone)
	}
	if f := s.paths.check(gone); f != findingUnknown {
		t.Errorf("finding %q after a second without a neighbour, want unknown", f)
	}
}
