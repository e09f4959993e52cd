package forward

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/status"
)

// A stream of which the caller has an event goes on only at an upstream that its origin admits, whatever leads
// there: a retry, a grant, a permit, a move, or the caller's next try. Every choice passes admits.

// originRetryAfter is the Retry-After if no upstream may go on with a stream. One that has crashed is back
// within some seconds.
const originRetryAfter = 2 * time.Second

// TakesUp reports whether a call goes on with a stream of which its caller got events in an earlier try.
func (c *Call) TakesUp() bool { return c.Route.Kind == route.Stream && c.GoesOn() }

// Bind sets where the stream began that a call takes up, or refuses the call.
func (g *Gate) Bind(now time.Time, c *Call, o roster.Origin) *Refusal {
	if !slices.ContainsFunc(c.Route.Targets, func(t route.Target) bool { return t.Service == o.Service }) {
		return &Refusal{Status: status.ServiceUnavailable, Reason: NoSameSoftware}
	}
	c.origin = &o
	return g.assign(now, c, o.Service)
}

// RefuseUnbound returns the refusal of a call that takes up a stream of unknown origin. It is final: to wait
// would not tell more, and the caller can begin the stream anew.
func (g *Gate) RefuseUnbound() *Refusal {
	return &Refusal{Status: status.ServiceUnavailable, Reason: UnknownOrigin}
}

// Origin returns the origin of a call's stream; ok is false if no upstream has made an event of it yet.
func (c *Call) Origin() (o roster.Origin, ok bool) {
	if c.origin == nil {
		return o, false
	}
	return *c.origin, true
}

// bind sets the origin of a call's stream, unless it has one.
func (c *Call) bind(e roster.Entry) {
	if c.origin == nil {
		o := e.Origin()
		c.origin = &o
	}
}

// admits reports whether the software of an entry's upstream may run a call.
func (g *Gate) admits(c *Call, e roster.Entry) bool {
	return c.origin == nil || c.origin.Admits(e) && !g.isAmbiguous(*c.origin)
}

// memoryFits reports whether an entry's upstream may use the memory that the upstream of a call's current
// attempt has written, also if that has made no event yet.
func (c *Call) memoryFits(e roster.Entry) bool {
	return c.current == nil || c.current.Entry.Origin().Admits(e)
}

// isAmbiguous reports whether an origin may name the wrong software: its upstream has started again under its
// id with another one. Until the list showed that, the new run was taken for the old one.
func (g *Gate) isAmbiguous(o roster.Origin) bool {
	u := g.roster.Find(o.Run.ID)
	if u == nil || u.Software == o.Software {
		return false
	}
	learned := u.Run() == o.Run && (u.Software == "" || o.Software == "")
	return !learned
}

// originUnavailable reports whether a call's stream has begun and no upstream that is known takes it. The
// homes of a divided service know more upstreams.
func (g *Gate) originUnavailable(c *Call) bool {
	if c.origin == nil {
		return false
	}
	if layout, _ := g.roster.Layout(); layout[c.Service] != nil && !g.isAmbiguous(*c.origin) {
		return false
	}
	return !slices.ContainsFunc(g.roster.UpstreamsOf(c.Service), func(u *roster.Upstream) bool { return u.TakesWork() && g.admits(c, u.Entry) })
}

// leaveMargin is the part of Options.DrainWithin in which a leaving upstream gets nothing more, for the time on the
// way.
const leaveMargin = 400 * time.Millisecond

// leavingOfOrigin returns an upstream that has just begun to leave and may go on with a call's stream, of which no
// other upstream can: the one that leaves last, or nil. It still serves for a while, and the stream is lost otherwise.
func (g *Gate) leavingOfOrigin(now time.Time, c *Call) (last *roster.Upstream) {
	for _, u := range g.roster.UpstreamsOf(c.Service) {
		switch {
		case !g.mayServeLeaving(now, u):
		case !g.admits(c, u.Entry) || !g.mayUse(c, u.DataCentre) || slices.Contains(c.tried, u):
		case g.limits[u.Run()] != nil || g.load(u).inBackoff(now) || !g.wantsCalls(now, c, u):
		case last == nil || u.LeavingAsOf.After(last.LeavingAsOf):
			last = u
		}
	}
	return last
}

// mayServeLeaving reports whether a listed upstream that leaves has begun to do so so lately that a request still reaches
// it within Options.DrainWithin.
func (g *Gate) mayServeLeaving(now time.Time, u *roster.Upstream) bool {
	return !u.Removed && !u.LeavingAsOf.IsZero() && now.Sub(u.LeavingAsOf) <= g.options.DrainWithin-leaveMargin
}

// sendToLeaving sends a stream that has begun to an upstream that has just begun to leave, if no other one may go on
// with it, and reports whether there is one.
func (g *Gate) sendToLeaving(now time.Time, c *Call) (Step, bool) {
	if !g.originUnavailable(c) {
		return Step{}, false
	}
	u := g.leavingOfOrigin(now, c)
	if u == nil {
		return Step{}, false
	}
	c.selfChosen = true
	s := g.sendTo(now, c, u)
	if s.Send != nil {
		s.Send.toLeaving = true
	}
	return s, true
}

// NotAdmitted lists the ids of the known upstreams whose software may not run a call. A home of an earlier
// release does not know the origin of a call, and gets them as exclusions.
func (g *Gate) NotAdmitted(c *Call) (ids []string) {
	if c.origin == nil {
		return nil
	}
	for _, u := range g.roster.UpstreamsOf(c.Service) {
		if !g.admits(c, u.Entry) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}
