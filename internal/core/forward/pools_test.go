package forward

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// largeGate returns a gate for a service of 600 upstreams, which is divided into groups. Its
// streams are generations. The roster contains only the groups that the gate's instance
// chooses from.
func largeGate(t *testing.T) *Gate {
	t.Helper()
	c := config(3)
	c.Services[0].Engine = &route.Engine{Slots: 24}
	for k := range c.Routes {
		c.Routes[k].Generation = c.Routes[k].Kind == route.Stream
	}
	o := options()
	o.Name = "i1"
	g := New(o)
	g.Adopt(route.NewTable(c))
	g.SetCordons(start, cordon.NewSet(1, nil))
	g.Confirm(start)
	var all []roster.Change
	for k := range 600 {
		id := fmt.Sprintf("u%03d", k)
		all = append(all, roster.Change{ID: id, Version: int64(k + 1), Valid: true, Entry: roster.Entry{
			ID: id, Service: "desk", Address: id + ":80", DataCentre: []string{"dc-a", "dc-b", "dc-c"}[k%3], Slots: 6, Software: "v1",
		}})
	}
	r := roster.New()
	r.Replace(start, all, 600)
	r.Divide(start)
	layout, layoutVersion := r.Layout()
	own := layout.GroupsFor("desk", o.DataCentre, o.Name, func(string) bool { return true })
	g.Roster().Adopt(start, roster.ListUpdate{Version: 600, Layout: layout, LayoutVersion: layoutVersion, Groups: r.Copies(start, own)})
	return g
}

// A service has hundreds of upstreams. Each instance must send plain calls only to some
// groups of its data centre, and request grants for generations from several pools there.
func TestLargeServicesAreUsedInGroups(t *testing.T) {
	g := largeGate(t)
	used := map[string]bool{}
	for range 400 {
		s := g.Start(start, admit(t, g, request("/safe/1")))
		if s.Send == nil || s.Send.Entry.DataCentre != "dc-a" {
			t.Fatalf("step %+v, want an attempt in dc-a", s)
		}
		used[s.Send.Entry.ID] = true
	}
	if len(used) < 20 || len(used) > 100 {
		t.Errorf("%d upstreams used, want 20 to 100", len(used))
	}
	pools := map[string]int{}
	for range 400 {
		c := admit(t, g, request("/stream/1"))
		if s := g.Start(start, c); !s.RequestGrant || roster.ParseGroup(c.Pool).DataCentre != "dc-a" {
			t.Fatalf("pool %q, step %+v, want a grant request to a pool in dc-a", c.Pool, s)
		}
		pools[c.Pool]++
	}
	if len(pools) < 8 {
		t.Errorf("grants requested from pools %v, want at least 8 pools", pools)
	}
}

// The pool of one group is full or has lost its upstreams, but other pools may have capacity.
// A grant must be requested from one other pool before the caller is refused.
func TestAnotherPoolIsAskedBeforeARefusal(t *testing.T) {
	g := largeGate(t)
	c := admit(t, g, request("/stream/1"))
	g.Start(start, c)
	first, grant := c.Pool, c.Grant()
	if s := g.HomeRefused(start, c, placement.ReasonQueueFull, time.Second); !s.RequestGrant || c.Pool == first || c.Grant() == grant {
		t.Fatalf("pool %s after %s, step %+v, want a new grant request to another pool", c.Pool, first, s)
	}
	if s := g.HomeRefused(start, c, placement.ReasonQueueFull, time.Second); s.Refuse == nil || s.Refuse.RetryAfter != time.Second {
		t.Errorf("step %+v, want a refusal with the Retry-After of the home", s)
	}
	undivided := gate(t, 1)
	undivided.table.Find("h", "/stream/").Generation = true
	undivided.table.Service("desk").Engine = &route.Engine{}
	c = admit(t, undivided, request("/stream/1"))
	undivided.nextStep(start, c)
	if s := undivided.HomeRefused(start, c, placement.ReasonQueueFull, time.Second); s.Refuse == nil {
		t.Errorf("undivided service with one pool: step %+v, want a refusal", s)
	}
}

