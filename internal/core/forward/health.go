package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// dialBackoff is how long an upstream is skipped after a failed dial. The roster lists a dead
// upstream for three more heartbeats.
const dialBackoff = 1500 * time.Millisecond

// ReportFailure records another instance's report of a failed call at an upstream. born identifies
// the upstream's process run by its start in Unix milliseconds; reports about other process runs
// are ignored. An instance with a bad network reports all upstreams alike, which does not affect
// the choice among them.
func (g *Gate) ReportFailure(now time.Time, id string, born int64) {
	if u := g.roster.Find(id); u != nil && u.Born == born {
		g.noteFailure(now, g.load(u))
	}
}

// noteFailure records a failed call at an upstream.
func (g *Gate) noteFailure(now time.Time, l *load) {
	if !g.options.Without.Has(mechanism.Failures) {
		l.Note(now, true)
	}
}

// backOff skips an unreachable upstream for dialBackoff.
func (l *load) backOff(now time.Time) { l.backoffUntil = now.Add(dialBackoff) }

func (l *load) inBackoff(now time.Time) bool { return now.Before(l.backoffUntil) }
