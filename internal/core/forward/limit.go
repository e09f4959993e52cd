package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// Statement is what an upstream states about itself in the head of a response.
type Statement struct {
	// RateLimit is the rate of requests that the upstream accepts from all instances together.
	RateLimit ratelimit.Limit
	// Unreadable is set if a field could not be decoded. The response then states nothing.
	Unreadable error
}

// LimitChange is a change of the rate limit that an upstream states.
type LimitChange struct {
	Upstream roster.Entry
	From, To ratelimit.Limit
	// Sent is the number of requests that this instance sent to the upstream within the last
	// ratelimit.Window.
	Sent int
}

// ObserveStatement records what an upstream stated in a response. It reports whether the stated
// rate limit has changed.
func (g *Gate) ObserveStatement(now time.Time, u *roster.Upstream, s Statement) (LimitChange, bool) {
	if s.Unreadable != nil {
		return LimitChange{}, false
	}
	l := g.load(u)
	if s.RateLimit == l.rateLimit {
		return LimitChange{}, false
	}
	c := LimitChange{Upstream: u.Entry, From: l.rateLimit, To: s.RateLimit, Sent: l.sent.Total(now)}
	l.rateLimit = s.RateLimit
	return c, true
}

// RateLimited is an upstream that states a rate limit.
type RateLimited struct {
	Upstream string
	Limit    ratelimit.Limit
	// Sent is the number of requests that this instance sent to the upstream within the last
	// ratelimit.Window.
	Sent int
}

// RateLimits lists the upstreams that state a rate limit.
func (g *Gate) RateLimits(now time.Time) []RateLimited {
	var out []RateLimited
	for u, l := range g.loads {
		if l.rateLimit.Stated {
			out = append(out, RateLimited{Upstream: u.ID, Limit: l.rateLimit, Sent: l.sent.Total(now)})
		}
	}
	return out
}
