package hosted

import (
	"expvar"
	"net/http"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// observeStatement records what an upstream states about itself in the head of a response, whatever
// the response is to, and reports a change of its rate limit to the home of the limit. sentAt is when
// the request was sent to which the response is, or zero if that is not known. A misdirected request
// was answered by another upstream at the address.
func (s *server) observeStatement(u *roster.Upstream, sentAt time.Time, resp *http.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	stated := s.wire.DecodeStatement(resp)
	var from roster.Entry
	var change forward.LimitChange
	changed, leaves := false, false
	paused := 0
	s.decide(func(now time.Time, g *forward.Gate) {
		from = u.Entry
		change, changed = g.ObserveLimit(now, u, sentAt, stated)
		if stated.Pause > 0 {
			paused = g.ObservePause(now, u, stated.Pause)
		}
		leaves = stated.Leaving && g.LearnLeaving(now, u.Run())
	})
	s.observeLoad(u, sentAt, resp)
	if stated.Unreadable != nil {
		s.metrics.Count("upstream_statements_total", "unreadable")
		s.log.Warn("upstream_statement_unreadable", "upstream", from.ID, "error", stated.Unreadable)
	}
	if changed {
		s.reportLimit(change)
	}
	if stated.Pause > 0 {
		s.metrics.Count("upstream_statements_total", "upstream_paused")
		s.log.Info("upstream_paused", "upstream", from.ID, "service", from.Service, "born", from.Born, "for", stated.Pause, "sent_in_pause", paused)
	}
	if leaves {
		s.homes.announce(msg.UpstreamLeaving{Upstream: from.ID, Boot: strconv.FormatInt(from.Born, 10)})
		s.onLeaving(from, "response")
	}
}

// observeLoad records the load and the current speed that an upstream states in the head of a response,
// and reports the speed to the home of its pool if it has changed. A late response to an earlier request
// is ignored, because its age is not known.
func (s *server) observeLoad(u *roster.Upstream, sentAt time.Time, resp *http.Response) {
	load, err := s.wire.DecodeLoad(resp)
	if err != nil {
		s.onUnreadableLoad(u, err)
		return
	}
	if load == nil || sentAt.IsZero() {
		return
	}
	var report msg.UpstreamSpeed
	due := false
	s.decide(func(now time.Time, g *forward.Gate) {
		g.Observe(now, u, *load)
		report, due = g.SpeedReport(now, u)
	})
	if due {
		s.reportSpeed(report)
	}
}

// onUnreadableLoad counts a load that could not be decoded, and logs the first one of each run of an
// upstream.
func (s *server) onUnreadableLoad(u *roster.Upstream, err error) {
	s.metrics.Count("upstream_statements_total", "load_unreadable")
	var from roster.Entry
	first := false
	s.decide(func(now time.Time, g *forward.Gate) { from, first = u.Entry, g.LoadUnreadable(now, u) })
	if first {
		s.log.Warn("upstream_load_unreadable", "upstream", from.ID, "service", from.Service, "born", from.Born, "error", err)
	}
}

// reportSpeed reports the current speed of an upstream to the home of its pool, if the home understands
// that.
func (s *server) reportSpeed(m msg.UpstreamSpeed) {
	home := s.homes.homeOf(m.Pool)
	if !s.homes.understandsLoad(home) {
		return
	}
	s.metrics.Count("upstream_speeds_reported_total", m.Pool)
	s.log.Debug("upstream_speed_reported", "upstream", m.Upstream, "pool", m.Pool, "home", home, "percent", m.Percent)
	s.homes.send(home, m)
}

// onLeaving processes that an upstream is newly known to leave.
func (s *server) onLeaving(u roster.Entry, source string) {
	s.metrics.Count("upstream_statements_total", "upstream_leaving")
	s.log.Info("upstream_leaving", "upstream", u.ID, "service", u.Service, "address", u.Address, "born", u.Born, "source", source)
	s.homes.onLeaving()
}

// learnLeaving processes that an upstream has stated to another instance that it leaves.
func (s *server) learnLeaving(m msg.UpstreamLeaving, source string) {
	born, err := strconv.ParseInt(m.Boot, 10, 64)
	if err != nil {
		s.log.Warn("peer_message_unreadable", "peer", source, "kind", m.Kind(), "error", err)
		return
	}
	entry, first := roster.Entry{ID: m.Upstream, Born: born}, false
	s.decide(func(now time.Time, g *forward.Gate) {
		first = g.LearnLeaving(now, entry.Run())
		if u := g.Roster().Find(entry.ID); u != nil && u.Run() == entry.Run() {
			entry = u.Entry
		}
	})
	if first {
		s.onLeaving(entry, source)
	}
}

// observeLeavingAt processes that the upstream at an address reports that it leaves.
func (s *server) observeLeavingAt(address string) {
	var from roster.Entry
	first := false
	s.decide(func(now time.Time, g *forward.Gate) {
		if u := g.Roster().FindAt(address); u != nil {
			from, first = u.Entry, g.LearnLeaving(now, u.Run())
		}
	})
	if first {
		s.homes.announce(msg.UpstreamLeaving{Upstream: from.ID, Boot: strconv.FormatInt(from.Born, 10)})
		s.onLeaving(from, "report")
	}
}

// statements returns what upstreams have stated and still holds.
func (s *server) statements() (out []msg.Message) {
	s.decide(func(now time.Time, g *forward.Gate) { out = g.Statements(now) })
	return out
}

// maxStrikesSent is the maximum number of strikes against requests that an instance sends to one that has started. A
// message takes some 70 bytes, and each instance sends them.
const maxStrikesSent = 60

// evidence returns the strikes against requests and the evidence against parts of prompts, for an instance that has
// started.
func (s *server) evidence() (out []msg.Message) {
	s.decide(func(now time.Time, g *forward.Gate) {
		for _, e := range g.Strikes(now, maxStrikesSent) {
			out = append(out, msg.Strike{Fingerprint: e.Fingerprint, Upstream: e.Crash.Upstream, Boot: e.Crash.Boot, Age: now.Sub(e.At)})
		}
		for _, e := range g.Evidence(now) {
			out = append(out, crashEvidence(now, e))
		}
	})
	return out
}

// reportLimit reports a change of a rate limit to the home of the limit, and announces it.
func (s *server) reportLimit(c forward.LimitChange) {
	s.logLimit(c, "response")
	s.homes.send(s.homes.limitHomeOf(c.Upstream.ID), c.Report)
	if c.Announce {
		c.Report.Sent = 0 // each instance reports its own requests to the home
		s.homes.announce(c.Report)
	}
}

// observeStatementFrom does the same as observeStatement for a response from an address. A response
// from an address that is not in the list is ignored: it is not known whose it is.
func (s *server) observeStatementFrom(address string, sentAt time.Time, resp *http.Response) {
	var from *roster.Upstream
	s.decide(func(_ time.Time, g *forward.Gate) { from = g.Roster().FindAt(address) })
	if from != nil {
		s.observeStatement(from, sentAt, resp)
	}
}

// logLimit logs that an upstream names another rate limit, or no longer any.
func (s *server) logLimit(c forward.LimitChange, source string) {
	event := "upstream_rate_limited"
	if !c.To.Stated {
		event = "upstream_rate_limit_ended"
	}
	s.metrics.Count("upstream_statements_total", event)
	s.log.Info(event, "upstream", c.Upstream.ID, "service", c.Upstream.Service, "born", c.Upstream.Born,
		"limit", c.To.PerSecond, "limit_before", c.From.PerSecond, "sent_recently", c.Sent, "source", source)
}

// rateLimitGauge is the state of one upstream in the metric of rate limits.
type rateLimitGauge struct {
	PerSecond float64 `json:"per_second"`
	// SentRecently is the number of requests of this instance within the last seconds.
	SentRecently int `json:"sent_recently"`
}

// rateLimitMetric returns the metric of the upstreams that state a rate limit.
func (s *server) rateLimitMetric() expvar.Func {
	return func() any {
		out := map[string]rateLimitGauge{}
		s.decide(func(now time.Time, g *forward.Gate) {
			for _, u := range g.RateLimits(now) {
				out[u.Run.ID] = rateLimitGauge{PerSecond: u.Limit.PerSecond, SentRecently: u.Sent}
			}
		})
		return out
	}
}
