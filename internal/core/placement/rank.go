package placement

import (
	"math"
	"time"
)

const (
	// rankCount is the number of ranks that are served apart. Less urgent ones count as the last.
	rankCount = 8
	// rankShare is the fraction of the granted work that a rank which waits gets, however much more
	// urgent work waits.
	rankShare = 0.1
	// rankShareTime is the time constant with which the granted work is measured.
	rankShareTime = 3 * time.Second
)

// rankOf returns the rank by which a request is served.
func (q *queue) rankOf(req *Request) int {
	if !q.byRank {
		return 0
	}
	return min(max(req.Rank, 0), rankCount-1)
}

// rankShares divides the granted work among the ranks that wait. Work is measured in prompt tokens,
// with outputValue for each output token. Measured as memory times tokens, one long answer would
// count as much as a hundred short ones, and a rank of long answers would get one in many seconds.
type rankShares struct {
	updatedAt time.Time
	// waiting marks the ranks that waited at updatedAt.
	waiting [rankCount]bool
	// granted is the work granted to a rank, total the work granted to all ranks while the rank
	// waited. Both decay.
	granted, total [rankCount]float64
}

// advance decays the measurements for the time since the last call. waiting marks the ranks that
// wait from now on.
func (s *rankShares) advance(now time.Time, waiting *[rankCount]bool) {
	if since := now.Sub(s.updatedAt); since > 0 {
		keep := math.Exp(-since.Seconds() / rankShareTime.Seconds())
		for r := range s.granted {
			s.granted[r] *= keep
			s.total[r] *= keep
		}
		s.updatedAt = now
	}
	s.waiting = *waiting
}

// recordGrant records the grant of a queued request.
func (s *rankShares) recordGrant(rank int, work float64) {
	for r, waits := range s.waiting {
		if waits {
			s.total[r] += work
		}
	}
	s.granted[rank] += work
}

// mostUrgent returns the most urgent rank that waits, rankCount if none does.
func (s *rankShares) mostUrgent() int {
	for r, waits := range s.waiting {
		if waits {
			return r
		}
	}
	return rankCount
}

// order returns the first n ranks to serve of those that wait: those with less than their share,
// then the others, the more urgent first.
func (s *rankShares) order(waiting *[rankCount]bool) (order [rankCount]int, n int) {
	for _, behind := range [2]bool{true, false} {
		for r, waits := range waiting {
			if waits && s.behind(r) == behind {
				order[n] = r
				n++
			}
		}
	}
	return order, n
}

// behind reports whether a rank that waits got less than its share.
func (s *rankShares) behind(rank int) bool { return s.granted[rank] < rankShare*s.total[rank] }

// advanceShares advances the measurement of the ranks' shares to now.
func (q *queue) advanceShares(now time.Time) {
	var waiting [rankCount]bool
	for _, l := range q.waiting {
		waiting[l.rank] = true
	}
	q.shares.advance(now, &waiting)
}
