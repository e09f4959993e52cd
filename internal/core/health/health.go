// Package health remembers how often an upstream has failed of late.
package health

import "time"

const (
	// failureDecay is the weight of the newest outcome in a failure rate: about
	// the last ten count.
	failureDecay = 0.1
	// failureForget halves a failure rate, so that an upstream that is passed
	// over because it failed is tried again.
	failureForget = 3 * time.Second
	// failureNone is the rate below which nothing is remembered.
	failureNone = 0.001
)

// Record is an upstream's recent outcomes. The zero value has none.
type Record struct {
	failures float64
	updated  time.Time
}

// Note counts an outcome.
func (r *Record) Note(now time.Time, failed bool) {
	r.failures = r.Rate(now) * (1 - failureDecay)
	if failed {
		r.failures += failureDecay
	}
	r.updated = now
}

// Rate returns the share of failures among the recent outcomes, which fades.
func (r *Record) Rate(now time.Time) float64 {
	for r.failures > 0 && now.Sub(r.updated) > failureForget {
		r.failures /= 2
		r.updated = r.updated.Add(failureForget)
		if r.failures < failureNone {
			r.failures = 0
		}
	}
	return r.failures
}
