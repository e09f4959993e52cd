package slowdown

import "time"

const (
	// notedChange is the ratio of two factors from which the change is worth a log line.
	notedChange = 1.25
	// notedInterval is the minimum interval between the log lines about one upstream: slow spells
	// begin and end several times a second, on each of hundreds of upstreams.
	notedInterval = 5 * time.Second
)

// Noted bounds the log lines about the factors of one upstream.
type Noted struct {
	at      time.Time
	factor  float64
	skipped int
}

// Due reports whether a statement gets a log line, and how many statements before it got none.
func (n *Noted) Due(now time.Time, factor float64) (skipped int, due bool) {
	last := n.factor
	if last == 0 {
		last = Usual
	}
	changed := factor >= last*notedChange || factor*notedChange <= last
	if !changed || !n.at.IsZero() && now.Sub(n.at) < notedInterval {
		n.skipped++
		return 0, false
	}
	skipped = n.skipped
	*n = Noted{at: now, factor: factor}
	return skipped, true
}
