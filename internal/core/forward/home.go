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
	// HomeTimeout is how long an entry waits for the home's first response before it chooses
	// the upstream itself.
	HomeTimeout = 60 * time.Millisecond
	// GrantRetryInterval is the interval at which the grant request of a queued call is repeated,
	// to detect a dead home.
	GrantRetryInterval = 400 * time.Millisecond
	// maxWaitTargets bounds the queueing time without deferrals, in multiples of the target
	// latency. Callers abandon a silent stream after four target latencies.
	maxWaitTargets = 3.0
)

// GrantRequest returns the grant request to the home of a call's pool.
func (g *Gate) GrantRequest(now time.Time, c *Call) msg.GrantRequest {
	req := placement.Request{
		Attempt: c.Grant(), Org: c.Organisation, Fingerprint: c.Fingerprint, Prompt: max(c.PromptTokens, 1),
		MaxOutput: max(c.MaxOutput, 1), Expected: c.Hint, MaxWait: g.maxWait(now, c), FirstTarget: c.Route.Target,
		DataCentres: g.allowedDataCentres(c),
	}
	if c.origin != nil {
		req.Software = c.origin.Software
	}
	for _, u := range c.tried {
		req.Exclude = append(req.Exclude, u.ID)
	}
	req.Exclude = append(req.Exclude, c.avoided...)
	req.Exclude = append(req.Exclude, g.pausedOf(now)...)
	return msg.GrantRequest{Pool: c.Pool, Request: req}
}

// RankedGrantRequest returns the grant request to a home that understands urgency.
func (g *Gate) RankedGrantRequest(now time.Time, c *Call) msg.RankedGrantRequest {
	return msg.RankedGrantRequest{Grant: g.GrantRequest(now, c), Rank: c.Rank, TimeLeft: max(g.timeLeft(now, c), 0)}
}

// maxPools is the maximum number of pools of a divided service from which a grant for one call is
// requested. The pools of a data centre are usually equally full, but one may have lost its
// upstreams.
const maxPools = 2

// nextPool sets the call's pool to the next one from which to request a grant: the pool of the
// undivided service, or that of one of the service's groups, in this data centre if possible. It
// reports false if no other pool is left or maxPools have been tried.
func (g *Gate) nextPool(c *Call) bool {
	layout, _ := g.roster.Layout()
	pools := []roster.Group{roster.Undivided(c.Service)}
	if layout[c.Service] != nil {
		pools = slices.DeleteFunc(layout.Groups(c.Service, ""), func(p roster.Group) bool { return !g.mayUse(c, p.DataCentre) })
		near := slices.DeleteFunc(slices.Clone(pools), func(p roster.Group) bool { return p.DataCentre != g.options.DataCentre })
		if len(near) > 0 {
			pools = near
		}
	}
	pools = slices.DeleteFunc(pools, func(p roster.Group) bool { return p.Name() == c.Pool })
	if len(pools) == 0 || c.poolsTried >= maxPools {
		return false
	}
	c.poolsTried++
	c.Pool = pools[g.rng.IntN(len(pools))].Name()
	return true
}

// PoolOf returns the name of the pool of an attempt's upstream. The pool changes when the service
// is divided into groups again.
func (g *Gate) PoolOf(a *Attempt) string {
	layout, _ := g.roster.Layout()
	return layout.GroupOf(a.Entry).Name()
}

// Grant returns the id under which the home knows the current attempt.
func (c *Call) Grant() string {
	if c.grantRetries == 0 {
		return c.ID
	}
	return c.ID + "/" + strconv.Itoa(c.grantRetries)
}

// maxWait returns how long the call may be queued at the home.
func (g *Gate) maxWait(now time.Time, c *Call) time.Duration {
	held := placement.MaxHeld(c.Route.Target)
	if g.options.Without.Has(mechanism.Deferrals) {
		held = time.Duration(maxWaitTargets * float64(c.Route.Target))
	}
	return min(held, g.timeLeft(now, c))
}

// placedByHome reports whether a pool's home chooses the upstream of the call.
func (g *Gate) placedByHome(c *Call) bool {
	s := g.table.Service(c.Service)
	if c.origin != nil && c.origin.Software == "" {
		return false // only one run may go on with the stream
	}
	return c.Route.Generation && s != nil && s.Engine != nil && !g.options.Without.Has(mechanism.Homes)
}

