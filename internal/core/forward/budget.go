package forward

import "time"

const (
	// budgetShare is the part of the fleet-wide retry budget that is used. The rest covers
	// restarted instances, whose counts begin at zero, and a shrinking fleet, whose instances
	// get larger shares at once.
	budgetShare = 0.6
	// budgetBuckets is the number of buckets in a window.
	budgetBuckets = 10
)

// budget counts a service's requests and retries in a sliding window, so that retries do not
// amplify an overload.
type budget struct {
	width    time.Duration
	requests [budgetBuckets + 1]int
	repeats  [budgetBuckets + 1]int
	at       int64
}

func (g *Gate) budget(service string) *budget {
	b := g.budgets[service]
	if b == nil {
		b = &budget{width: max(g.options.RetryWindow/budgetBuckets, time.Millisecond)}
		g.budgets[service] = b
	}
	return b
}

// advance clears the buckets that left the window.
func (b *budget) advance(now time.Time) int {
	at := now.UnixNano() / int64(b.width)
	for k := max(b.at+1, at-budgetBuckets); k <= at; k++ {
		slot := k % (budgetBuckets + 1)
		b.requests[slot], b.repeats[slot] = 0, 0
	}
	b.at = max(b.at, at)
	return int(b.at % (budgetBuckets + 1))
}

func (b *budget) request(now time.Time) { b.requests[b.advance(now)]++ }

func (b *budget) repeat(now time.Time) { b.repeats[b.advance(now)]++ }

func (b *budget) totals() (requests, repeats int) {
	for k := range b.requests {
		requests += b.requests[k]
		repeats += b.repeats[k]
	}
	return requests, repeats
}

// mayRepeat reports whether this instance's share of the retry budget allows another retry.
func (g *Gate) mayRepeat(now time.Time, service string) bool {
	b := g.budget(service)
	b.advance(now)
	requests, repeats := b.totals()
	slack := max(1, g.options.RetrySlack/float64(g.instances))
	allowed := budgetShare * (g.options.RetryRatio*float64(requests) + slack)
	return float64(repeats)+1 <= allowed
}
