package forward

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/statement"
)

// limit returns the statement of a rate limit.
func limit(perSecond float64) statement.Statement {
	return statement.Statement{RateLimit: ratelimit.Limit{Stated: true, PerSecond: perSecond}}
}

// limitAll makes every upstream of the gate state a limit.
func limitAll(g *Gate) {
	for _, u := range g.roster.All() {
		g.ObserveLimit(start, u, start, limit(4.3))
	}
}

// A path that sends to a limited upstream without a permit sends what the limit does not allow.
func TestEveryPathToALimitedUpstreamNeedsAPermit(t *testing.T) {
	grant := func(id string, entry *roster.Entry) msg.GrantResponse {
		return msg.GrantResponse{Decision: placement.Decision{Kind: placement.Granted, Upstream: id}, Entry: entry, TTL: time.Second}
	}
	for name, path := range map[string]func(g *Gate, c *Call) Step{
		"the first attempt": func(g *Gate, c *Call) Step { limitAll(g); return g.Start(start, c) },
		"a retry": func(g *Gate, c *Call) Step {
			g.Start(start, c)
			limitAll(g)
			return g.Ended(start, c, Rejected, false)
		},
		"a grant of a pool's home": func(g *Gate, c *Call) Step {
			limitAll(g)
			return g.Granted(start, start, c, grant("u0", nil))
		},
		"a grant for an upstream that is not listed": func(g *Gate, c *Call) Step {
			e := roster.Entry{ID: "other", Service: "desk", Address: "other:80", DataCentre: "dc-a", Born: 7}
			g.ObserveLimit(start, &roster.Upstream{Entry: e}, start, limit(4.3))
			return g.Granted(start, start, c, grant("other", &e))
		},
		"the entry's own choice while the home is silent": func(g *Gate, c *Call) Step {
			limitAll(g)
			return g.HomeTimedOut(start, c)
		},
		"the continuation of a moved generation": func(g *Gate, c *Call) Step {
			s := g.Start(start, c)
			g.Redirect(c, s.Send.Upstream, "copy", nil)
			limitAll(g)
			return g.Ended(start, c, Lost, false)
		},
		"an upstream whose entry lapsed and returned": func(g *Gate, c *Call) Step {
			limitAll(g)
			g.roster.Update(start, []roster.Change{{ID: "u0", Version: 10, Removed: true}, {ID: "u1", Version: 10, Removed: true}}, 10)
			addUpstreamsAt(g, 2, 11)
			return g.Start(start, c)
		},
		"a limit that another instance was told": func(g *Gate, c *Call) Step {
			for _, u := range g.roster.All() {
				g.LearnLimit(start, msg.RateStatement{Upstream: u.ID, Boot: "0", Stated: true, PerSecond: 4.3})
			}
			return g.Start(start, c)
		},
	} {
		g := gate(t, 2)
		if s := path(g, admit(t, g, request("/safe/1"))); !s.RequestPermit {
			t.Errorf("%s: next step %+v, want a request for a permit", name, s)
		}
	}
}

// addUpstreamsAt adds upstreams of the service "desk" to the roster at a version of the list.
func addUpstreamsAt(g *Gate, upstreams int, version int64) {
	for k := range upstreams {
		id := fmt.Sprintf("u%d", k)
		g.roster.Update(start, []roster.Change{{ID: id, Version: version, Valid: true, Entry: roster.Entry{
			ID: id, Service: "desk", Address: id + ":80", DataCentre: "dc-a", Slots: 6,
		}}}, version)
	}
}

