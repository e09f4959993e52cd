package forward

import "time"

const (
	// budgetShare is the fraction of the fleet-wide retry budget that is used. The rest covers
	// restarted instances, whose counts begin at zero, and a shrinking fleet, whose instances
	// get larger shares at once.
	budgetShare = 0.6
	// budgetBuckets is the number of buckets in a window.
	budgetBuckets = 10
)

// budget counts a service's requests and retries in a sliding window, which limits retries so
// that they do not amplify an overload.
type budget struct {
	bucketWidth time.Duration
	requests    [budgetBuckets + 1]int
	retries     [budgetBuckets + 1]int
	bucket      int64
}

func (g *Gate) budget(service string) *budget {
	b := g.budgets[service]
	if b == nil {
		b = &budget{bucketWidth: max(g.options.RetryWindow/budgetBuckets, time.Millisecond)}
		g.budgets[service] = b
	}
	return b
}

// advance clears the buckets that have left the window and returns the index of the current
// bucket.
func (b *budget) advance(now time.Time) int {
	at := now.UnixNano() / int64(b.bucketWidth)
	for k := max(b.bucket+1, at-budgetBuckets); k <= at; k++ {
		slot := k % (budgetBuckets + 1)
		b.requests[slot], b.retries[slot] = 0, 0
	}
	b.bucket = max(b.bucket, at)
	return int(b.bucket % (budgetBuckets + 1))
}

func (b *budget) addRequest(now time.Time) { b.requests[b.advance(now)]++ }

func (b *budget) addRetry(now time.Time) { b.retries[b.advance(now)]++ }

func (b *budget) totals() (requests, retries int) {
	for k := range b.requests {
		requests += b.requests[k]
		retries += b.retries[k]
	}
	return requests, retries
}

// retryAllowed reports whether this instance's share of the retry budget allows another retry.
func (g *Gate) retryAllowed(now time.Time, service string) bool {
	b := g.budget(service)
	b.advance(now)
	requests, retries := b.totals()
	slack := max(1, g.options.RetrySlack/float64(g.instances))
	allowed := budgetShare * (g.options.RetryRatio*float64(requests) + slack)
	return float64(retries)+1 <= allowed
}
