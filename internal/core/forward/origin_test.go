package forward

import (
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// setSoftware changes the software version of an upstream of the service "desk" at a version of the list.
func setSoftware(g *Gate, id, software string, version int64) {
	e := g.roster.Find(id).Entry
	e.Software = software
	e.Born = version
	g.roster.Update(start, []roster.Change{{ID: id, Version: version, Valid: true, Entry: e}}, version)
}

// begin starts a resumable stream, the first event of which is made by the upstream "u0" of version v1.
func begin(t *testing.T, g *Gate) *Call {
	t.Helper()
	c := admit(t, g, request("/resumable/1"))
	if s := g.sendTo(start, c, g.roster.Find("u0")); s.Send == nil {
		t.Fatalf("first step %+v, want the request sent", s)
	}
	c.Progress(start, "1")
	return c
}

// The home of a pool runs an earlier release and grants an upstream of another version to a stream that goes
// on. The grant is given back, and its upstream excluded from the next request.
func TestAGrantOfAnotherVersionIsGivenBack(t *testing.T) {
	g := largeGate(t)
	u := g.roster.All()
	setSoftware(g, u[1].ID, "v2", 701)
	c := admit(t, g, request("/resumable/1"))
	g.Start(start, c)
	g.Granted(start, start, c, granted(u[0].ID, nil))
	c.Progress(start, "1")
	g.Ended(start, c, Cut, true)
	before := c.Grant()
	s := g.Granted(start, start, c, granted(u[1].ID, nil))
	if !s.RequestGrant || c.Grant() == before {
		t.Errorf("step %+v with grant %s after a grant of another version, want a request for another grant", s, c.Grant())
	}
	if req := g.GrantRequest(start, c).Request; req.Software != "v1" || !slices.Contains(req.Exclude, u[1].ID) {
		t.Errorf("request %+v, want one for v1 without %s", req, u[1].ID)
	}
	if s = g.Granted(start, start, c, granted(u[2].ID, nil)); s.Send == nil || s.Send.Entry.ID != u[2].ID {
		t.Errorf("step %+v after a grant of the same version, want the stream sent there", s)
	}
}

// All upstreams of a stream's version are gone. The caller must learn that at once instead of when its
// deadline has passed, and the stream must not go on at another version.
func TestAStreamWithoutItsVersionEndsAtOnce(t *testing.T) {
	for _, now := range []time.Time{start, start.Add(10 * time.Minute)} { // the list may be old
		g := gate(t, 2)
		setSoftware(g, "u1", "v2", 10)
		c := begin(t, g)
		g.roster.MarkLeaving(start, g.roster.Find("u0"))
		c.Deadline = now.Add(time.Second)
		if s := g.Ended(now, c, Cut, true); !s.Abort || s.Why != NoSameSoftware {
			t.Errorf("step %+v, want the response broken off for lack of its version", s)
		}
	}
}

// An upstream has started again under its id with another version, before the list showed that: the first event may
// be of either run. The stream must not go on at the version that was listed then.
func TestAStreamOfAnUncertainRunGoesOnForNobody(t *testing.T) {
	g := gate(t, 3)
	c := begin(t, g)
	setSoftware(g, "u0", "v2", 10)
	if s := g.Ended(start, c, Cut, true); !s.Abort || s.Why != NoSameSoftware {
		t.Errorf("step %+v, want the response broken off", s)
	}
}

// A request of which no event has reached the caller is bound to nothing, and is sent anywhere, also after a silence or a
// move that failed.
func TestARequestWithoutEventsGoesAnywhere(t *testing.T) {
	for name, before := range map[string]func(g *Gate, c *Call){
		"lost":       func(*Gate, *Call) {},
		"was silent": func(g *Gate, c *Call) { g.MoveTarget(start, c) },
		"was moved": func(g *Gate, c *Call) {
			g.Redirect(c, g.roster.Find("u0"), "copy", nil)
			g.Ended(start, c, Cut, false)
		},
	} {
		g := gate(t, 2)
		setSoftware(g, "u1", "v2", 10)
		c := admit(t, g, request("/resumable/1"))
		g.sendTo(start, c, g.roster.Find("u0"))
		before(g, c)
		g.roster.MarkLeaving(start, g.roster.Find("u0"))
		if s := g.Ended(start, c, Lost, false); s.Send == nil || s.Send.Entry.ID != "u1" {
			t.Errorf("%s: step %+v, want the request sent to the other version", name, s)
		}
	}
}

// The home of a pool runs an earlier release and orders a move to an upstream of another version. It must not be
// made, also before the first event: the memory that is copied was written by the version of the source.
func TestAMoveToAnotherVersionIsRefused(t *testing.T) {
	for _, events := range []int{0, 1} {
		g := gate(t, 3)
		setSoftware(g, "u1", "v2", 10)
		c := admit(t, g, request("/resumable/1"))
		g.sendTo(start, c, g.roster.Find("u0"))
		for range events {
			c.Progress(start, "1")
		}
		unlisted := roster.Entry{ID: "u9", Service: "desk", DataCentre: "dc-a"}
		if g.MayMove(start, c, g.roster.Find("u1").Entry) || g.MayMove(start, c, unlisted) {
			t.Errorf("%d events: a move to another or to an unknown version is allowed", events)
		}
		unlisted.Software = "v1"
		if !g.MayMove(start, c, g.roster.Find("u2").Entry) || !g.MayMove(start, c, unlisted) {
			t.Errorf("%d events: a move to the same version is refused", events)
		}
		for range 20 {
			if u := g.MoveTarget(start, c); u == nil || u.Software != "v1" {
				t.Fatalf("%d events: a silent stream is to be moved to %+v, want an upstream of v1", events, u)
			}
		}
	}
}

// While a generation is moved, its destination starts again under its id with another version. The generation must
// go on at the source, which keeps it.
func TestAMovedGenerationResumesAtItsVersionOnly(t *testing.T) {
	g := gate(t, 2)
	c := begin(t, g)
	setSoftware(g, "u1", "v2", 10)
	g.Redirect(c, g.roster.Find("u1"), "copy", &Attempt{Upstream: g.roster.Find("u0"), CopyAt: "copy"})
	if s := g.Ended(start, c, Cut, true); s.Send == nil || s.Send.Entry.ID != "u0" || s.Send.CopyAt == "" {
		t.Errorf("step %+v, want the generation resumed at its source", s)
	}
}

// resumed returns a request that takes a stream up.
func resumed(path string) Request {
	r := request(path)
	r.AfterEvent, r.Resumes = "3", "r0"
	return r
}

// A caller takes a stream up. The call must be refused unless it is known where the stream began, and be sent only to
// the service and the version that began it, though its route is split or has moved since.
func TestATakenUpStreamGoesToItsServiceAndVersion(t *testing.T) {
	g := gate(t, 4)
	setSoftware(g, "u1", "v2", 10)
	for range 20 {
		c := admit(t, g, resumed("/resumable/1"))
		if s := g.Start(start, c); s.Refuse == nil || s.Why != UnknownOrigin {
			t.Fatalf("step %+v of a stream of unknown origin, want a refusal", s)
		}
		if refusal := g.Bind(start, c, roster.Origin{Service: "desk", Software: "v2"}); refusal != nil {
			t.Fatalf("refused: %+v", refusal)
		}
		if s := g.Start(start, c); s.Send == nil || s.Send.Entry.ID != "u1" {
			t.Fatalf("step %+v, want the stream sent to u1", s)
		}
	}
	c := admit(t, g, resumed("/resumable/1"))
	if refusal := g.Bind(start, c, roster.Origin{Service: "other", Software: "v1"}); refusal == nil || refusal.Reason != NoSameSoftware {
		t.Errorf("refusal %+v of a stream of a service that its route does not use", refusal)
	}
	c = admit(t, g, resumed("/resumable/1"))
	g.Bind(start, c, roster.Origin{Service: "desk", Software: "v3"})
	if s := g.Start(start, c); s.Refuse == nil || s.Why != NoSameSoftware {
		t.Errorf("step %+v without an upstream of the version, want a refusal at once", s)
	}
}

// A route has begun to use another service. A stream that began before may have begun at the former one, so that the
// versions of the present service tell nothing about it.
func TestAMovedRouteProvesNoOrigin(t *testing.T) {
	g := gate(t, 2)
	now := start
	for range 120 {
		now = now.Add(time.Second)
		g.roster.Confirm(now)
		g.Tick(now)
	}
	c := admit(t, g, resumed("/resumable/1"))
	if o, ok := g.SoleOrigin(now, c); !ok || o.Software != "v1" {
		t.Fatalf("origin %+v, proven %v; want v1", o, ok)
	}
	moved := config(4)
	for k := range moved.Routes {
		if moved.Routes[k].Name == "resumable" {
			moved.Routes[k].Targets = []route.Target{{Service: "other", Weight: 1}}
		}
	}
	g.Adopt(route.NewTable(moved))
	g.Adopt(route.NewTable(config(5)))
	if _, ok := g.SoleOrigin(now, c); ok {
		t.Error("the origin counts as proven right after the route was moved and back")
	}
}

// All upstreams of a version leave, as at the end of a release. They still serve for a while, and a stream of theirs that
// breaks off goes on at the one that leaves last. None may get anything once the time is over in which a leaving
// upstream may get work, counted from when it was last known not to leave.
func TestAStreamGoesOnAtALeavingUpstreamOfItsVersion(t *testing.T) {
	for after, want := range map[time.Duration]bool{100 * time.Millisecond: true, 1700 * time.Millisecond: false} {
		o := options()
		o.DrainWithin = 2 * time.Second
		g := gateWith(o, 4)
		setSoftware(g, "u3", "v2", 10)
		c := begin(t, g)
		g.roster.Confirm(start)
		g.roster.MarkLeaving(start.Add(50*time.Millisecond), g.roster.Find("u1"))
		g.roster.MarkLeaving(start.Add(50*time.Millisecond), g.roster.Find("u0"))
		g.roster.Confirm(start.Add(60 * time.Millisecond))
		g.roster.MarkLeaving(start.Add(70*time.Millisecond), g.roster.Find("u2"))
		s := g.Ended(start.Add(after), c, Cut, true)
		if got := s.Send != nil; got != want || got && s.Send.Entry.ID != "u2" {
			t.Errorf("after %v: step %+v, want the stream sent to u2: %v", after, s, want)
		}
	}
}

// All upstreams of a service leave, as in a release of which both versions end. A stream that breaks off must not go on at
// one of the other version, although that leaves last.
func TestAStreamDoesNotGoOnAtALeavingUpstreamOfAnotherVersion(t *testing.T) {
	o := options()
	o.DrainWithin = 2 * time.Second
	g := gateWith(o, 2)
	setSoftware(g, "u1", "v2", 10)
	c := begin(t, g)
	g.roster.Confirm(start)
	g.roster.MarkLeaving(start.Add(50*time.Millisecond), g.roster.Find("u0"))
	g.roster.Confirm(start.Add(60 * time.Millisecond))
	g.roster.MarkLeaving(start.Add(70*time.Millisecond), g.roster.Find("u1"))
	if s := g.Ended(start.Add(100*time.Millisecond), c, Cut, true); !s.Abort || s.Why != NoSameSoftware {
		t.Errorf("step %+v, want the response broken off: only an upstream of another version has not been tried", s)
	}
}

// A caller takes a stream up whose only upstream of its version has just begun to leave. That one still serves for a
// while and must get the stream, also if a pool's home places generations; the caller would be refused otherwise.
func TestATakenUpStreamGoesOnAtALeavingUpstreamOfItsVersion(t *testing.T) {
	for _, generation := range []bool{false, true} {
		for after, want := range map[time.Duration]bool{100 * time.Millisecond: true, 1700 * time.Millisecond: false} {
			o := options()
			o.DrainWithin = 2 * time.Second
			g := gateWith(o, 2)
			if generation {
				c := config(4)
				c.Services[0].Engine = &route.Engine{Slots: 24}
				for k := range c.Routes {
					c.Routes[k].Generation = c.Routes[k].Kind == route.Stream
				}
				g.Adopt(route.NewTable(c))
			}
			setSoftware(g, "u1", "v2", 10)
			g.roster.Confirm(start)
			c := admit(t, g, resumed("/resumable/1"))
			if refusal := g.Bind(start, c, g.roster.Find("u0").Entry.Origin()); refusal != nil {
				t.Fatalf("refused: %+v", refusal)
			}
			g.LearnLeaving(start.Add(50*time.Millisecond), g.roster.Find("u0").Run())
			s := g.Start(start.Add(after), c)
			switch {
			case want && (s.Send == nil || s.Send.Entry.ID != "u0"):
				t.Errorf("generation %v, after %v: step %+v, want the stream sent to u0", generation, after, s)
			case !want && (s.Refuse == nil || s.Why != NoSameSoftware || s.Refuse.RetryAfter == 0):
				t.Errorf("generation %v, after %v: step %+v, want a refusal at once with a Retry-After", generation, after, s)
			}
		}
	}
}

// coldGate returns a gate with the upstreams "u0" of version v1 and "u1" of v2. Those of the given ids are cold.
func coldGate(cold ...string) *Gate {
	o := options()
	o.Name = "i0"
	g := gateWith(o, 0)
	c := config(4)
	c.Services[0].ColdFor, c.Services[0].ColdRate = time.Second, 4
	g.Adopt(route.NewTable(c))
	g.SetPeers([]Peer{{Name: "i0", DataCentre: "dc-a"}})
	addUpstreams(g, 2)
	setSoftware(g, "u1", "v2", 10)
	for _, id := range cold {
		g.roster.Find(id).ColdUntil = start.Add(time.Second)
	}
	return g
}

// In a release the upstreams of the new version have just started and are cold and empty. A stream that breaks off at
// the only upstream of its version must go on there: what two versions write does not fit together.
func TestAStreamDoesNotGoOnAtAColdUpstreamOfAnotherVersion(t *testing.T) {
	for name, path := range map[string]func(g *Gate) Step{
		"breaks off": func(g *Gate) Step {
			return g.Ended(start, begin(t, g), Cut, true)
		},
		"after a failed dial": func(g *Gate) Step {
			c := begin(t, g)
			g.load(g.roster.Find("u0")).backOff(start)
			return g.Ended(start, c, Cut, true)
		},
		"is taken up": func(g *Gate) Step {
			c := admit(t, g, resumed("/resumable/1"))
			g.Bind(start, c, g.roster.Find("u0").Entry.Origin())
			g.load(g.roster.Find("u0")).Note(start, true)
			return g.Start(start, c)
		},
	} {
		for _, cold := range [][]string{{"u1"}, {"u0", "u1"}} {
			if s := path(coldGate(cold...)); s.Send != nil && s.Send.Entry.ID != "u0" {
				t.Errorf("%s, %v cold: step %+v, want nothing sent to the other version", name, cold, s)
			}
		}
	}
}

// No upstream takes a stream that goes on now. Its caller must be told when one of its own version does: cold upstreams of
// others do not count, and neither do warm ones while those of its version are cold.
func TestAStreamWaitsForColdUpstreamsOfItsVersionOnly(t *testing.T) {
	takeUp := func(g *Gate) Step {
		c := admit(t, g, resumed("/resumable/1"))
		g.Bind(start, c, g.roster.Find("u0").Entry.Origin())
		return g.Start(start, c)
	}
	g := coldGate("u1")
	g.ObservePause(start, g.roster.Find("u0"), time.Second)
	for g.Start(start, admit(t, g, request("/resumable/1"))).Send != nil { // new requests use up the share of u1
	}
	if s := takeUp(g); s.Refuse == nil || s.Why != Paused {
		t.Errorf("the upstream of its version pauses, that of another one is cold: step %+v, want a refusal for the pause", s)
	}
	g = coldGate("u0")
	for s := takeUp(g); s.Send != nil; s = takeUp(g) {
		if s.Send.Entry.ID != "u0" {
			t.Fatalf("step %+v, want the stream sent to u0", s)
		}
	}
	if s := takeUp(g); s.Refuse == nil || s.Why != Cold {
		t.Errorf("the upstream of its version is cold and has got its share, that of another one is warm: step %+v, want a refusal as cold", s)
	}
}

// A stream that goes on waits for the decision of its pool's home when the only upstream of its version begins to
// leave. That one still serves for a while and must get the stream, as it would if it had begun to leave before the
// request for a grant.
func TestAStreamGoesOnAtAnUpstreamThatBeginsToLeaveWhileItIsPlaced(t *testing.T) {
	for name, path := range map[string]func(now time.Time, g *Gate, c *Call) Step{
		"granted": func(now time.Time, g *Gate, c *Call) Step { return g.Granted(now, start, c, granted("u0", nil)) },
		"refused": func(now time.Time, g *Gate, c *Call) Step {
			return g.HomeRefused(now, c, placement.ReasonNoUpstream, 0)
		},
		"home is silent": func(now time.Time, g *Gate, c *Call) Step { return g.HomeTimedOut(now, c) },
	} {
		o := options()
		o.DrainWithin = 2 * time.Second
		g := gateWith(o, 2)
		engines := config(4)
		engines.Services[0].Engine = &route.Engine{Slots: 24}
		for k := range engines.Routes {
			engines.Routes[k].Generation = engines.Routes[k].Kind == route.Stream
		}
		g.Adopt(route.NewTable(engines))
		setSoftware(g, "u1", "v2", 10)
		g.roster.Confirm(start)
		c := admit(t, g, resumed("/resumable/1"))
		g.Bind(start, c, g.roster.Find("u0").Entry.Origin())
		if s := g.Start(start, c); !s.RequestGrant {
			t.Fatalf("step %+v, want a request for a grant", s)
		}
		g.LearnLeaving(start.Add(50*time.Millisecond), g.roster.Find("u0").Run())
		if s := path(start.Add(100*time.Millisecond), g, c); s.Send == nil || s.Send.Entry.ID != "u0" {
			t.Errorf("%s: step %+v, want the stream sent to u0", name, s)
		}
	}
}
