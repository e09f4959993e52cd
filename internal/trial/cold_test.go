package trial

import (
	"testing"
	"time"
)

// Upstreams return cold under load, and all instances see the same idle upstreams at the same
// time. In any second, a cold upstream may receive at most the number of requests that it
// sustains, even while some instances have only a part of their peers in their view.
func TestColdUpstreamIsNotOverloaded(t *testing.T) {
	const rate = 26
	for _, instances := range []int{24, 195, 390} {
		for _, cold := range []int{2, 6} {
			peak, used, served, refused := 0, 0.0, 0, 0
			var retryAfter time.Duration
			const seeds = 10
			for seed := range uint64(seeds) {
				r := PlayColdStart(ColdStart{
					Instances: instances, Upstreams: 6, DataCentres: 3, Cold: cold, ColdFor: 3 * time.Second, Rate: rate,
					PerSecond: 400, Work: 60 * time.Millisecond, Unaware: 0.1, Seed: seed,
				})
				peak = max(peak, r.Peak)
				used += r.Used / seeds
				served += r.Served
				refused += r.Refused
				retryAfter += r.RetryAfter / seeds
			}
			t.Logf("%d instances, %d of 6 upstreams cold: max requests in a second %d, mean %.1f, %.1f%% refused, mean Retry-After %v",
				instances, cold, peak, used, 100*float64(refused)/float64(served+refused), retryAfter.Round(time.Millisecond))
			if peak > rate {
				t.Errorf("%d instances: %d requests reached a cold upstream in a second, want at most %d", instances, peak, rate)
			}
		}
	}
}
