package trial

import (
	"testing"
	"time"
)

// A data centre's upstreams come back cold under a burst: all instances see the same empty
// upstreams at once. No upstream may get more in any second than it bears, also while some
// instances do not know of all others.
func TestAColdUpstreamIsNotRunOver(t *testing.T) {
	const rate = 26
	for _, instances := range []int{24, 195, 390} {
		for _, cold := range []int{2, 6} {
			most, used, served, refused := 0, 0.0, 0, 0
			var after time.Duration
			const seeds = 10
			for seed := range uint64(seeds) {
				r := PlayColdStart(ColdStart{
					Instances: instances, Upstreams: 6, DataCentres: 3, Cold: cold, ColdFor: 3 * time.Second, Rate: rate,
					PerSecond: 400, Work: 60 * time.Millisecond, Unaware: 0.1, Seed: seed,
				})
				most = max(most, r.Peak)
				used += r.Used / seeds
				served += r.Served
				refused += r.Refused
				after += r.RetryAfter / seeds
			}
			t.Logf("%d instances, %d of 6 cold: most in a second %d, mean %.1f, %.1f%% refused, told to wait %v",
				instances, cold, most, used, 100*float64(refused)/float64(served+refused), after.Round(time.Millisecond))
			if most > rate {
				t.Errorf("%d instances: %d requests reached a cold upstream in a second, want at most %d", instances, most, rate)
			}
		}
	}
}
