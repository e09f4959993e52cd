package forward

import (
	"slices"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

const (
	// HomeTimeout is how long an entry waits for a home's first answer before it chooses on
	// its own.
	HomeTimeout = 60 * time.Millisecond
	// AskInterval is the interval at which a queued request is repeated, to detect a dead
	// home.
	AskInterval = 400 * time.Millisecond
	// maxWaitTargets bounds queueing time in multiples of the target latency. Callers abandon
	// a silent stream after four.
	maxWaitTargets = 3.0
)

// Ask returns the request to the home of a call's pool.
func (g *Gate) Ask(now time.Time, c *Call) msg.GrantAsk {
	ask := placement.Ask{
		Attempt: c.Grant(), Org: c.Organisation, Fingerprint: c.Print, Prompt: max(c.PromptTokens, 1),
		MaxOutput: max(c.MaxOutput, 1), Expected: c.Hint, MaxWait: c.maxWait(now), FirstTarget: c.Route.Target,
		DataCentres: g.allowedDataCentres(c),
	}
	for _, u := range c.tried {
		ask.Exclude = append(ask.Exclude, u.ID)
	}
	return msg.GrantAsk{Pool: c.Pool, Ask: ask}
}

// maxPools is the number of pools of a divided service that are asked for one call. The pools
// of a data centre fill up alike, but one may have lost its upstreams.
const maxPools = 2

// nextPool chooses the next pool to ask: the whole service, or one of its groups, in this data
// centre if possible. It reports false if enough pools have been asked.
func (g *Gate) nextPool(c *Call) bool {
	layout, _ := g.roster.Layout()
	pools := []roster.Group{roster.Whole(c.Service)}
	if layout[c.Service] != nil {
		pools = slices.DeleteFunc(layout.Groups(c.Service, ""), func(p roster.Group) bool { return !g.open(c, p.DataCentre) })
		near := slices.DeleteFunc(slices.Clone(pools), func(p roster.Group) bool { return p.DataCentre != g.options.DataCentre })
		if len(near) > 0 {
			pools = near
		}
	}
	pools = slices.DeleteFunc(pools, func(p roster.Group) bool { return p.Name() == c.Pool })
	if len(pools) == 0 || c.offers >= maxPools {
		return false
	}
	c.offers++
	c.Pool = pools[g.rng.IntN(len(pools))].Name()
	return true
}

// PoolOf names the pool of an attempt's upstream. It changes when a service is divided anew.
func (g *Gate) PoolOf(a *Attempt) string {
	layout, _ := g.roster.Layout()
	return layout.Of(a.Entry).Name()
}

// Grant names the current attempt towards the home.
func (c *Call) Grant() string {
	if c.grants == 0 {
		return c.ID
	}
	return c.ID + "/" + strconv.Itoa(c.grants)
}

func (c *Call) maxWait(now time.Time) time.Duration {
	return min(time.Duration(maxWaitTargets*float64(c.Route.Target)), c.Deadline.Sub(now))
}

// wantsHome reports whether a pool home places the call.
func (g *Gate) wantsHome(c *Call) bool {
	s := g.table.Service(c.Service)
	return c.Route.Generation && s != nil && s.Engine != nil && !g.options.Without.Has(mechanism.Homes)
}

// Granted processes a grant that was requested at asked. A lapsed grant is requested again:
// the entry may have been frozen in between. If the upstream is unknown or takes no work, the
// entry chooses on its own.
func (g *Gate) Granted(now, asked time.Time, c *Call, a msg.GrantAnswer) Step {
	if a.TTL > 0 && now.Sub(asked) >= a.TTL {
		return Step{AskHome: true, Why: GrantLapsed}
	}
	u := g.roster.Find(a.Decision.Upstream)
	if u == nil && a.Entry != nil && !g.roster.Left(*a.Entry) {
		u = g.foreign(now, *a.Entry)
	}
	if u == nil || !g.takes(c, u) {
		return g.send(now, c)
	}
	return g.sendTo(now, c, u)
}

// foreign returns an upstream that is known from a grant only.
func (g *Gate) foreign(now time.Time, e roster.Entry) *roster.Upstream {
	u := g.strangers[e.ID]
	if u == nil || u.Born != e.Born || u.Address != e.Address {
		u = &roster.Upstream{Entry: e, Seen: now}
		g.strangers[e.ID] = u
	}
	return u
}

// Leaves records a home's notice that an attempt's upstream is leaving, so that a broken
// stream is not mistaken for a crash.
func (g *Gate) Leaves(now time.Time, a *Attempt) { g.roster.MarkLeaving(now, a.Upstream) }

// HomeRefused processes a home's refusal.
func (g *Gate) HomeRefused(c *Call, reason string, after time.Duration) Step {
	if g.nextPool(c) {
		c.grants++
		return Step{AskHome: true}
	}
	switch reason {
	case placement.ReasonNoUpstream:
		return g.giveUp(c, NoUpstream, after)
	case placement.ReasonCordoned:
		return g.giveUp(c, Cordoned, after)
	}
	return g.giveUp(c, PoolFull, after)
}

// HomeSilent makes the entry choose on its own.
func (g *Gate) HomeSilent(now time.Time, c *Call) Step { return g.send(now, c) }

// Redirect records that a call's generation was moved: the next attempt continues from the
// copy. fallback is an alternative, such as the source, which keeps its state.
func (g *Gate) Redirect(c *Call, u *roster.Upstream, copyAt string, fallback *Attempt) {
	c.redirect, c.resumed = []*Attempt{{Upstream: u, CopyAt: copyAt}}, false
	if fallback != nil {
		c.redirect = append(c.redirect, fallback)
	}
}

// resume sends a call to a copy of its generation. Neither attempts nor body size limit this:
// the generation is the same.
func (g *Gate) resume(now time.Time, c *Call) Step {
	c.redirect = slices.DeleteFunc(c.redirect, func(a *Attempt) bool { return !g.mayPickUp(now, a.Upstream) })
	if len(c.redirect) == 0 {
		return g.fail(c, Cordoned, 0, c.Events > 0)
	}
	a := c.redirect[0]
	c.redirect, c.resumed = c.redirect[1:], true
	left := c.Deadline.Sub(now)
	if left < minTimeLeft {
		return g.fail(c, OutOfTime, 0, c.Events > 0)
	}
	a.Entry, a.Number, a.Sent, a.Within, a.tokens = a.Upstream.Entry, c.sends, now, left, c.tokens()
	g.begin(c, a)
	g.budget(c.Service).repeat(now)
	return Step{Send: a}
}
