package core

import (
	"slices"
	"time"
)

const (
	// maxFailures is the number of consecutive failed attempts after which an upstream is
	// avoided.
	maxFailures = 3
	// avoidMin and avoidMax bound the time for which such an upstream is avoided. The time
	// doubles with each further failure.
	avoidMin = 2 * time.Second
	avoidMax = 30 * time.Second
)

// upstreamFailures counts consecutive failures by upstream. An upstream that answers polls but
// fails every request immediately looks idle, and would otherwise attract nearly all work.
type upstreamFailures map[string]failureCount

type failureCount struct {
	consecutive int
	avoidUntil  time.Time
}

// attemptEnded counts a failed attempt at an upstream. An attempt that ends in any other way
// resets the count.
func (f upstreamFailures) attemptEnded(now time.Time, upstream string, failed bool) {
	if upstream == "" {
		return
	}
	if !failed {
		delete(f, upstream)
		return
	}
	x := f[upstream]
	x.consecutive++
	if excess := x.consecutive - maxFailures; excess >= 0 {
		x.avoidUntil = now.Add(min(avoidMin<<min(excess, 8), avoidMax))
	}
	f[upstream] = x
}

// avoided lists the upstreams to avoid, sorted by name.
func (f upstreamFailures) avoided(now time.Time) []string {
	var out []string
	for name, x := range f {
		if now.Before(x.avoidUntil) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
