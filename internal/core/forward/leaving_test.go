package forward

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// While the store is silent the list goes on showing a leaving upstream as ready. A path that does
// not know what the upstream has stated sends it work that is lost when it ends.
func TestNoPathSendsToAnUpstreamThatStatesThatItLeaves(t *testing.T) {
	leaving := func(g *Gate) *roster.Upstream {
		u := g.roster.Find("u0")
		g.LearnLeaving(start, u.Run())
		return u
	}
	for name, path := range map[string]func(g *Gate, c *Call) Step{
		"the first attempt": func(g *Gate, c *Call) Step { leaving(g); return g.Start(start, c) },
		"a retry": func(g *Gate, c *Call) Step {
			g.Start(start, c)
			leaving(g)
			return g.Ended(start, c, Rejected, false)
		},
		"a grant of a pool's home": func(g *Gate, c *Call) Step {
			leaving(g)
			return g.Granted(start, start, c, msg.GrantResponse{Decision: placement.Decision{Kind: placement.Granted, Upstream: "u0"}, TTL: time.Second})
		},
		"a grant for an upstream that is not listed": func(g *Gate, c *Call) Step {
			e := roster.Entry{ID: "other", Service: "desk", Address: "other:80", DataCentre: "dc-a", Born: 7}
			g.LearnLeaving(start, e.Run())
			return g.Granted(start, start, c, msg.GrantResponse{Decision: placement.Decision{Kind: placement.Granted, Upstream: "other"}, Entry: &e, TTL: time.Second})
		},
		"the entry's own choice while the home is silent": func(g *Gate, c *Call) Step {
			leaving(g)
			return g.HomeTimedOut(start, c)
		},
		"an upstream in backoff, as the last resort": func(g *Gate, c *Call) Step {
			leaving(g)
			g.load(g.roster.Find("u1")).backOff(start)
			return g.Start(start, c)
		},
		"a call that waited for a permit": func(g *Gate, c *Call) Step {
			g.ObserveLimit(start, g.roster.Find("u0"), start, limit(5))
			g.sendTo(start, c, g.roster.Find("u0"))
			leaving(g)
			return g.Permitted(start, c)
		},
		"an upstream that another instance was told of": func(g *Gate, c *Call) Step {
			g.LearnLeaving(start, g.roster.Find("u0").Run())
			return g.Start(start, c)
		},
	} {
		for seed := range uint64(5) {
			o := options()
			o.Seed = seed
			g := gateWith(o, 2)
			s := path(g, admit(t, g, request("/safe/1")))
			left := "u0"
			if g.roster.LeftAt(roster.Run{ID: "other", Born: 7}) != (time.Time{}) {
				left = "other"
			}
			if s.Send == nil || s.Send.Entry.ID == left {
				t.Errorf("%s: next step %+v, want the request sent to an upstream that stays", name, s)
			}
		}
	}
}

// A move to an upstream that leaves would have to be made again.
func TestNoMoveToAnUpstreamThatStatesThatItLeaves(t *testing.T) {
	g := gate(t, 2)
	c := admit(t, g, request("/stream/1"))
	g.LearnLeaving(start, g.roster.Find("u0").Run())
	if g.MayMove(start, c, g.roster.Find("u0").Entry) || !g.MayMove(start, c, g.roster.Find("u1").Entry) {
		t.Error("a move to the leaving upstream is allowed or one to the other is not, want the opposite")
	}
}

// If all upstreams of a service leave, callers are refused at once and told to return.
func TestAllLeavingIsRefusedAtOnce(t *testing.T) {
	g := gate(t, 2)
	for _, u := range g.roster.All() {
		g.LearnLeaving(start, u.Run())
	}
	if s := g.Start(start, admit(t, g, request("/once/1"))); s.Refuse == nil || s.Refuse.Status != 503 || s.Refuse.RetryAfter == 0 {
		t.Errorf("next step %+v, want a refusal with a Retry-After", s)
	}
}
