package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/testkit"
)

// For any sequence of successes and failures of a few organisations, neither the instance nor an
// organisation may make more retries than its successes have earned, plus the initial MaxRetries.
func TestRetryBudgetPropertyNeverOverspent(t *testing.T) {
	props := gopter.NewProperties(testkit.Parameters())
	props.Property("retries <= MaxRetries + RetriesPerSuccess x successes", prop.ForAll(
		func(choices []uint8) bool {
			b := NewBudgets(1)
			retries, successes := map[string]int{}, map[string]int{}
			for _, choice := range choices {
				org := fmt.Sprint(choice % 3)
				if choice < 128 {
					b.Success(org)
					successes[org]++
					successes["all"]++
				} else if b.Take(time.Unix(0, 0), org) == Allowed {
					retries[org]++
					retries["all"]++
				}
			}
			for owner, n := range retries {
				if float64(n) > MaxRetries+RetriesPerSuccess*float64(successes[owner])+1e-6 {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(200, gen.UInt8()),
	))
	props.Property("the backoff is positive and at most maxBackoff", prop.ForAll(
		func(n int) bool {
			d := NewBudgets(uint64(n)).Backoff(n)
			return d > 0 && d <= maxBackoff
		},
		gen.IntRange(1, 100),
	))
	props.TestingRun(t)
}

// An organisation with many failures must not use up the retries of another one. The number of
// stored budgets is bounded, and idle or full budgets are removed.
func TestRetryBudgetPerOrganisationAndBounded(t *testing.T) {
	b := NewBudgets(1)
	b.instance = 1e6
	now := time.Unix(0, 0)
	for range MaxRetries {
		b.Take(now, "failing")
	}
	if v := b.Take(now, "failing"); v != SpentOrg {
		t.Errorf("organisation without retries left: verdict = %s, want %s", v, SpentOrg)
	}
	if v := b.Take(now, "other"); v != Allowed {
		t.Errorf("organisation without retries so far: verdict = %s, want %s", v, Allowed)
	}
	for n := range 31_000 {
		b.Take(now, fmt.Sprint(n))
	}
	if b.Len() > maxOrgs {
		t.Errorf("stored budgets = %d, want at most %d", b.Len(), maxOrgs)
	}
	later := now.Add(idleTTL + time.Second)
	if v := b.Take(later, "new"); v != Allowed || b.Len() != 1 {
		t.Errorf("after the idle TTL: verdict = %s with %d stored budgets, want %s with 1", v, b.Len(), Allowed)
	}
	for range 20 {
		b.Success("new")
	}
	if b.Len() != 0 {
		t.Errorf("stored budgets = %d after the budget was full again, want 0", b.Len())
	}
}
