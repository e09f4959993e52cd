package hosted

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/statement"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// silentWire is a fakeWire whose upstreams state nothing in their responses.
type silentWire struct{ fakeWire }

func (silentWire) DecodeStatement(*http.Response) statement.Statement { return statement.Statement{} }

func (silentWire) DecodeLoad(*http.Response) (*forward.Report, error) { return nil, nil }

// newTestServer returns a server that knows one upstream, "u0", at an address.
func newTestServer(address string) *server {
	g := forward.New(forward.Options{Name: "entry-1", DataCentre: "dc-a"})
	g.Roster().Update(boottime.Now(), []roster.Change{{ID: "u0", Version: 1, Valid: true, Entry: roster.Entry{
		ID: "u0", Service: "pool", Address: address, DataCentre: "dc-a", Born: 7,
	}}}, 1)
	s := &server{
		wire: silentWire{}, conns: conn.NewPool(), gate: g, metrics: metrics.NewMetrics(), log: hclog.NewNullLogger(),
		homes: homeLink{onLeaving: func() {}},
	}
	s.paths = pathsWithoutPeers(s)
	return s
}

// A probe is a request like any other: an upstream that has asked this instance for a pause must not
// receive one until the pause has ended.
func TestAPausedUpstreamIsNotProbed(t *testing.T) {
	probes := 0
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { probes++ }))
	defer upstream.Close()
	address := strings.TrimPrefix(upstream.URL, "http://")
	s := newTestServer(address)
	const pause = 200 * time.Millisecond
	s.decide(func(now time.Time, g *forward.Gate) { g.ObservePause(now, g.Roster().Find("u0"), pause) })
	if _, err := s.probeLeaving(t.Context(), address); !errors.Is(err, errNotPermitted) || probes != 0 {
		t.Errorf("%d probes in the pause, error %v; want none and %v", probes, err, errNotPermitted)
	}
	time.Sleep(pause)
	if _, err := s.probeLeaving(t.Context(), address); err != nil || probes == 0 {
		t.Errorf("%d probes after the pause, error %v; want one", probes, err)
	}
}

// An instance that has received no response of a leaving upstream itself, while the store is silent,
// learns it from another instance only. It must not send to that run any more.
func TestAnInstanceLearnsFromAnotherThatAnUpstreamLeaves(t *testing.T) {
	s := newTestServer("u0:80")
	leaving := func() (is bool) {
		s.decide(func(_ time.Time, g *forward.Gate) { is = !g.Roster().Find("u0").TakesWork() })
		return is
	}
	s.learnLeaving(msg.UpstreamLeaving{Upstream: "u0", Boot: "6"}, "entry-2")
	if leaving() {
		t.Error("the upstream counts as leaving because an earlier run of it did")
	}
	s.learnLeaving(msg.UpstreamLeaving{Upstream: "u0", Boot: "7"}, "entry-2")
	if !leaving() {
		t.Error("the upstream takes work although another instance has said that it leaves")
	}
}
