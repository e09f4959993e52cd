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

// spreadGate returns a gate in dc-a with the given number of upstreams in each of the data
// centres dc-a, dc-b and dc-c. regions maps data centres to regions; change may modify the
// configuration.
func spreadGate(t testing.TB, perDataCentre int, regions map[string]string, change func(*route.Config)) *Gate {
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
	for k := range 3 * perDataCentre {
		id := fmt.Sprintf("u%02d", k)
		g.Roster().Update(start, []roster.Change{{ID: id, Version: int64(k + 1), Valid: true, Entry: roster.Entry{
			ID: id, Service: "desk", Address: id + ":80", DataCentre: []string{"dc-a", "dc-b", "dc-c"}[k%3], Slots: 6, Software: "v1",
		}}}, int64(k+1))
	}
	return g
}

// An instance may receive the configuration from another instance before it receives the
// cordons. It must not accept requests before it has the cordons: operators may have cordoned a
// data centre a minute ago.
func TestNothingIsSentBeforeTheCordonsAreKnown(t *testing.T) {
	g := New(options())
	g.Adopt(route.NewTable(config(3)))
	g.Confirm(start)
	addUpstreams(g, 3)
	if _, refusal := g.Admit(start, request("/safe/1")); refusal == nil || refusal.Reason != NoCordons || refusal.RetryAfter == 0 {
		t.Errorf("refusal %+v, want %s and a Retry-After", refusal, NoCordons)
	}
}

// Operators cordon the instance's own data centre, which it prefers. First attempts, retries
// and calls with grants of homes that do not know the cordon yet must all go to other data
// centres.
func TestCordonedUpstreamsGetNothing(t *testing.T) {
	g := spreadGate(t, 2, nil, nil)
	g.SetCordons(start, cordon.NewSet(2, []string{"dc-a"}))
	for range 50 {
		c := admit(t, g, request("/safe/1"))
		s := g.Start(start, c)
		if s.Send == nil || s.Send.Entry.DataCentre == "dc-a" {
			t.Fatalf("step %+v, want an attempt outside of dc-a", s)
		}
		if s = g.Ended(start, c, Lost, false); s.Send == nil || s.Send.Entry.DataCentre == "dc-a" {
			t.Fatalf("step after a failure: %+v, want an attempt outside of dc-a", s)
		}
	}
	c := admit(t, g, request("/stream/1"))
	stale := msg.GrantResponse{TTL: time.Second, Decision: placement.Decision{Kind: placement.Granted, Upstream: "u00"}}
	if s := g.Granted(start, start, c, stale); s.Send == nil || s.Send.Entry.DataCentre == "dc-a" {
		t.Errorf("grant for a cordoned upstream: step %+v, want an attempt outside of dc-a", s)
	}
	unlisted := roster.Entry{ID: "unknown", Service: "desk", Address: "unknown:80", DataCentre: "dc-a"}
	if s := g.Granted(start, start, admit(t, g, request("/stream/2")), msg.GrantResponse{TTL: time.Second, Entry: &unlisted, Decision: placement.Decision{Kind: placement.Granted, Upstream: "unknown"}}); s.Send == nil || s.Send.Entry.DataCentre == "dc-a" {
		t.Errorf("grant for a cordoned upstream that is not in the roster: step %+v, want an attempt outside of dc-a", s)
	}
}

// All data centres are cordoned. Calls must be refused at once with a Retry-After instead of
// waiting for their deadline, and be served as soon as one cordon is lifted.
func TestAllCordonedIsRefusedAtOnce(t *testing.T) {
	g := spreadGate(t, 2, nil, nil)
	g.SetCordons(start, cordon.NewSet(2, []string{"dc-a", "dc-b", "dc-c"}))
	for _, path := range []string{"/safe/1", "/once/1", "/stream/1"} {
		s := g.Start(start, admit(t, g, request(path)))
		if s.Refuse == nil || s.Refuse.Reason != Cordoned || s.Refuse.RetryAfter == 0 || !PromisesNotRun(s.Refuse.Status) {
			t.Errorf("%s: step %+v, want a refusal for cordons with a Retry-After", path, s)
		}
	}
	divided := largeGate(t)
	divided.SetCordons(start, cordon.NewSet(2, []string{"dc-a", "dc-b", "dc-c"}))
	if s := divided.Start(start, admit(t, divided, request("/stream/1"))); s.Refuse == nil || s.Refuse.Reason != Cordoned {
		t.Errorf("divided service with all data centres cordoned: step %+v, want a refusal", s)
	}
	g.SetCordons(start, cordon.NewSet(3, []string{"dc-a", "dc-b"}))
	if s := g.Start(start, admit(t, g, request("/safe/1"))); s.Send == nil || s.Send.Entry.DataCentre != "dc-c" {
		t.Errorf("step %+v after the cordon of dc-c was lifted, want an attempt in dc-c", s)
	}
}

