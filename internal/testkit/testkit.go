// Package testkit holds helpers shared by the tests of several packages: the
// parameters of property tests and polling for a condition.
package testkit

import (
	"flag"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
)

// propSeed and propRuns are flags of every property test, for example
// go test ./internal/core/booking -run Property -prop.seed=42.
var (
	propSeed = flag.Int64("prop.seed", 1, "seed of the random generator of property tests")
	propRuns = flag.Int("prop.runs", 1000, "number of successful runs required of each property")
)

// Parameters returns the parameters for every property test. The seed is fixed
// unless -prop.seed is given, so that CI gets the same result on every run.
func Parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParameters()
	p.Rng = rand.New(rand.NewSource(*propSeed))
	p.MinSuccessfulTests = *propRuns
	return p
}

// Eventually polls cond every 5 ms and fails the test if cond does not hold
// within the given time. The text condition describes cond in the failure.
func Eventually(t testing.TB, within time.Duration, condition string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("condition did not hold within %s: %s", within, condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
