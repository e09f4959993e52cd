package forward

import "time"

const (
	// budgetShare is the part of the fleet's budget that the instances use.
	// The rest covers an instance that starts again within a window, whose
	// count of retries begins at zero, and a fleet that has just lost members,
	// whose remaining instances take larger shares at once.
	budgetShare = 0.6
	// budgetBuckets is the number of parts that a window is counted in.
	budgetBuckets = 10
)

// budget counts a service's requests and repeated sends over a sliding window,
// so that a brown-out is not made worse by retries.
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

// advance empties the buckets that have left the window.
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

// mayRepeat reports whether this instance's share of the fleet's budget allows
// one more send beyond the first of a request.
func (g *Gate) mayRepeat(now time.Time, service string) bool {
	b := g.budget(service)
	b.advance(now)
	requests, repeats := b.totals()
	slack := max(1, g.options.RetrySlack/float64(g.instances))
	allowed := budgetShare * (g.options.RetryRatio*float64(requests) + slack)
	return float64(repeats)+1 <= allowed
}
