package budget

import "time"

// bucket is a token bucket. The limiter of golang.org/x/time/rate has a mutex and reads the
// clock where no time is passed; the core has a hundred thousand buckets and one goroutine, so
// that each stores only a level and a time.
type bucket struct {
	level   float64
	updated time.Time
}

func (b *bucket) refill(now time.Time, rate float64) {
	burst := max(rate*burstSeconds, 1)
	if b.updated.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
}

// take spends n. If the level is too low, it spends nothing and returns the time until n is
// available.
func (b *bucket) take(now time.Time, n, rate float64) time.Duration {
	b.refill(now, rate)
	if b.level < n {
		return refillTime(n-b.level, rate)
	}
	b.level -= n
	return 0
}

// check returns the time until the level is positive; 0 if it is positive now.
func (b *bucket) check(now time.Time, rate float64) time.Duration {
	b.refill(now, rate)
	if b.level <= 0 {
		return refillTime(-b.level, rate) + time.Millisecond
	}
	return 0
}

// overdraw spends n even if the level falls below zero. It is used for output tokens, whose
// number is only known once they were produced.
func (b *bucket) overdraw(now time.Time, n, rate float64) {
	b.refill(now, rate)
	b.level -= n
}

func refillTime(missing, rate float64) time.Duration {
	return time.Duration(missing / rate * float64(time.Second))
}