// Granted processes a grant; requestedAt is when it was requested. An expired grant is requested
// again: the entry may have been frozen in between. If the granted upstream is unknown or takes
// no work, the entry chooses one itself.
func (g *Gate) Granted(now, requestedAt time.Time, c *Call, a msg.GrantResponse) Step {
	if a.TTL > 0 && now.Sub(requestedAt) >= a.TTL {
		return Step{RequestGrant: true, Why: GrantExpired}
	}
	u := g.roster.Find(a.Decision.Upstream)
	if u == nil && a.Entry != nil && !g.roster.RecentlyRemoved(*a.Entry) {
		u = g.unlistedUpstream(now, *a.Entry)
	}
	if u != nil && !g.admits(c, u.Entry) {
		return g.avoid(now, c, u, NoSameSoftware, originRetryAfter)
	}
	if u == nil || !g.maySend(c, u) {
		return g.send(now, c)
	}
	c.selfChosen, c.grantExpiresAt = false, requestedAt.Add(a.TTL)
	if g.paused(now, u.Run()) {
		return g.avoid(now, c, u, Paused, busyRetryAfter)
	}
	return g.sendTo(now, c, u)
}

// unlistedUpstream returns the upstream of a grant's entry, which is not in the roster.
func (g *Gate) unlistedUpstream(now time.Time, e roster.Entry) *roster.Upstream {
	u := g.unlisted[e.ID]
	if u == nil || u.Born != e.Born || u.Address != e.Address {
		u = &roster.Upstream{Entry: e, FirstSeen: now, LeavingSince: g.roster.LeftAt(e.Run())}
		g.unlisted[e.ID] = u
	}
	return u
}

// Leaves records the home's notice that an attempt's upstream is leaving, so that a broken
// stream is not mistaken for a crash.
func (g *Gate) Leaves(now time.Time, a *Attempt) { g.roster.MarkLeaving(now, a.Upstream) }

// HomeRefused processes the home's refusal: a grant is requested from another pool, or the call is
// refused with the Retry-After that the home gave.
func (g *Gate) HomeRefused(now time.Time, c *Call, reason string, retryAfter time.Duration) Step {
	if s, sent := g.sendToLeaving(now, c); sent {
		return s
	}
	if g.nextPool(c) {
		c.grantRetries++
		return Step{RequestGrant: true}
	}
	switch reason {
	case placement.ReasonNoUpstream:
		if c.origin != nil {
			return g.refuse(c, NoSameSoftware, originRetryAfter)
		}
		return g.refuse(c, NoUpstream, retryAfter)
	case placement.ReasonCordoned:
		return g.refuse(c, Cordoned, retryAfter)
	case placement.ReasonDeferred:
		return g.refuse(c, Deferred, retryAfter)
	}
	return g.refuse(c, PoolFull, retryAfter)
}

// HomeTimedOut makes the entry choose the upstream itself, because the home did not respond.
func (g *Gate) HomeTimedOut(now time.Time, c *Call) Step { return g.send(now, c) }

// Redirect records that a call's generation was moved to u: the next attempt continues from the
// copy. fallback is an alternative for that attempt, such as the source, which keeps the
// generation's state; nil if there is none. What the copy holds binds the call to the software that wrote it.
func (g *Gate) Redirect(c *Call, u *roster.Upstream, copyAt string, fallback *Attempt) {
	if c.current != nil {
		c.bind(c.current.Entry)
	}
	c.resumeTargets, c.resumed = []*Attempt{{Upstream: u, CopyAt: copyAt}}, false
	if fallback != nil {
		c.resumeTargets = append(c.resumeTargets, fallback)
	}
}

// DiscardCopies discards the copies of a move of the current attempt, which must not be used.
func (c *Call) DiscardCopies() {
	if c.Redirected() {
		c.resumeTargets = nil
	}
}

// resume sends a call to an upstream that has a copy of its generation. Neither the maximum
// number of attempts nor an unbuffered body prevents this, because the generation only
// continues.
func (g *Gate) resume(now time.Time, c *Call) Step {
	c.resumeTargets = slices.DeleteFunc(c.resumeTargets, func(a *Attempt) bool { return !g.mayResumeAt(now, c, a.Upstream) })
	if len(c.resumeTargets) == 0 {
		why := NoUpstream
		if g.originUnavailable(c) {
			why = NoSameSoftware
		}
		return g.failCall(c, why, 0, c.Events > 0)
	}
	left := g.timeLeft(now, c)
	if left < minTimeLeft {
		return g.failCall(c, OutOfTime, 0, c.Events > 0)
	}
	a := c.resumeTargets[0]
	if g.needsPermit(c, a.Upstream) {
		return g.requestPermit(now, c, a.Upstream)
	}
	c.resumeTargets, c.resumed = c.resumeTargets[1:], true
	a.Entry, a.Number, a.Sent, a.TimeLimit = a.Upstream.Entry, c.sends, now, left
	a.tokens, a.bodyBytes = c.tokens(), c.bodyBytes()
	g.beginAttempt(c, a)
	g.budget(c.Service).addRetry(now)
	return Step{Send: a}
}
