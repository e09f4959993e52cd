package core

import (
	"slices"
	"time"
)

const (
	// maxFailures is the number of consecutive failed attempts after which an upstream is
	// avoided.
	maxFailures = 3
	// avoidMin and avoidMax bound the time for which it is avoided, which doubles with each
	// further failure.
	avoidMin = 2 * time.Second
	avoidMax = 30 * time.Second
)

// failing counts consecutive failures by upstream. One that answers polls but fails every
// request at once looks idle and would attract nearly all work.
type failing map[string]failure

type failure struct {
	inRow int
	until time.Time
}

func (f failing) ended(now time.Time, upstream string, failed bool) {
	if upstream == "" {
		return
	}
	if !failed {
		delete(f, upstream)
		return
	}
	x := f[upstream]
	x.inRow++
	if over := x.inRow - maxFailures; over >= 0 {
		x.until = now.Add(min(avoidMin<<min(over, 8), avoidMax))
	}
	f[upstream] = x
}

// avoid lists the upstreams to avoid, in order.
func (f failing) avoid(now time.Time) []string {
	var out []string
	for name, x := range f {
		if now.Before(x.until) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
