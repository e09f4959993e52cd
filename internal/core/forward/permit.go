package forward

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// An upstream may state in its responses how many requests per second it accepts from all instances
// together. An instance that knows of such a limit sends only requests for which it has a permit of
// the home of that limit, whatever led to the request: a first attempt, a retry, a grant of a
// pool's home, or the continuation of a moved generation.
const (
	// PermitTimeout is how long an entry waits for the home's first response if the request can be
	// sent elsewhere. Otherwise it waits for as long as the request may wait.
	PermitTimeout = HomeTimeout
	// PermitRetryInterval is the interval at which the request of a queued call is repeated.
	PermitRetryInterval = GrantRetryInterval
	// limitedPenalty keeps calls away from rate-limited upstreams while others have little load.
	limitedPenalty = 2.0
	// refusalTTL is how long after a refusal no permit of the same upstream is requested for calls
	// that are not more urgent.
	refusalTTL = 50 * time.Millisecond
	// resumeMaxWait is how long a moved generation may wait for a permit. Its caller has received
	// a part of it and abandons a stream that pauses for longer.
	resumeMaxWait = 1500 * time.Millisecond
)

// needsPermit reports whether a call may be sent to an upstream only with a permit that it does not
// have.
func (g *Gate) needsPermit(c *Call, u *roster.Upstream) bool {
	return g.limits[u.Run()] != nil && c.permit != u.Run()
}

// requestPermit returns the step that requests a permit for an upstream.
func (g *Gate) requestPermit(now time.Time, c *Call, u *roster.Upstream) Step {
	c.permitFor, c.permitNumber = u, c.permitNumber+1
	c.permitMaxWait, c.permitMaxLateWait = 0, 0
	switch {
	case c.Resuming():
		c.permitMaxWait = min(resumeMaxWait, g.timeLeft(now, c)-minTimeLeft)
	case !c.selfChosen:
		// The pool's home has chosen among all upstreams, and its grant expires.
		c.permitMaxWait = max(c.grantExpiresAt.Sub(now)-PermitTimeout, 0)
	case !g.hasUnlimited(now, c, u):
		c.permitMaxWait = max(c.Arrived.Add(c.Route.Target).Sub(now), 0)
		c.permitMaxLateWait = max(g.timeLeft(now, c)-c.Route.Target, minTimeLeft)
	}
	return Step{RequestPermit: true}
}

// hasUnlimited reports whether a call can be sent without a permit to an upstream other than u.
func (g *Gate) hasUnlimited(now time.Time, c *Call, u *roster.Upstream) bool {
	return slices.ContainsFunc(g.candidates(c.Service), func(o *roster.Upstream) bool {
		return o != u && g.limits[o.Run()] == nil && g.available(now, c, o) && !slices.Contains(c.tried, o)
	})
}

// PermitFor returns the upstream for which a call requests a permit.
func (c *Call) PermitFor() *roster.Upstream { return c.permitFor }

// PermitRequest returns the request for the permit that a call needs, to the home of the upstream's
// limit.
func (g *Gate) PermitRequest(now time.Time, c *Call) msg.PermitRequest {
	run := c.permitFor.Run()
	m := msg.PermitRequest{ID: c.permitID(), Rank: c.Rank, MaxWait: c.permitMaxWait, MaxLateWait: c.permitMaxLateWait}
	m.Limit = rateStatement(now, run, ratelimit.Limit{}, time.Time{})
	if l := g.limits[run]; l != nil {
		m.Limit = rateStatement(now, run, l.limit, l.heardAt)
	}
	return m
}

// ProbePermit returns the request for a permit to probe an upstream; ok is false if none is needed.
func (g *Gate) ProbePermit(now time.Time, u *roster.Upstream) (m msg.PermitRequest, ok bool) {
	l := g.limits[u.Run()]
	if l == nil {
		return m, false
	}
	g.lastProbe++
	return msg.PermitRequest{
		ID: fmt.Sprintf("probe-%s-%d", g.options.Name, g.lastProbe), Limit: rateStatement(now, u.Run(), l.limit, l.heardAt), Spare: true,
	}, true
}

// permitID identifies the request for a permit; it begins with the id of the request.
func (c *Call) permitID() string { return c.ID + "/permit-" + strconv.Itoa(c.permitNumber) }

// Permitted sends a call for which a permit has arrived. The upstream may have become unavailable
// meanwhile.
func (g *Gate) Permitted(now time.Time, c *Call) Step {
	u := c.permitFor
	c.permitFor, c.permit = nil, u.Run()
	defer func() { c.permit = roster.Run{} }()
	switch {
	case c.Resuming():
		return g.resume(now, c)
	case !g.mayUsePermit(now, c, u):
		return g.avoid(now, c, u, NoUpstream, busyRetryAfter)
	}
	return g.orFailAttempt(now, c, g.sendTo(now, c, u))
}

// mayUsePermit reports whether an upstream still accepts a call for which there is a permit.
func (g *Gate) mayUsePermit(now time.Time, c *Call, u *roster.Upstream) bool {
	if !g.maySend(c, u) || g.paused(now, u.Run()) {
		return false
	}
	if c.selfChosen {
		return g.wantsCalls(now, c, u)
	}
	return !now.After(c.grantExpiresAt)
}

// PermitRefused processes the refusal of a permit: the call is sent elsewhere, or refused with the
// Retry-After that the home gave. A home that did not respond counts as a refusal.
func (g *Gate) PermitRefused(now time.Time, c *Call, retryAfter time.Duration) Step {
	u := c.permitFor
	c.permitFor = nil
	if c.Resuming() {
		c.resumeTargets = c.resumeTargets[1:]
		if len(c.resumeTargets) == 0 {
			return g.failCall(c, RateLimit, 0, c.Events > 0)
		}
		return g.resume(now, c)
	}
	if l := g.limits[u.Run()]; l != nil {
		l.refusedUntil, l.refusedRank, l.retryAfter = now.Add(refusalTTL), c.Rank, retryAfter
	}
	return g.avoid(now, c, u, RateLimit, retryAfter)
}

// PermitHomeSilent processes that the home of a limit has not responded. It counts as a refusal for
// the time until another instance takes its place.
func (g *Gate) PermitHomeSilent(now time.Time, c *Call) Step {
	return g.PermitRefused(now, c, busyRetryAfter)
}

// permitRefused reports whether the permit of an upstream was refused a moment ago for a call of
// the same urgency.
func (g *Gate) permitRefused(now time.Time, c *Call, u *roster.Upstream) bool {
	l := g.limits[u.Run()]
	return l != nil && now.Before(l.refusedUntil) && c.Rank >= l.refusedRank
}

// limitRetryAfter returns the Retry-After of a call that no upstream takes because of their limits,
// or 0 if the limits are not the reason.
func (g *Gate) limitRetryAfter(now time.Time, c *Call) time.Duration {
	var shortest time.Duration
	for _, u := range g.candidates(c.Service) {
		if g.maySend(c, u) && g.permitRefused(now, c, u) {
			if l := g.limits[u.Run()]; shortest == 0 || l.retryAfter < shortest {
				shortest = l.retryAfter
			}
		}
	}
	if shortest == 0 {
		return 0
	}
	// Callers that are refused without a request to the home must not all return together.
	return shortest + time.Duration(g.rng.Float64()*float64(shortest))
}
