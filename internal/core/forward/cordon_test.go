package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// spreadGate returns a gate that knows upstreams in three data centres, dc-a to dc-c, one
// of which is its own. region maps them to regions.
func spreadGate(t testing.TB, each int, regions map[string]string, change func(*route.Config)) *Gate {
	t.Helper()
	c := config(3)
	if change != nil {
		change(&c)
	}
	o := options()
	o.Name, o.Regions = "i0", regions
	g := New(o)
	g.Adopt(route.NewTable(c))
	g.SetCordons(start, cordon.NewSet(1, nil))
	g.Confirm(start)
	for k := range 3 * each {
		id := fmt.Sprintf("u%02d", k)
		g.Roster().Update(start, []roster.Change{{ID: id, Version: int64(k + 1), Valid: true, Entry: roster.Entry{
			ID: id, Service: "desk", Address: id + ":80", DataCentre: []string{"dc-a", "dc-b", "dc-c"}[k%3], Slots: 6,
		}}}, int64(k+1))
	}
	return g
}

// An instance may know the configuration from another one that has not told it which data
// centres are cordoned. It must not send: operators may have taken one out a minute ago.
func TestNothingIsSentBeforeTheCordonsAreKnown(t *testing.T) {
	g := New(options())
	g.Adopt(route.NewTable(config(3)))
	g.Confirm(start)
	fill(g, 3)
	if _, refusal := g.Admit(start, request("/safe/1")); refusal == nil || refusal.Reason != NoCordons || refusal.RetryAfter == 0 {
		t.Errorf("refusal %+v, want %s and a time to come back", refusal, NoCordons)
	}
}

// Operators cordon the instance's own data centre, which it prefers. First tries, retries
// and grants of homes that have not heard of it yet must all go elsewhere.
func TestCordonedUpstreamsGetNothing(t *testing.T) {
	g := spreadGate(t, 2, nil, nil)
	g.SetCordons(start, cordon.NewSet(2, []string{"dc-a"}))
	for range 50 {
		c := admit(t, g, request("/safe/1"))
		s := g.Start(start, c)
		if s.Send == nil || s.Send.Entry.DataCentre == "dc-a" {
			t.Fatalf("step %+v", s)
		}
		if s = g.Ended(start, c, Lost, false); s.Send == nil || s.Send.Entry.DataCentre == "dc-a" {
			t.Fatalf("step after a failure %+v", s)
		}
	}
	c := admit(t, g, request("/draft/1"))
	stale := msg.GrantAnswer{TTL: time.Second, Decision: placement.Decision{Kind: placement.Granted, Upstream: "u00"}}
	if s := g.Granted(start, start, c, stale); s.Send == nil || s.Send.Entry.DataCentre == "dc-a" {
		t.Errorf("step %+v: a grant for a cordoned upstream was used", s)
	}
	foreign := roster.Entry{ID: "unknown", Service: "desk", Address: "unknown:80", DataCentre: "dc-a"}
	if s := g.Granted(start, start, admit(t, g, request("/draft/2")), msg.GrantAnswer{TTL: time.Second, Entry: &foreign, Decision: placement.Decision{Kind: placement.Granted, Upstream: "unknown"}}); s.Send == nil || s.Send.Entry.DataCentre == "dc-a" {
		t.Errorf("step %+v: a grant for a cordoned upstream that only its home knows was used", s)
	}
}

// All data centres are cordoned. Callers must hear so at once and when to come back, be
// served as soon as one is back, and nothing may wait for its deadline.
func TestAllCordonedIsToldAtOnce(t *testing.T) {
	g := spreadGate(t, 2, nil, nil)
	g.SetCordons(start, cordon.NewSet(2, []string{"dc-a", "dc-b", "dc-c"}))
	for _, path := range []string{"/safe/1", "/once/1", "/draft/1"} {
		s := g.Start(start, admit(t, g, request(path)))
		if s.Refuse == nil || s.Refuse.Reason != Cordoned || s.Refuse.RetryAfter == 0 || !PromisesNotRun(s.Refuse.Status) {
			t.Errorf("%s: step %+v", path, s)
		}
	}
	parts := largeGate(t)
	parts.SetCordons(start, cordon.NewSet(2, []string{"dc-a", "dc-b", "dc-c"}))
	if s := parts.Start(start, admit(t, parts, request("/draft/1"))); s.Refuse == nil || s.Refuse.Reason != Cordoned {
		t.Errorf("step %+v: a pool's home is asked, though all is cordoned", s)
	}
	g.SetCordons(start, cordon.NewSet(3, []string{"dc-a", "dc-b"}))
	if s := g.Start(start, admit(t, g, request("/safe/1"))); s.Send == nil || s.Send.Entry.DataCentre != "dc-c" {
		t.Errorf("step %+v after dc-c is back", s)
	}
}

