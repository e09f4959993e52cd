// Package admission predicts how long calls of a plain service will take at its upstreams, and refuses
// those that would be too late everywhere. It does no I/O and has no clock or random source.
package admission

import (
	"slices"
	"time"
)

const (
	// MaxReportAge is the age from which the report of an upstream is not used. Within this time an
	// upstream with 6 slots completes dozens of calls.
	MaxReportAge = 400 * time.Millisecond
	// MaxAvoidance is the longest time for which an upstream that turned a call away because it was
	// full gets no more calls.
	MaxAvoidance = 500 * time.Millisecond
	// maxPrediction bounds predictions, so that a false report does not overflow a duration.
	maxPrediction = time.Hour
	// rankStep is by how much each rank reduces the part of the remaining time that a call may use:
	// rank r may use 1 / (1 + r x rankStep).
	rankStep = 0.25
	// usableShare is the part of the time left that a prediction may fill. Other instances send calls
	// that the reports do not show yet: with the whole time, a ninth of the calls that were sent in a
	// simulated overload of twice the capacity were late.
	usableShare = 0.9
	// urgentShare is the part of the drain time of a full upstream in which it gets the most urgent
	// calls again.
	urgentShare = 0.75
	// LeastShare is the share of the less urgent calls that are treated like the most urgent ones
	// instead of being refused.
	LeastShare = 0.1
	// sampleWeight is the weight of the newest call in the mean service time, which reflects about
	// the last ten calls.
	sampleWeight = 0.1
	// maxSample is the largest sample in mean service times. An instance that was frozen measures
	// seconds, and would refuse calls because of them.
	maxSample = 3
	// firstCalls is the number of calls until the mean is used. Until then it is the shortest time:
	// the first calls to an upstream include the set-up of connections.
	firstCalls = 5
	// longestCalls is the number of calls by which a long service time is remembered. It covers rare kinds of work,
	// and forgets the seconds that an instance measures which was frozen.
	longestCalls = 1000
)

// Load is what is known of the load of an upstream.
type Load struct {
	// Running, Waiting and Slots are those of the last report, Age is its age. Slots is 0 if there
	// is no report.
	Running, Waiting, Slots int
	Age                     time.Duration
	// Sent is the number of calls in progress that this instance has sent since the report.
	Sent int
}

// Fresh reports whether the load can be used.
func (l Load) Fresh() bool { return l.Slots > 0 && l.Age < MaxReportAge }

// Rounds returns how long a call takes that is sent now, in service times: the wait for a slot and the
// call itself.
func (l Load) Rounds() float64 {
	return float64(l.ahead())/float64(max(l.Slots, 1)) + 1
}

// ahead returns the number of calls that must end before one that is sent now can start.
func (l Load) ahead() int { return max(l.Running+l.Waiting+l.Sent-l.Slots+1, 0) }

// Busy reports whether it is known that a call that is sent now has to wait for a slot.
func (l Load) Busy() bool { return l.Fresh() && l.ahead() > 0 }

// ServiceTime is the mean time that calls take on an upstream once they run, and the longest of recent ones, where
// work takes as long as usual. The zero value has no calls.
type ServiceTime struct {
	mean    time.Duration
	longest time.Duration
	calls   int
}

// Observe records that a call took a duration, where rounds is what Load.Rounds was when it was sent and
// factor is how many times as long as usual work took. rounds is 0 if the load was not known: the call
// may have waited, and counts only if it shortens the mean.
func (s *ServiceTime) Observe(took time.Duration, rounds, factor float64) {
	if took <= 0 || !(factor > 0) {
		return
	}
	sample := time.Duration(float64(took) / (max(rounds, 1) * factor))
	if rounds < 1 && sample >= s.mean {
		return
	}
	s.calls++
	s.longest = max(s.longest-s.longest/longestCalls, sample)
	switch {
	case s.calls == 1:
		s.mean = sample
	case s.calls <= firstCalls:
		s.mean = min(s.mean, sample)
	default:
		s.mean += time.Duration(sampleWeight * float64(min(sample, maxSample*s.mean)-s.mean))
	}
}

