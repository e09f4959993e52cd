package forward

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/statement"
)

const (
	// limitTTL is how long the limit of an upstream is kept that is not in the list.
	limitTTL = 10 * time.Minute
	// announceInterval is the minimum interval between announcements of this instance about one
	// upstream.
	announceInterval = time.Second
)

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
func (g *Gate) ObserveLimit(now time.Time, u *roster.Upstream, sentAt time.Time, s statement.Statement) (LimitChange, bool) {
	s = g.paceBrittle(now, u, s)
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

// LearnLimit records a rate limit that another instance has announced, and reports whether
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

// Statements returns what upstreams have stated and still holds, for an instance that starts: before
// its first response of each upstream it would otherwise send to them as if they stated nothing.
func (g *Gate) Statements(now time.Time) []msg.Message {
	var out []msg.Message
	for run, l := range g.limits {
		out = append(out, rateStatement(now, run, l.limit, l.heardAt))
	}
	for _, run := range g.roster.Left() {
		out = append(out, msg.UpstreamLeaving{Upstream: run.ID, Boot: strconv.FormatInt(run.Born, 10)})
	}
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
	maps.DeleteFunc(g.brittle, func(run roster.Run, _ *brittle) bool { return g.limits[run] == nil })
	for run, l := range g.limits {
		if now.Sub(l.heardAt) < limitTTL {
			continue
		}
		if u := g.roster.Find(run.ID); u == nil || u.Run() != run {
			delete(g.limits, run)
		}
	}
}
