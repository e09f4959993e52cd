package streams

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/retry"
)

// In a brown-out some or all engines refuse the work that reaches them.
// Callers send one request after another and don't repeat. The attempts stay
// within requests + Saved for each entry + Earned for each success, and a
// request that is given up on ends at once, with a time to come back. Engines
// that fail must not draw the work away from those that are well.
func TestRetryBudgetBoundsAmplification(t *testing.T) {
	const requests = 600
	for _, failing := range []int{0, 1, 2, 4} {
		t.Run(fmt.Sprintf("%d of 4 engines fail", failing), func(t *testing.T) {
			w := newWorld(2, 4, "1000.00")
			before := w.counts["attempts_total"]
			for n := range failing {
				w.engines[fmt.Sprintf("engine-%d", n)].failures = 1 << 30
			}
			done := 0
			for n := range requests {
				c := w.ask(w.names[n%2], "depot-key", fmt.Sprintf("order-%d", n), false)
				c.repeats = 0
				start := w.now
				w.settleAll()
				if c.outcome == core.Done {
					done++
				} else if w.now.Sub(start) > 5*time.Second || c.retryAfter <= 0 {
					t.Errorf("given up after %s, come back after %s", w.now.Sub(start), c.retryAfter)
				}
			}
			attempts := w.counts["attempts_total"] - before
			bound := requests + 2*retry.MaxRetries + int(retry.RetriesPerSuccess*float64(done))
			t.Logf("requests=%d done=%d attempts=%d amplification=%.3f bound=%.3f",
				requests, done, attempts, float64(attempts)/requests, float64(bound)/requests)
			if attempts > bound {
				t.Errorf("%d attempts for %d requests, want at most %d", attempts, requests, bound)
			}
			if failing < 4 && done < requests*95/100 {
				t.Errorf("%d of %d done, want the engines that are well to serve them", done, requests)
			}
			if failing == 4 && w.counts["retries_refused_total"] == 0 {
				t.Error("no refused retry was counted")
			}
		})
	}
}
