package hosted

import (
	"slices"
	"time"
)

const (
	// paceWindow is the number of intervals from which a pace is estimated, paceMin the least
	// number.
	paceWindow = 16
	paceMin    = 8
)

// gaps measures the intervals between a stream's events when they are forwarded, as the caller
// sees them apart from its own link.
type gaps struct {
	last    time.Time
	longest time.Duration
	// recent holds the latest intervals of the current attempt's upstream; noted counts them.
	recent [paceWindow]time.Duration
	noted  int
	// resumed is set until the first event of an attempt: the interval before it belongs to
	// the move.
	resumed bool
}

// attempt starts another attempt of the same stream.
func (g *gaps) attempt() { g.noted, g.resumed = 0, true }

// note records an event and returns the interval before it; ok is false for the first.
func (g *gaps) note(now time.Time) (pause time.Duration, ok bool) {
	ok = !g.last.IsZero()
	if ok {
		pause = now.Sub(g.last)
		g.longest = max(g.longest, pause)
	}
	if ok && !g.resumed {
		g.recent[g.noted%paceWindow] = pause
		g.noted++
	}
	g.last, g.resumed = now, false
	return pause, ok
}

// pace returns the interval between events without prefill beside them, or 0 with too few
// events. Prefill lengthens intervals and never shortens one, so it takes the lower quartile.
func (g *gaps) pace() time.Duration {
	n := min(g.noted, paceWindow)
	if n < paceMin {
		return 0
	}
	sorted := g.recent
	slices.Sort(sorted[:n])
	return sorted[n/4]
}
