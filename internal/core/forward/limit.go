package forward

import (
	"cmp"
	"fmt"
	"maps"
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
	// maxAvoidances is the maximum number of chosen upstreams that do not take a call, for lack of a
	// permit or because they have asked for a pause, before the call is refused.
	maxAvoidances = 3
	// limitedPenalty keeps calls away from rate-limited upstreams while others have little load.
	limitedPenalty = 2.0
	// refusalTTL is how long after a refusal no permit of the same upstream is requested for calls
	// that are not more urgent.
	refusalTTL = 50 * time.Millisecond
	// resumeMaxWait is how long a moved generation may wait for a permit. Its caller has received
	// a part of it and abandons a stream that pauses for longer.
	resumeMaxWait = 1500 * time.Millisecond
	// limitTTL is how long the limit of an upstream is kept that is not in the list.
	limitTTL = 10 * time.Minute
	// announceInterval is the minimum interval between announcements of this instance about one
	// upstream.
	announceInterval = time.Second
)

// Statement is what an upstream states about itself in the head of a response.
type Statement struct {
	// RateLimit is the rate of requests that the upstream accepts from all instances together.
	RateLimit ratelimit.Limit
	// RateUnreadable is set if the rate limit could not be decoded. The last one then holds on.
	RateUnreadable bool
	// Leaving is set if the upstream states that it leaves.
	Leaving bool
	// Pause is the time for which an upstream that turned a request away wants nothing from this
	// instance; 0 if it does not ask for that.
	Pause time.Duration
	// Unreadable holds the errors of the fields that could not be decoded, for the log.
	Unreadable error
}

// LimitChange is a change of the known rate limit of an upstream.
type LimitChange struct {
	Upstream roster.Entry
	From, To ratelimit.Limit
	// Sent is the number of requests that this instance sent to the upstream within the last
	// ratelimit.Window.
	Sent int
	// Report is the message to the home of the limit. If the change was learned from another
	// instance, it is sent only if its Sent is not 0.
	Report msg.RateStatement
	// Announce is set if the change is to be announced to all instances.
	Announce bool
}

// statedLimit is the rate limit of a run of an upstream, as known to this instance.
type statedLimit struct {
	limit ratelimit.Limit
	// heardAt is when the last response that stated the limit arrived, here or at an instance that
	// announced it.
	heardAt time.Time
	// refusedUntil is the end of refusalTTL after the last refusal of a permit, refusedRank the
	// rank of the refused call and retryAfter its Retry-After.
	refusedUntil time.Time
	refusedRank  int
	retryAfter   time.Duration
}

// ObserveLimit records the rate limit that an upstream stated in a response to a request that was
// sent at sentAt, and reports whether it has changed. sentAt is zero if that request is not
// known, as for a late response to an earlier one. A limit ends only with a response to a request
// that was sent after the limit was last heard: any other may have been written before.
func (g *Gate) ObserveLimit(now time.Time, u *roster.Upstream, sentAt time.Time, s Statement) (LimitChange, bool) {
	known := g.limits[u.Run()]
	if s.RateUnreadable || known == nil && !s.RateLimit.Stated {
		return LimitChange{}, false
	}
	if !s.RateLimit.Stated && !sentAt.After(known.heardAt) {
		return LimitChange{}, false
	}
	heardAt := now
	if !s.RateLimit.Stated {
		heardAt = sentAt
	}
	from := g.setLimit(u.Run(), s.RateLimit, heardAt)
	if from == s.RateLimit {
		return LimitChange{}, false
	}
	c := LimitChange{Upstream: u.Entry, From: from, To: s.RateLimit, Sent: g.load(u).sent.Total(now)}
	c.Report = g.report(now, u, c, heardAt)
	c.Announce = from.Stated != s.RateLimit.Stated && g.mayAnnounce(now, u.Run())
	return c, true
}

// mayAnnounce limits the announcements about one upstream, which may state a limit in some responses
// and none in others.
func (g *Gate) mayAnnounce(now time.Time, run roster.Run) bool {
	if at, ok := g.announcedAt[run]; ok && now.Sub(at) < announceInterval {
		return false
	}
	g.announcedAt[run] = now
	return true
}

// report returns the message to the home of a limit about its change.
func (g *Gate) report(now time.Time, u *roster.Upstream, c LimitChange, heardAt time.Time) msg.RateStatement {
	m := rateStatement(now, u.Run(), c.To, heardAt)
	if !c.From.Stated {
		m.Sent = g.load(u).sent.Since(now, ratelimit.LookBack)
	}
	return m
}