// A generation is being moved to a data centre when that data centre is cordoned. The generation
// may resume there within a second, because it is already stopped at its source, but not later.
func TestAMoveIntoACordonMayResumeOnlyBriefly(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		sent  bool
	}{{resumeTimeout / 2, true}, {2 * resumeTimeout, false}} {
		g := spreadGate(t, 1, nil, nil)
		call := admit(t, g, request("/stream/1"))
		g.Start(start, call)
		to := g.Roster().Find("u01")
		g.SetCordons(start, cordon.NewSet(2, []string{to.DataCentre}))
		if g.MayMove(start, call, to.Entry) {
			t.Error("MayMove allows a new move into the cordoned data centre, want it refused")
		}
		g.Redirect(call, to, "copy", nil)
		if s := g.Ended(start.Add(c.after), call, Cut, true); (s.Send != nil) != c.sent {
			t.Errorf("attempt ended %v after the cordon: step %+v, want generation resumed = %v", c.after, s, c.sent)
		}
	}
}

// A service is divided into groups, and the groups in the instance's data centre are
// cordoned. The instance must choose from other groups and request grants from the pools of
// other data centres.
func TestGroupsOfACordonedDataCentreAreNotUsed(t *testing.T) {
	g := largeGate(t)
	g.SetCordons(start, cordon.NewSet(2, []string{"dc-a"}))
	for _, group := range g.OwnGroups() {
		if group.DataCentre == "dc-a" {
			t.Errorf("group %v of the cordoned data centre is used, want none", group)
		}
	}
	for range 50 {
		c := admit(t, g, request("/stream/1"))
		if s := g.Start(start, c); !s.RequestGrant || roster.ParseGroup(c.Pool).DataCentre == "dc-a" {
			t.Fatalf("pool %q, step %+v, want a grant request to a pool outside of dc-a", c.Pool, s)
		}
	}
}

// Cordons arrive late, repeatedly and in any order. The newest version received must be in
// force, and no request may be sent to a data centre that it cordons.
func TestPropertyTheNewestCordonsAreInForce(t *testing.T) {
	names := []string{"dc-a", "dc-b", "dc-c"}
	cordonedIn := func(version int) []string {
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
				g.SetCordons(now, cordon.NewSet(int64(v), cordonedIn(v)))
				newest = max(newest, v)
				c, refusal := g.Admit(now, request("/safe/1"))
				if refusal != nil {
					return "request refused at admission, want it admitted; reason: " + string(refusal.Reason)
				}
				s := g.Start(now, c)
				inForce := cordon.NewSet(1, cordonedIn(newest))
				if newest == 1 {
					inForce = cordon.NewSet(1, nil)
				}
				switch {
				case len(inForce.DataCentres) == len(names) && (s.Refuse == nil || s.Refuse.Reason != Cordoned):
					return "all data centres are cordoned and the call is not refused, want a refusal with reason cordoned"
				case len(inForce.DataCentres) < len(names) && s.Send == nil:
					return "call refused although some data centres are not cordoned, want an attempt"
				case s.Send != nil && inForce.Has(s.Send.Entry.DataCentre):
					return "call sent to a cordoned data centre, want a data centre that is not cordoned"
				}
			}
			return ""
		},
		gen.SliceOfN(30, gen.IntRange(1, 63)),
	))
	props.TestingRun(t)
}

// The upstreams of a data centre may have become cold while it was cordoned, and their
// reports arrive one heartbeat later. They must count as cold from the time when the cordon
// is lifted.
func TestLiftedCordonsLeaveColdUpstreams(t *testing.T) {
	g := spreadGate(t, 1, nil, func(c *route.Config) { c.Services[0].ColdFor, c.Services[0].ColdRate = time.Second, 4 })
	g.SetPeers([]Peer{{Name: "i0", DataCentre: "dc-a"}})
	u := g.Roster().Find("u01")
	g.SetCordons(start, cordon.NewSet(2, []string{u.DataCentre}))
	g.SetCordons(start.Add(time.Second), cordon.NewSet(3, nil))
	if until := g.ColdUntil(u); !until.Equal(start.Add(2 * time.Second)) {
		t.Errorf("cold until %v after start, want 2s: one second after the cordon was lifted", until.Sub(start))
	}
	if until := g.ColdUntil(g.Roster().Find("u00")); !until.IsZero() {
		t.Errorf("upstream that was not cordoned is cold until %v after start, want it warm", until.Sub(start))
	}
}