// A home grants an upstream that is not in the entry's roster. The entry must use the roster
// entry in the grant, and drop it when its last call there ends.
func TestAGrantForAnUnknownUpstreamIsUsed(t *testing.T) {
	g := largeGate(t)
	c := admit(t, g, request("/stream/1"))
	g.Start(start, c)
	e := roster.Entry{ID: "unknown", Service: "desk", Address: "unknown:80", DataCentre: "dc-c", Born: 7}
	s := g.Granted(start, start, c, msg.GrantResponse{
		Pool: c.Pool, Entry: &e, TTL: time.Second, Decision: placement.Decision{Kind: placement.Granted, Upstream: e.ID},
	})
	if s.Send == nil || s.Send.Entry != e {
		t.Fatalf("step %+v, want an attempt at the granted upstream", s)
	}
	g.Leaves(start, s.Send)
	if !s.Send.Leaving() {
		t.Error("upstream does not count as leaving after the home's notice, want leaving")
	}
	g.Ended(start, c, Done, true)
	if len(g.unlisted) != 0 || g.loads[s.Send.Upstream] != nil {
		t.Error("upstream is still stored after its last call ended, want it dropped")
	}
}

// A home whose roster is older than the entry's grants an upstream that the entry's roster no
// longer lists. The upstream must get no new requests.
func TestAGrantForARemovedUpstreamIsNotUsed(t *testing.T) {
	g := largeGate(t)
	c := admit(t, g, request("/stream/1"))
	g.Start(start, c)
	removed := g.Roster().All()[0].Entry
	g.Roster().Update(start, []roster.Change{{ID: removed.ID, Version: 601, Removed: true}}, 601)
	s := g.Granted(start, start, c, msg.GrantResponse{
		Pool: c.Pool, Entry: &removed, TTL: time.Second, Decision: placement.Decision{Kind: placement.Granted, Upstream: removed.ID},
	})
	if s.Send != nil && s.Send.Entry.ID == removed.ID {
		t.Error("request sent to a removed upstream, want another one or a refusal")
	}
}

// A resumable stream breaks off after its first events, and no pool has room for it. A refusal at
// this point would be written into the stream, which would then look complete.
func TestABrokenStreamIsNotRefusedAfterItsHead(t *testing.T) {
	for name, end := range map[string]func(*Gate, *Call) Step{
		"the home refuses": func(g *Gate, c *Call) Step {
			s := Step{RequestGrant: true}
			for s.RequestGrant {
				s = g.HomeRefused(start, c, placement.ReasonQueueFull, time.Second)
			}
			return s
		},
		"the home is silent and no upstream is left": func(g *Gate, c *Call) Step {
			for _, u := range g.roster.All() {
				g.roster.MarkLeaving(start, u)
			}
			return g.HomeTimedOut(start, c)
		},
		"the grant arrives too late": func(g *Gate, c *Call) Step {
			return g.Granted(c.Deadline, c.Deadline, c, msg.GrantResponse{Decision: placement.Decision{Kind: placement.Granted, Upstream: g.roster.All()[1].ID}, TTL: time.Second})
		},
	} {
		g := largeGate(t)
		c := admit(t, g, request("/resumable/1"))
		g.Start(start, c)
		g.Granted(start, start, c, msg.GrantResponse{Decision: placement.Decision{Kind: placement.Granted, Upstream: g.roster.All()[0].ID}, TTL: time.Second})
		c.Progress(start, "1")
		if s := g.Ended(start, c, Cut, true); !s.RequestGrant {
			t.Fatalf("%s: next step %+v after the stream broke off, want a request for a grant", name, s)
		}
		if s := end(g, c); !s.Abort {
			t.Errorf("%s: last step %+v, want the response broken off", name, s)
		}
	}
}
