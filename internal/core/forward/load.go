package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/health"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// Report is an upstream's own load, as reported in an answer.
type Report struct {
	Running int
	Waiting int
	Slots   int
}

// load is what is known of an upstream's load and health.
type load struct {
	// calls and tokens count this instance's own attempts in progress.
	calls  int
	tokens int
	// report is the last reported load.
	report    Report
	reported  time.Time
	restUntil time.Time
	// coldShare is this instance's share while the upstream is cold, else nil.
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

// Observe records an upstream's reported load.
func (g *Gate) Observe(now time.Time, u *roster.Upstream, r Report) {
	l := g.load(u)
	l.report, l.reported = r, now
}

// forget drops upstreams that are gone and idle.
func (g *Gate) forget() {
	for u, l := range g.loads {
		if l.calls > 0 {
			continue
		}
		stranger := g.strangers[u.ID] == u
		if stranger {
			delete(g.strangers, u.ID)
		}
		if stranger || u.Gone {
			delete(g.loads, u)
		}
	}
}
