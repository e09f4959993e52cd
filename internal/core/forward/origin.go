package forward

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// A stream of which the caller has an event goes on only at an upstream that its origin admits, whatever leads
// there: a retry, a grant, a permit, a move, or the caller's next try. Every choice passes admits.

// originRetryAfter is the Retry-After if no upstream may go on with a stream. One that has crashed is back
// within some seconds.
const originRetryAfter = 2 * time.Second

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
	return u != nil && u.Run() != o.Run && u.Software != o.Software
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
