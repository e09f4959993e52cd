package hosted

import (
	"expvar"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// observeStatement records what an upstream states about itself in the head of a response, whatever
// the response is to. A misdirected request was answered by another upstream at the address.
func (s *server) observeStatement(u *roster.Upstream, resp *http.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	statement := s.wire.DecodeStatement(resp)
	if statement.Unreadable != nil {
		s.metrics.Count("upstream_statements_total", "unreadable")
		s.log.Warn("upstream_statement_unreadable", "upstream", u.ID, "error", statement.Unreadable)
		return
	}
	var change forward.LimitChange
	changed := false
	s.decide(func(now time.Time, g *forward.Gate) { change, changed = g.ObserveStatement(now, u, statement) })
	if changed {
		s.logLimit(change, "response")
	}
}

// observeStatementFrom does the same as observeStatement for a response from an address. A response
// from an address that is not in the list is ignored: it is not known whose it is.
func (s *server) observeStatementFrom(address string, resp *http.Response) {
	var from *roster.Upstream
	s.decide(func(_ time.Time, g *forward.Gate) { from = g.Roster().FindAt(address) })
	if from != nil {
		s.observeStatement(from, resp)
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
				out[u.Upstream] = rateLimitGauge{PerSecond: u.Limit.PerSecond, SentRecently: u.Sent}
			}
		})
		return out
	}
}
