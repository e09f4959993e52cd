package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward/admission"
	"mulberrylug.example/mulberrylug/internal/core/health"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// Report is the load that an upstream reported in a response, in requests.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Factor is how many times as long as usual work takes at this moment; 0 if the upstream does
	// not state that.
	Factor float64
}

// load is the known load and health of an upstream.
type load struct {
	// attempts is the number of this instance's own attempts in progress, tokens the sum of their
	// estimated work.
	attempts int
	tokens   int
	// bodyBytes is the sum of the sizes of the bodies of these attempts, in bytes. The upstream
	// holds them in memory.
	bodyBytes int64
	// report is the last reported load.
	report     Report
	reportedAt time.Time
	// backoffUntil is the end of the backoff after a failed dial; zero if there was none.
	backoffUntil time.Time
	// sentSince is the number of attempts in progress that were sent after the last report.
	sentSince int
	// serviceTime is measured by calls of plain services.
	serviceTime admission.ServiceTime
	// fullAt is when the upstream last turned a call away because it was full, and drain is how long it
	// was then expected to take until its queue is empty.
	fullAt time.Time
	drain  time.Duration
	// sent counts this instance's recent requests to the upstream.
	sent ratelimit.Counter
	// coldShare is this instance's share of the upstream's rate while it is cold, else nil.
	coldShare *coldShare
	health.Record
}

func (g *Gate) load(u *roster.Upstream) *load {
	l := g.loads[u]
	if l == nil {
		l = &load{}
		g.loads[u] = l
	}
	return l
}

// Observe records the load and the current speed that an upstream reported.
func (g *Gate) Observe(now time.Time, u *roster.Upstream, r Report) {
	l := g.load(u)
	l.report, l.reportedAt, l.sentSince = r, now, 0
	g.observeSpeed(now, u.Run(), r.Factor)
}

// pruneLoads drops the loads of upstreams that are idle and not in the roster.
func (g *Gate) pruneLoads() {
	for u, l := range g.loads {
		if l.attempts > 0 {
			continue
		}
		unlisted := g.unlisted[u.ID] == u
		if unlisted {
			delete(g.unlisted, u.ID)
		}
		if unlisted || u.Removed {
			delete(g.loads, u)
		}
	}
}
