// Package ratelimit divides the rate of requests that an upstream accepts among the instances that
// send to it. It does no I/O and has no clock: time is an argument.
//
// limit.go defines the limit that an upstream states, counter.go counts recent requests.
package ratelimit

import "time"

const (
	// minRate is the lowest rate in requests per second that is enforced. An upstream that states
	// a limit near 0 still gets a request now and then: only a response can tell that the limit
	// has ended.
	minRate = 0.25
	// maxRate is the limit in requests per second from which on an upstream counts as unlimited.
	maxRate = 1e5
)

// StatementSlack is how much later than the last response with a limit a request must have been sent
// for its response without a limit to end the limit, if the two responses went to different
// instances. The times are computed from ages in messages, which are delayed in the network.
const StatementSlack = 100 * time.Millisecond

// Limit is the rate of requests that an upstream accepts from all instances together. The zero
// value is no limit.
type Limit struct {
	// Stated is set if the upstream states a limit; PerSecond is then the stated rate.
	Stated    bool
	PerSecond float64
}

// Of returns the limit of an upstream that states a rate in requests per second.
func Of(perSecond float64) Limit {
	if perSecond >= maxRate {
		return Limit{}
	}
	return Limit{Stated: true, PerSecond: perSecond}
}

// Rate returns the rate to enforce in requests per second; it is meaningful only if the limit is
// stated.
func (l Limit) Rate() float64 { return max(l.PerSecond, minRate) }