// LearnLimit records a rate limit of which another instance has told this one, and reports whether
// it has changed.
func (g *Gate) LearnLimit(now time.Time, m msg.RateStatement) (LimitChange, bool) {
	run, ok := runOf(m)
	if !ok {
		return LimitChange{}, false
	}
	heardAt := now.Add(-m.Age)
	known := g.limits[run]
	switch {
	case known == nil && !m.Stated, known != nil && !heardAt.After(known.heardAt):
		return LimitChange{}, false
	case !m.Stated && !heardAt.After(known.heardAt.Add(ratelimit.StatementSlack)):
		return LimitChange{}, false
	}
	limit := ratelimit.Limit{Stated: m.Stated, PerSecond: m.PerSecond}
	from := g.setLimit(run, limit, heardAt)
	c := LimitChange{Upstream: roster.Entry{ID: run.ID, Born: run.Born}, From: from, To: limit}
	if u := g.roster.Find(run.ID); u != nil && u.Run() == run {
		c.Upstream, c.Sent = u.Entry, g.load(u).sent.Total(now)
		c.Report = g.report(now, u, c, heardAt)
	}
	return c, from != limit
}

// setLimit replaces the known limit of a run and returns the previous one.
func (g *Gate) setLimit(run roster.Run, l ratelimit.Limit, heardAt time.Time) (from ratelimit.Limit) {
	known := g.limits[run]
	if known != nil {
		from = known.limit
	}
	switch {
	case !l.Stated:
		delete(g.limits, run)
	case known == nil:
		g.limits[run] = &statedLimit{limit: l, heardAt: heardAt}
	default:
		known.limit, known.heardAt = l, heardAt
	}
	return from
}

// rateStatement returns the message about a limit of which heardAt is the time.
func rateStatement(now time.Time, run roster.Run, l ratelimit.Limit, heardAt time.Time) msg.RateStatement {
	return msg.RateStatement{
		Upstream: run.ID, Boot: strconv.FormatInt(run.Born, 10), Stated: l.Stated, PerSecond: l.PerSecond, Age: max(now.Sub(heardAt), 0),
	}
}

// runOf returns the run that a message is about; ok is false if its boot is no number.
func runOf(m msg.RateStatement) (run roster.Run, ok bool) {
	born, err := strconv.ParseInt(m.Boot, 10, 64)
	return roster.Run{ID: m.Upstream, Born: born}, err == nil
}

// RateLimited is an upstream that states a rate limit.
type RateLimited struct {
	Run   roster.Run
	Limit ratelimit.Limit
	// Sent is the number of requests that this instance sent to the upstream within the last
	// ratelimit.Window.
	Sent int
}

// RateLimits lists the upstreams that state a rate limit.
func (g *Gate) RateLimits(now time.Time) []RateLimited {
	var out []RateLimited
	for run, l := range g.limits {
		r := RateLimited{Run: run, Limit: l.limit}
		if u := g.roster.Find(run.ID); u != nil && u.Run() == run {
			r.Sent = g.load(u).sent.Total(now)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b RateLimited) int { return cmp.Compare(a.Run.ID, b.Run.ID) })
	return out
}

// RateLimit returns the rate limit of a run of an upstream.
func (g *Gate) RateLimit(run roster.Run) ratelimit.Limit {
	if l := g.limits[run]; l != nil {
		return l.limit
	}
	return ratelimit.Limit{}
}

// dropLimits drops the limits of upstreams that have not been listed for limitTTL. Until then an
// upstream whose entry lapsed may return.
func (g *Gate) dropLimits(now time.Time) {
	maps.DeleteFunc(g.announcedAt, func(_ roster.Run, at time.Time) bool { return now.Sub(at) >= announceInterval })
	for run, l := range g.limits {
		if now.Sub(l.heardAt) < limitTTL {
			continue
		}
		if u := g.roster.Find(run.ID); u == nil || u.Run() != run {
			delete(g.limits, run)
		}
	}
}

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
		c.permitMaxWait = min(resumeMaxWait, c.Deadline.Sub(now)-minTimeLeft)
	case !c.selfChosen:
		// The pool's home has chosen among all upstreams, and its grant expires.
		c.permitMaxWait = max(c.grantExpiresAt.Sub(now)-PermitTimeout, 0)
	case !g.hasUnlimited(now, c, u):
		c.permitMaxWait = max(c.Arrived.Add(c.Route.Target).Sub(now), 0)
		c.permitMaxLateWait = max(c.Deadline.Sub(now)-c.Route.Target, minTimeLeft)
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
	case !g.maySend(c, u) || g.paused(now, u.Run()) || c.selfChosen && !g.available(now, c, u) || !c.selfChosen && now.After(c.grantExpiresAt):
		return g.avoid(now, c, u, NoUpstream, busyRetryAfter)
	}
	return g.orFailAttempt(now, c, g.sendTo(now, c, u))
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

// avoid returns the next step of a call that a chosen upstream does not take, for a reason: it is sent
// elsewhere, or refused after maxAvoidances.
func (g *Gate) avoid(now time.Time, c *Call, u *roster.Upstream, why Reason, retryAfter time.Duration) Step {
	c.avoidances++
	switch {
	case c.avoidances >= maxAvoidances:
		return g.orFailAttempt(now, c, g.refuse(c, why, retryAfter))
	case g.placedByHome(c):
		c.avoided = append(c.avoided, u.ID)
		c.grantRetries++
		return Step{RequestGrant: true, Why: why}
	}
	return g.orFailAttempt(now, c, g.nextStep(now, c))
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
	// Callers that are refused without a request to the home must not return all at once.
	return shortest + time.Duration(g.rng.Float64()*float64(shortest))
}
