package streams

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/retry"
)

// In a partial outage some or all engines fail every new generation. Callers send
// one request after another and don't retry. The number of attempts must not exceed the
// number of requests, plus retry.MaxRetries for each entry, plus retry.RetriesPerSuccess
// for each success. A request whose retry is refused must end within 5 s with a time to
// retry. Failing engines must not attract work away from healthy engines.
func TestRetryBudgetBoundsAmplification(t *testing.T) {
	const requests = 600
	for _, failing := range []int{0, 1, 2, 4} {
		t.Run(fmt.Sprintf("%d of 4 engines fail", failing), func(t *testing.T) {
			sim := newSimulation(2, 4, "1000.00")
			before := sim.counts["attempts_total"]
			for n := range failing {
				sim.engines[fmt.Sprintf("engine-%d", n)].failuresLeft = 1 << 30
			}
			done := 0
			for n := range requests {
				c := sim.submit(sim.names[n%2], "depot-key", fmt.Sprintf("order-%d", n), false)
				c.retriesLeft = 0
				start := sim.now
				sim.runUntilEnded()
				if c.outcome == core.Done {
					done++
				} else if sim.now.Sub(start) > 5*time.Second || c.retryAfter <= 0 {
					t.Errorf("request failed after %s with Retry-After %s, want a failure within 5s and a positive Retry-After", sim.now.Sub(start), c.retryAfter)
				}
			}
			attempts := sim.counts["attempts_total"] - before
			maxAttempts := requests + 2*retry.MaxRetries + int(retry.RetriesPerSuccess*float64(done))
			t.Logf("requests=%d done=%d attempts=%d amplification=%.3f max_amplification=%.3f",
				requests, done, attempts, float64(attempts)/requests, float64(maxAttempts)/requests)
			if attempts > maxAttempts {
				t.Errorf("%d attempts for %d requests, want at most %d", attempts, requests, maxAttempts)
			}
			if failing < 4 && done < requests*95/100 {
				t.Errorf("%d of %d requests done, want at least 95 percent served by the healthy engines", done, requests)
			}
			if failing == 4 && sim.counts["retries_refused_total"] == 0 {
				t.Error("retries_refused_total = 0, want at least 1")
			}
		})
	}
}
