package memory

import (
	"math"
	"time"
)

const (
	// drainTime is the time constant of the measured drain: requests hold memory for some seconds
	// at most, so that older releases say little about the next ones.
	drainTime = 2 * time.Second
	// minRetryAfter and maxRetryAfter limit the delay of a refusal. The longest applies while
	// nothing has been released for some seconds.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// drain measures how fast memory becomes available for a purpose.
type drain struct {
	// recent is the sum of the released bytes, in which a release counts less the older it is, as
	// of the time at.
	recent float64
	at     time.Time
	// promised are the bytes for which refused callers may return, in the order of their refusals.
	promised float64
}

// add records released bytes.
func (d *drain) add(now time.Time, n int64) {
	d.decay(now)
	d.recent += float64(n)
	d.promised = max(d.promised-float64(n), 0)
}

// promise records that n bytes were refused, for which missing bytes have to be released, and
// returns the delay after which that is expected.
func (d *drain) promise(now time.Time, n, missing int64) time.Duration {
	d.decay(now)
	ahead := d.promised + float64(missing)
	perSecond := d.recent / drainTime.Seconds()
	wait := maxRetryAfter
	if perSecond > 0 {
		wait = time.Duration(min(ahead/perSecond, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	if wait < maxRetryAfter {
		// A caller that is sent away for longer is not certain to return.
		d.promised += float64(n)
	}
	return max(wait, minRetryAfter)
}

// decay reduces the weight of earlier releases.
func (d *drain) decay(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.recent *= math.Exp(-elapsed.Seconds() / drainTime.Seconds())
		d.at = now
	}
}
