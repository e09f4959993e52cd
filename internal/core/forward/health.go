package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// dialBackoff is how long an upstream is skipped after a failed dial. The entry of a dead
// upstream stays listed for three heartbeats.
const dialBackoff = 1500 * time.Millisecond

// Failing records another instance's report of a failed call. An instance with a bad network
// blames all upstreams alike, which does not affect the choice among them.
func (g *Gate) Failing(now time.Time, id string, born int64) {
	if u := g.roster.Find(id); u != nil && u.Born == born {
		g.noteFailure(now, g.load(u))
	}
}

// noteFailure records a failure of an upstream.
func (g *Gate) noteFailure(now time.Time, l *load) {
	if !g.options.Without.Has(mechanism.Failures) {
		l.Note(now, true)
	}
}

// rest skips an unreachable upstream for a while.
func (l *load) rest(now time.Time) { l.restUntil = now.Add(dialBackoff) }

func (l *load) resting(now time.Time) bool { return now.Before(l.restUntil) }