// Responses overtake each other: one that was written before the limit began must not end it, and
// neither may a late response to an earlier request.
func TestALimitEndsOnlyWithALaterResponse(t *testing.T) {
	g := gate(t, 1)
	u := g.roster.Find("u0")
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	if c, changed := g.ObserveLimit(at(100), u, at(0), limit(4.3)); !changed || !c.To.Stated || !c.Report.Stated {
		t.Fatalf("change %+v, want the begin of a limit", c)
	}
	for name, sentAt := range map[string]time.Time{"an earlier request": at(50), "an unknown request": {}} {
		if _, changed := g.ObserveLimit(at(110), u, sentAt, statement.Statement{}); changed {
			t.Errorf("the limit ended with a response to %s, want it to hold", name)
		}
	}
	if _, changed := g.ObserveLimit(at(120), u, at(110), statement.Statement{RateUnreadable: true}); changed {
		t.Error("the limit changed with a response that cannot be read, want it to hold")
	}
	if c, changed := g.ObserveLimit(at(130), u, at(110), limit(2)); !changed || c.To.PerSecond != 2 {
		t.Errorf("change %+v, want the lower limit", c)
	}
	if c, changed := g.ObserveLimit(at(200), u, at(140), statement.Statement{}); !changed || c.To.Stated || c.Report.Age != 60*time.Millisecond {
		t.Errorf("change %+v, want the end of the limit as of the request", c)
	}
	if _, changed := g.LearnLimit(at(210), msg.RateStatement{Upstream: "u0", Boot: "0", Stated: true, PerSecond: 2, Age: 80 * time.Millisecond}); !changed {
		t.Error("a limit that another instance heard later is not learned")
	}
	if _, changed := g.LearnLimit(at(220), msg.RateStatement{Upstream: "u0", Boot: "0", Age: 120 * time.Millisecond}); changed {
		t.Error("the limit ended with an older announcement, want it to hold")
	}
}

// Another run of an upstream under the same id holds nothing of what the last one stated.
func TestARestartedUpstreamHasNoLimit(t *testing.T) {
	g := gate(t, 1)
	limitAll(g)
	g.roster.Update(start, []roster.Change{{ID: "u0", Version: 9, Valid: true, Entry: roster.Entry{
		ID: "u0", Service: "desk", Address: "u0:80", DataCentre: "dc-a", Born: 5,
	}}}, 9)
	if s := g.Start(start, admit(t, g, request("/safe/1"))); s.Send == nil {
		t.Errorf("next step %+v, want the request sent to the restarted upstream", s)
	}
}

// What another upstream can run goes there. What none can run is refused at once, with the time at
// which there is room.
func TestCallsWithoutAPermit(t *testing.T) {
	g := gate(t, 2)
	g.ObserveLimit(start, g.roster.Find("u0"), start, limit(4.3))
	for range 20 {
		if s := g.Start(start, admit(t, g, request("/once/1"))); s.Send == nil || s.Send.Entry.ID != "u1" {
			t.Fatalf("next step %+v, want the request sent to the upstream without a limit", s)
		} else {
			g.Ended(start, &Call{Request: request("/once/1"), Route: g.table.Find("h", "/once/1"), Service: "desk", current: s.Send}, Done, true)
		}
	}
	g = gate(t, 2)
	limitAll(g)
	c := admit(t, g, request("/once/1"))
	s := g.Start(start, c)
	if m := g.PermitRequest(start, c); !s.RequestPermit || m.MaxLateWait == 0 || m.Limit.PerSecond != 4.3 {
		t.Errorf("request %+v, want one that may wait, with the limit", m)
	}
	first := c.PermitFor()
	if s = g.PermitRefused(start, c, 700*time.Millisecond); !s.RequestPermit || c.PermitFor() == first {
		t.Fatalf("next step %+v for %s, want a permit of the other upstream", s, c.PermitFor().ID)
	}
	if s = g.PermitRefused(start, c, 800*time.Millisecond); s.Refuse == nil || s.Refuse.Reason != RateLimit || s.Refuse.Status != 503 || s.Refuse.RetryAfter < 700*time.Millisecond {
		t.Errorf("next step %+v, want a refusal for the rate limits with a Retry-After of 0.7 s or more", s.Refuse)
	}
}

// A call whose first attempt failed ends like that attempt if there is no permit for another one.
func TestAFailedCallWithoutAPermitEndsLikeItsAttempt(t *testing.T) {
	g := gate(t, 2)
	c := admit(t, g, request("/safe/1"))
	g.Start(start, c)
	limitAll(g)
	s := g.Ended(start, c, Failed, false)
	for s.RequestPermit {
		s = g.PermitRefused(start, c, time.Second)
	}
	if !s.Relay {
		t.Errorf("last step %+v, want the upstream's error response forwarded", s)
	}
}

