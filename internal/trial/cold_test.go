package trial

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// A data centre's upstreams come back cold under a burst: all instances see the same empty
// upstreams at once. No upstream may get more in any second than it bears, also while some
// instances do not know of all others. Equal shares, the other way, are drawn by chance and
// pass the rate at times; they must stay below what crashes it.
func TestAColdUpstreamIsNotRunOver(t *testing.T) {
	const rate, crashes = 26, 26*1.5 + 5
	for way, bound := range map[string]int{"holders": rate, "shares": crashes} {
		ways, err := mechanism.ParseWays([]string{"cold=" + way})
		if err != nil {
			t.Fatal(err)
		}
		for _, instances := range []int{24, 195, 390} {
			for _, cold := range []int{2, 6} {
				most, used, served, refused := 0, 0.0, 0, 0
				var after time.Duration
				const seeds = 10
				for seed := range uint64(seeds) {
					r := PlayColdStart(ColdStart{
						Instances: instances, Upstreams: 6, DataCentres: 3, Cold: cold, ColdFor: 3 * time.Second, Rate: rate,
						PerSecond: 400, Work: 60 * time.Millisecond, Unaware: 0.1, Ways: ways, Seed: seed,
					})
					most = max(most, r.Peak)
					used += r.Used / seeds
					served += r.Served
					refused += r.Refused
					after += r.RetryAfter / seeds
				}
				t.Logf("way %s, %d instances, %d of 6 cold: most in a second %d, mean %.1f, %.1f%% refused, told to wait %v",
					way, instances, cold, most, used, 100*float64(refused)/float64(served+refused), after.Round(time.Millisecond))
				if most > bound {
					t.Errorf("way %s, %d instances: %d requests reached a cold upstream in a second, want at most %d", way, instances, most, bound)
				}
			}
		}
	}
}