// Mean returns the mean service time, or 0 if it is not known yet.
func (s *ServiceTime) Mean() time.Duration {
	if s.calls < firstCalls {
		return 0
	}
	return s.mean
}

// Longest returns the longest service time of recent calls, or 0 if there were none. It falls by 1/longestCalls of
// itself with each call.
func (s *ServiceTime) Longest() time.Duration { return s.longest }

// Typical returns the service time of a service from those of its upstreams, or 0 if none is known: the
// lower median, so that an upstream that reports false loads, by which its own service time is wrong,
// does not determine it.
func Typical(means []time.Duration) time.Duration {
	known := slices.DeleteFunc(slices.Clone(means), func(m time.Duration) bool { return m <= 0 })
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// Candidate is an upstream that may run a call.
type Candidate struct {
	Load Load
	// Factor is how many times as long as usual work is expected to take there.
	Factor float64
}

// Predict returns how long a call takes that is sent to the upstream now.
func (c Candidate) Predict(mean time.Duration) time.Duration {
	return time.Duration(min(c.Load.Rounds()*float64(mean)*c.Factor, float64(maxPrediction)))
}

// Basis is what a refusal is based on.
type Basis struct {
	// Predicted is the shortest prediction, and Limit what the call may take.
	Predicted, Limit time.Duration
	// OldestReport is the age of the oldest report.
	OldestReport time.Duration
}

// part returns the part of what is available that calls of a rank may use. 0 is the most urgent rank;
// less urgent calls may use less, so that they give way first.
func part(rank int) float64 { return 1 / (1 + rankStep*float64(max(rank, 0))) }

// Limit returns how long a call of a rank may take that has an amount of time left.
func Limit(left time.Duration, rank int) time.Duration {
	return time.Duration(usableShare * part(rank) * float64(left))
}

// Decide reports whether a call is to be refused, as no candidate is predicted to complete it within the
// limit. Without a fresh report from every candidate, or without a known service time, nothing is
// refused, and neither is a call that can start immediately: a wrong service time would otherwise stay, as
// no call would correct it.
func Decide(candidates []Candidate, mean, limit time.Duration) (b Basis, refused bool) {
	if mean <= 0 || len(candidates) == 0 {
		return Basis{}, false
	}
	b.Limit = limit
	for k, c := range candidates {
		predicted := c.Predict(mean)
		if !c.Load.Busy() || predicted <= limit {
			return Basis{}, false
		}
		if k == 0 || predicted < b.Predicted {
			b.Predicted = predicted
		}
		b.OldestReport = max(b.OldestReport, c.Load.Age)
	}
	return b, true
}

// RetryAfter returns when a refused call should come back that has an amount of time left: after the
// predicted excess, and a random share of that or of one service time. Callers that are refused for the
// same load must not come back together. u is a random number from 0 to 1.
func (b Basis) RetryAfter(mean, left time.Duration, u float64) time.Duration {
	excess := max(b.Predicted-b.Limit, 0)
	return Spread(excess, max(excess, mean), left, u)
}

// Spread returns a time from earliest on within a duration. Callers come back after at most a third of
// the time that they have left. If that is earlier, the returned time is in the second half of that
// third, as callers would otherwise come back together.
func Spread(earliest, within, left time.Duration, u float64) time.Duration {
	if latest := left / 3; earliest+within > latest {
		earliest, within = min(earliest, latest/2), latest-min(earliest, latest/2)
	}
	return earliest + time.Duration(u*float64(within))
}

// Drain returns how long an upstream that turned a call away needs until its queue is empty. It is 0 if
// the upstream is not full, or if the service time is not known.
func Drain(c Candidate, mean time.Duration) time.Duration {
	l := c.Load
	if !l.Fresh() || l.Running < l.Slots || l.Waiting == 0 {
		return 0
	}
	drain := float64(l.Waiting) / float64(l.Slots) * float64(mean) * c.Factor
	return time.Duration(min(drain, float64(MaxAvoidance)))
}

// Avoidance returns for how long an upstream with a drain time gets no more calls of a rank. The most
// urgent ones get the first places that become free in its queue, the others more and more of its drain
// time later.
func Avoidance(drain time.Duration, rank int) time.Duration {
	return time.Duration((1 - urgentShare*part(rank)) * float64(drain))
}
