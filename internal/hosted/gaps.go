package hosted

import (
	"slices"
	"time"
)

const (
	// paceWindow is the number of latest intervals from which a pace is estimated.
	// minPaceSamples is the number of intervals below which no pace is estimated.
	paceWindow     = 16
	minPaceSamples = 8
)

// gaps measures the intervals between the events of a stream when they are forwarded. The caller
// observes the same intervals, plus the delays of its own network link.
type gaps struct {
	// last is the time of the last event; longest is the longest interval so far.
	last    time.Time
	longest time.Duration
	// recent holds the latest intervals of the current attempt; count is the number of all its
	// intervals.
	recent [paceWindow]time.Duration
	count  int
	// resuming is set until the first event of an attempt. The interval before that event is
	// caused by the change of the upstream and is no sample of its pace.
	resuming bool
}

// startAttempt discards the samples of the previous attempt of the stream.
func (g *gaps) startAttempt() { g.count, g.resuming = 0, true }

// record records an event and returns the interval since the previous one; ok is false for the
// first event of the stream.
func (g *gaps) record(now time.Time) (gap time.Duration, ok bool) {
	ok = !g.last.IsZero()
	if ok {
		gap = now.Sub(g.last)
		g.longest = max(g.longest, gap)
	}
	if ok && !g.resuming {
		g.recent[g.count%paceWindow] = gap
		g.count++
	}
	g.last, g.resuming = now, false
	return gap, ok
}

// pace returns the interval between events while the upstream computes no other prompt, or 0
// with too few samples. Prefill of other prompts lengthens some intervals and shortens none, so
// the lower quartile is used.
func (g *gaps) pace() time.Duration {
	n := min(g.count, paceWindow)
	if n < minPaceSamples {
		return 0
	}
	sorted := g.recent
	slices.Sort(sorted[:n])
	return sorted[n/4]
}