// A move is under way to a data centre that is cordoned at that moment. The run may go on
// there within a second, as it is stopped at its source already; later it may not.
func TestAMoveIntoACordonEndsSoon(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		sent  bool
	}{{pickUpTimeout / 2, true}, {2 * pickUpTimeout, false}} {
		g := spreadGate(t, 1, nil, nil)
		call := admit(t, g, request("/draft/1"))
		g.Start(start, call)
		to := g.Roster().Find("u01")
		g.SetCordons(start, cordon.NewSet(2, []string{to.DataCentre}))
		if g.MayMove(call, to.DataCentre) {
			t.Error("a move to it may begin")
		}
		g.Redirect(call, to, "copy", nil)
		if s := g.Ended(start.Add(c.after), call, Cut, true); (s.Send != nil) != c.sent {
			t.Errorf("after %v: step %+v, want it picked up: %v", c.after, s, c.sent)
		}
	}
}

// A divided service: the parts beside the instance are cordoned. It must use others, and
// offer generations to the pools of other data centres.
func TestPartsOfACordonedDataCentreAreLeft(t *testing.T) {
	g := largeGate(t)
	g.SetCordons(start, cordon.NewSet(2, []string{"dc-a"}))
	for _, group := range g.OwnGroups() {
		if group.DataCentre == "dc-a" {
			t.Errorf("group %v is used", group)
		}
	}
	for range 50 {
		c := admit(t, g, request("/draft/1"))
		if s := g.Start(start, c); !s.AskHome || roster.ParseGroup(c.Pool).DataCentre == "dc-a" {
			t.Fatalf("pool %q, step %+v", c.Pool, s)
		}
	}
}

// Sources tell of cordons late, twice and in any order, and one of them lags. Whatever
// arrives, what is in force is the newest version that was told, and nothing is sent to a
// data centre that it names.
func TestPropertyTheNewestCordonsAreInForce(t *testing.T) {
	names := []string{"dc-a", "dc-b", "dc-c"}
	of := func(version int) []string {
		var out []string
		for k, dc := range names {
			if version>>k&1 == 1 {
				out = append(out, dc)
			}
		}
		return out
	}
	props := gopter.NewProperties(testkit.Parameters())
	props.Property("the newest cordons are in force", prop.ForAll(
		func(versions []int) string {
			g := spreadGate(t, 2, nil, nil)
			newest := 1
			for step, v := range versions {
				now := start.Add(time.Duration(step) * time.Millisecond)
				g.SetCordons(now, cordon.NewSet(int64(v), of(v)))
				newest = max(newest, v)
				c, refusal := g.Admit(now, request("/safe/1"))
				if refusal != nil {
					return "refused: " + string(refusal.Reason)
				}
				s := g.Start(now, c)
				in := cordon.NewSet(1, of(newest))
				if newest == 1 {
					in = cordon.NewSet(1, nil)
				}
				switch {
				case len(in.DataCentres) == len(names) && (s.Refuse == nil || s.Refuse.Reason != Cordoned):
					return "all are cordoned, and it is not refused for that"
				case len(in.DataCentres) < len(names) && s.Send == nil:
					return "refused, though some are open"
				case s.Send != nil && in.Has(s.Send.Entry.DataCentre):
					return "sent to a cordoned data centre"
				}
			}
			return ""
		},
		gen.SliceOfN(30, gen.IntRange(1, 63)),
	))
	props.TestingRun(t)
}

// The upstreams of a data centre may have become cold while it was cordoned, and say so a
// heartbeat late. They must count as cold from the moment at which the cordon is lifted.
func TestLiftedCordonsLeaveColdUpstreams(t *testing.T) {
	g := spreadGate(t, 1, nil, func(c *route.Config) { c.Services[0].ColdFor, c.Services[0].ColdRate = time.Second, 4 })
	g.SetPeers([]Peer{{Name: "i0", DataCentre: "dc-a"}})
	u := g.Roster().Find("u01")
	g.SetCordons(start, cordon.NewSet(2, []string{u.DataCentre}))
	g.SetCordons(start.Add(time.Second), cordon.NewSet(3, nil))
	if until := g.ColdUntil(u); !until.Equal(start.Add(2 * time.Second)) {
		t.Errorf("cold until %v after the lifted cordon, want a second", until.Sub(start))
	}
	if until := g.ColdUntil(g.Roster().Find("u00")); !until.IsZero() {
		t.Errorf("an upstream that was not cordoned is cold until %v", until.Sub(start))
	}
}
