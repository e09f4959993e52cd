package hosted

import (
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/pool"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// A service has been divided into pools, and an entry with the former layout requests a grant from the pool of the
// whole service. An instance that begins a home of that pool grants the upstreams of all pools without knowing what
// their homes have granted, so that they get more than they hold. A home that was begun earlier keeps its grants.
func TestNoHomeBeginsForAPoolOfAFormerLayout(t *testing.T) {
	s := newTestServer("u0:80")
	s.gate.Adopt(route.NewTable(route.Config{Version: 1, Services: []route.Service{{Name: "pool", Engine: &route.Engine{Slots: 4, MemoryToken: 1000}}}}))
	adopt := func(version int64, l roster.Layout) {
		e := roster.Entry{ID: "u0", Service: "pool", Address: "u0:80", DataCentre: "dc-a", Born: 7}
		r := roster.New()
		r.Replace(boottime.Now(), []roster.Change{{ID: e.ID, Version: version, Valid: true, Entry: e}}, version)
		group := l.GroupOf(e)
		s.gate.Roster().Adopt(boottime.Now(), roster.ListUpdate{Version: version, Layout: l, LayoutVersion: version, Groups: r.Copies(boottime.Now(), []roster.Group{group})})
	}
	var sent []string
	h := &homes{
		server: s, metrics: metrics.NewMetrics(), log: hclog.NewNullLogger(), self: "home", without: mechanism.Of(mechanism.LeaveProbes),
		send: func(_ string, m msg.Message) {
			if r, ok := m.(msg.GrantResponse); ok {
				sent = append(sent, r.Decision.Attempt)
			}
		},
		dataCentreOf: func(string) string { return "dc-a" }, onCreated: func() {}, pools: map[string]*pool.Home{}, usedAt: map[string]time.Time{},
	}
	request := func(name, attempt string) {
		sent = nil
		h.handle("entry-1", msg.GrantRequest{Pool: name, Request: placement.Request{Attempt: attempt, Prompt: 1, MaxOutput: 1}})
	}
	undivided, divided := roster.Layout{}, roster.Layout{"pool": {"dc-a": 1}}
	group := roster.Group{Service: "pool", DataCentre: "dc-a", Count: 1}.Name()

	adopt(10, divided)
	if request("pool", "r1"); len(sent) > 0 || slices.Contains(h.poolNames(), "pool") {
		t.Errorf("responses %v, homes %v; want no home of the former pool", sent, h.poolNames())
	}
	if request(group, "r2"); !slices.Contains(sent, "r2") {
		t.Errorf("responses %v, homes %v; want a response of the home of %s", sent, h.poolNames(), group)
	}
	adopt(11, undivided)
	if request(group, "r3"); !slices.Contains(sent, "r3") {
		t.Errorf("responses %v, want one of the home that was begun before the layout changed", sent)
	}
}
