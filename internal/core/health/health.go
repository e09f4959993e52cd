// Package health tracks the recent failure rate of an upstream.
package health

import "time"

const (
	// outcomeWeight is the weight of the newest outcome in a failure rate, so that the rate
	// reflects about the last ten outcomes.
	outcomeWeight = 0.1
	// rateHalfLife is the time after which a failure rate without new outcomes is halved, so
	// that an upstream that is not chosen because of its failures is tried again.
	rateHalfLife = 3 * time.Second
	// minRate is the failure rate below which the rate becomes zero.
	minRate = 0.001
)

// Record is the failure rate of an upstream's recent outcomes. The zero value has no outcomes.
type Record struct {
	rate      float64
	updatedAt time.Time
}

// Note records an outcome.
func (r *Record) Note(now time.Time, failed bool) {
	r.rate = r.Rate(now) * (1 - outcomeWeight)
	if failed {
		r.rate += outcomeWeight
	}
	r.updatedAt = now
}

// Rate returns the fraction of failures among the recent outcomes, from 0 to 1. It decays over
// time.
func (r *Record) Rate(now time.Time) float64 {
	for r.rate > 0 && now.Sub(r.updatedAt) > rateHalfLife {
		r.rate /= 2
		r.updatedAt = r.updatedAt.Add(rateHalfLife)
		if r.rate < minRate {
			r.rate = 0
		}
	}
	return r.rate
}
