package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
)

// upstreamLimits holds, by upstream, the rate limits that upstreams state. Every request needs a
// grant of the pool's home, which grants no more than they allow.
type upstreamLimits map[string]upstreamLimit

// upstreamLimit is the last known limit of an upstream.
type upstreamLimit struct {
	limit ratelimit.Limit
	// asOf is when the response with the limit arrived, or for no limit when the request for the
	// response without one was sent.
	asOf time.Time
}

// update replaces an upstream's limit by a statement of which asOf is the time, unless a newer one
// is known. It reports whether the limit has changed.
func (u upstreamLimits) update(name string, l ratelimit.Limit, asOf time.Time) bool {
	known := u[name]
	if known.limit.Stated && !l.Stated && !asOf.After(known.asOf.Add(ratelimit.StatementSlack)) || asOf.Before(known.asOf) {
		return false
	}
	u[name] = upstreamLimit{limit: l, asOf: asOf}
	return l != known.limit
}

// onStatement passes what an upstream stated to an attempt on to the home of its pool.
func (i *Instance) onStatement(now time.Time, e UpstreamStatement) {
	if e.Unreadable != nil {
		i.count("upstream_statements_total", "unreadable")
		i.emit(Log{Event: "upstream_statement_unreadable", Pairs: []any{"upstream", e.Upstream, "error", e.Unreadable.Error()}})
	}
	if e.Pause > 0 {
		i.onUpstreamPaused(now, e)
	}
	if i.version == nil || i.version.Pool(i.version.PoolOf(e.Upstream)) == nil {
		return // the upstream is not in the configuration any more
	}
	home := i.poolHomeName(now, i.version.Pool(i.version.PoolOf(e.Upstream)))
	if e.Leaving {
		i.onLeavingStatement(e, home)
	}
	if e.RateUnreadable || home == "" {
		return
	}
	m := msg.RateStatement{Upstream: e.Upstream, Boot: e.Boot, Stated: e.RateLimit.Stated, PerSecond: e.RateLimit.PerSecond}
	if !m.Stated {
		m.Age = now.Sub(e.SentAt)
	}
	i.send(home, m)
}

// onRateStatement updates the limit of an upstream from a response to an attempt.
func (i *Instance) onRateStatement(now time.Time, from string, m msg.RateStatement) {
	h := i.homeOf(m.Upstream)
	if h == nil || m.Boot != "" && m.Boot != h.boots[m.Upstream] {
		return // the statement is about an earlier run of the upstream, or this is no home of it
	}
	limit := ratelimit.Limit{Stated: m.Stated, PerSecond: m.PerSecond}
	if h.limits.update(m.Upstream, limit, now.Add(-m.Age)) {
		i.logLimit(m.Upstream, limit, from)
		i.sendDecisions(now, h, h.home.SetRateLimit(now, m.Upstream, limit))
	}
}

// limitOnReport updates the limit of an upstream from its load report, and sets the limit to
// enforce in the report.
func (i *Instance) limitOnReport(h *poolHome, e *UpstreamReport) {
	name, stated := e.Report.Upstream, ratelimit.Limit{}
	switch rate := e.Report.StatedRate; {
	case rate == nil:
	case *rate >= 0:
		stated = ratelimit.Of(*rate)
	default:
		i.count("upstream_statements_total", "unreadable")
		i.emit(Log{Event: "upstream_statement_unreadable", Pairs: []any{"upstream", name, "error", "rate_limit is negative"}})
		stated = h.limits[name].limit
	}
	if (stated.Stated || h.limits[name].limit.Stated) && h.limits.update(name, stated, e.PolledAt) {
		i.logLimit(name, stated, "report")
	}
	e.Report.RateLimit = h.limits[name].limit
}

// logLimit logs that an upstream states another limit, or no longer any.
func (i *Instance) logLimit(upstream string, l ratelimit.Limit, source string) {
	event := "upstream_rate_limited"
	if !l.Stated {
		event = "upstream_rate_limit_ended"
	}
	i.count("upstream_statements_total", event)
	i.emit(Log{Event: event, Pairs: []any{"upstream", upstream, "limit", l.PerSecond, "source", source}})
}
