package ratelimit

import (
	"sort"
	"time"
)

const (
	// burstTime is the time at the limited rate for which an unused rate is kept, minBurst the
	// lowest number of requests that may be sent at once. They cover timers that fire late and
	// pauses in the demand.
	burstTime = 150 * time.Millisecond
	minBurst  = 2
	// cautiousShare is the fraction of the limit that is used for cautiousTime after the limit was
	// set and after a Window without a request. Before, the upstream may have received requests that
	// this bucket did not count: from all instances without a limit, or from another instance that
	// divided it. Some entries may use that one for a while yet: an instance that responded late is
	// avoided for 5 s.
	cautiousShare = 0.5
	cautiousTime  = 6 * time.Second
	// idleMargin is how long after a request could have been sent it is still sent in turn: at a low
	// rate a Window passes between two.
	idleMargin = 250 * time.Millisecond
	// toleratedBefore is the part of a Window's limit that an upstream is assumed to bear beyond the
	// cautious share, for requests that were sent before the limit was known; toleratedSlack is a
	// number of requests beyond that. What was sent beyond both is a debt.
	toleratedBefore = 1.0
	toleratedSlack  = 2
	// LookBack is how long before an instance learned of a limit its requests count as sent before.
	LookBack = time.Second
	// waitStep is the precision of Wait, maxWait the longest wait that it tells apart.
	waitStep = 10 * time.Millisecond
	maxWait  = 5 * time.Minute
)

// Bucket is a token bucket for the requests to one upstream. The zero value has no limit.
type Bucket struct {
	limit Limit
	// tokens is the number of requests that may be sent at once, as of at. A negative number is a
	// debt.
	tokens float64
	at     time.Time
	// fullRateAt is the end of cautiousTime. lastTake is the time of the last request, openSince the
	// time from which on the next one could be sent.
	fullRateAt, lastTake, openSince time.Time
	// before is the number of requests that were sent before the limit was known.
	before int
}

// SetLimit changes the limit.
func (b *Bucket) SetLimit(now time.Time, l Limit) {
	if !b.limit.Stated && l.Stated {
		b.tokens, b.at, b.before = 1, now, 0
		b.fullRateAt, b.lastTake, b.openSince = now.Add(cautiousTime), now, now
	}
	b.refill(now)
	b.limit = l
	b.tokens = min(b.tokens, b.capacity())
}

// Limit returns the limit.
func (b *Bucket) Limit() Limit { return b.limit }

// Take counts a request.
func (b *Bucket) Take(now time.Time) {
	if !b.limit.Stated {
		return
	}
	b.refill(now)
	b.endIdle(now)
	b.tokens--
	b.lastTake, b.openSince = now, now
	if at := b.OpenAt(); at.After(now) {
		b.openSince = at
	}
}

// endIdle reduces the rate for cautiousTime if no request was sent for a Window although the rate allowed it.
func (b *Bucket) endIdle(now time.Time) {
	if now.Sub(b.lastTake) > Window && now.Sub(b.openSince) > idleMargin {
		b.fullRateAt, b.lastTake, b.openSince = now.Add(cautiousTime), now, now
	}
}

// CountBefore counts requests that an instance sent in the LookBack before it learned of the limit.
// They delay others only as long as they are in the same Window.
func (b *Bucket) CountBefore(now time.Time, n int) {
	relevant := b.fullRateAt.Add(Window - LookBack - cautiousTime).Sub(now)
	if !b.limit.Stated || relevant <= 0 {
		return
	}
	b.refill(now)
	debt := b.debt()
	b.before += n
	longest := 1 - b.limit.Rate()*cautiousShare*relevant.Seconds()
	b.tokens = max(b.tokens-(b.debt()-debt), min(b.tokens, longest))
}

// debt returns the number of requests before the limit that the upstream is not assumed to bear.
func (b *Bucket) debt() float64 {
	return max(float64(b.before)-toleratedBefore*b.limit.Rate()*Window.Seconds()-toleratedSlack, 0)
}

// OpenAt returns when one more request may be sent; zero if at any time. It is valid until the
// next change.
func (b *Bucket) OpenAt() time.Time { return b.openAt(1) }

// openAt returns when the n-th request from now on may be sent; zero if at any time.
func (b *Bucket) openAt(n int) time.Time {
	missing := float64(n) - b.tokens
	if !b.limit.Stated || missing <= 0 {
		return time.Time{}
	}
	cautious := max(b.fullRateAt.Sub(b.at), 0)
	rate := b.limit.Rate()
	if gained := cautious.Seconds() * rate * cautiousShare; missing > gained {
		return b.at.Add(cautious + seconds((missing-gained)/rate))
	}
	return b.at.Add(seconds(missing / (rate * cautiousShare)))
}

// startableBy returns the number of requests that may be sent until a time from now on.
func (b *Bucket) startableBy(until time.Time) int {
	cautious := min(max(b.fullRateAt.Sub(b.at), 0), until.Sub(b.at))
	full := until.Sub(b.at) - cautious
	return int(max(b.tokens+b.limit.Rate()*(cautiousShare*cautious.Seconds()+full.Seconds()), 0))
}

// Wait returns when n requests from now on may have been sent through several buckets, all of which
// have a limit: a duration from now of at most maxWait.
func Wait(now time.Time, n int, buckets []*Bucket) time.Duration {
	startableBy := func(d time.Duration) (sum int) {
		for _, b := range buckets {
			sum += b.startableBy(now.Add(d))
		}
		return sum
	}
	for _, b := range buckets {
		b.refill(now)
		b.endIdle(now)
	}
	steps := sort.Search(int(maxWait/waitStep), func(k int) bool { return startableBy(time.Duration(k)*waitStep) >= n })
	return time.Duration(steps) * waitStep
}

// refill adds the tokens since the last refill.
func (b *Bucket) refill(now time.Time) {
	if !now.After(b.at) {
		return
	}
	cautious := min(max(b.fullRateAt.Sub(b.at), 0), now.Sub(b.at))
	full := now.Sub(b.at) - cautious
	b.tokens += b.limit.Rate() * (cautiousShare*cautious.Seconds() + full.Seconds())
	b.tokens = min(b.tokens, b.capacity())
	b.at = now
}

// capacity returns the maximum number of tokens.
func (b *Bucket) capacity() float64 { return max(minBurst, b.limit.Rate()*burstTime.Seconds()) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