// Between the request for a permit and its arrival the upstream may leave or a cordon may begin.
func TestAPermitForAnUnavailableUpstreamIsNotUsed(t *testing.T) {
	g := gate(t, 2)
	limitAll(g)
	c := admit(t, g, request("/once/1"))
	g.Start(start, c)
	u := c.PermitFor()
	g.roster.MarkLeaving(start, u)
	if s := g.Permitted(start, c); s.Send != nil || !s.RequestPermit || c.PermitFor() == u {
		t.Errorf("next step %+v, want a permit of the other upstream", s)
	}
}

// A moved generation waits for a permit at its destination, and goes on at the source if there is
// none.
func TestAMovedGenerationWithoutAPermitContinuesAtTheSource(t *testing.T) {
	g := gate(t, 2)
	c := admit(t, g, request("/stream/1"))
	source := g.Start(start, c).Send
	destination := g.roster.Find("u0")
	if source.Upstream == destination {
		destination = g.roster.Find("u1")
	}
	c.Progress(start, "1")
	g.ObserveLimit(start, destination, start, limit(1))
	g.Redirect(c, destination, "copy", &Attempt{Upstream: source.Upstream, CopyAt: "copy"})
	s := g.Ended(start, c, Cut, true)
	if m := g.PermitRequest(start, c); !s.RequestPermit || !c.Resuming() || m.MaxWait == 0 {
		t.Fatalf("next step %+v with request %+v, want a permit that may wait", s, m)
	}
	if s = g.PermitRefused(start, c, time.Second); s.Send == nil || s.Send.Upstream != source.Upstream || s.Send.CopyAt != "copy" {
		t.Errorf("next step %+v, want the generation to continue at the source", s)
	}
}

// A grant that expires while its call waits for a permit must not be used: the upstream may have
// begun to leave, and an instance that does not list it would not know.
func TestAGrantThatExpiresBeforeThePermitIsNotUsed(t *testing.T) {
	g := largeGate(t)
	c := admit(t, g, request("/stream/1"))
	g.Start(start, c)
	u := g.roster.All()[0]
	g.ObserveLimit(start, u, start, limit(1))
	s := g.Granted(start, start, c, msg.GrantResponse{Decision: placement.Decision{Kind: placement.Granted, Upstream: u.ID}, TTL: time.Second})
	if m := g.PermitRequest(start, c); !s.RequestPermit || m.MaxWait <= 0 || m.MaxWait >= time.Second {
		t.Fatalf("next step %+v with request %+v, want a permit within the validity of the grant", s, m)
	}
	if s = g.Permitted(start.Add(1100*time.Millisecond), c); !s.RequestGrant {
		t.Errorf("next step %+v after the grant expired, want another grant", s)
	}
}

// An instance that starts must keep what the others know, before its own first response.
func TestStatementsAreHandedOnToAnotherInstance(t *testing.T) {
	from, to := gate(t, 3), gate(t, 3)
	from.ObserveLimit(start, from.roster.Find("u0"), start, limit(4.3))
	from.LearnLeaving(start, from.roster.Find("u1").Run())
	for _, m := range from.Statements(start) {
		switch m := m.(type) {
		case msg.RateStatement:
			to.LearnLimit(start, m)
		case msg.UpstreamLeaving:
			to.LearnLeaving(start, from.roster.Find(m.Upstream).Run())
		}
	}
	if got := to.RateLimit(to.roster.Find("u0").Run()); got.PerSecond != 4.3 {
		t.Errorf("limit %+v, want 4.3 a second", got)
	}
	if u := to.roster.Find("u1"); u.LeavingSince.IsZero() {
		t.Error("the leaving upstream is not known to leave")
	}
	if s := to.Start(start, admit(t, to, request("/once/1"))); s.Send == nil || s.Send.Entry.ID != "u2" {
		t.Errorf("next step %+v, want the request sent to the upstream that states nothing", s)
	}
}

// A granted permit is used, although another call was refused one of the same upstream meanwhile: while
// callers send more than the upstream accepts, there is always such a refusal.
func TestAPermitIsUsedDespiteOtherRefusals(t *testing.T) {
	g := gate(t, 1)
	limitAll(g)
	granted, refused := admit(t, g, request("/once/1")), admit(t, g, request("/once/1"))
	g.Start(start, granted)
	g.Start(start, refused)
	g.PermitRefused(start, refused, time.Second)
	if s := g.Permitted(start.Add(refusalTTL/2), granted); s.Send == nil {
		t.Errorf("next step %+v, want the request sent", s)
	}
}
