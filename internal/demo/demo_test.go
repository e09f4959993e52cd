package demo

import (
	"context"
	"testing"
)

// Without faults a run must keep all guarantees of Report.Clean, and at least 95 in 100
// requests must be done.
func TestDemoWithoutFaults(t *testing.T) {
	t.Parallel()
	r, err := Run(context.Background(), Options{Requests: 60, Seed: 3})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Clean() {
		t.Errorf("Report.Clean() = false, want true: %s", r.Line())
	}
	if r.Done*100 < r.Requests*95 {
		t.Errorf("done = %d of %d requests, want at least 95 in 100: %s", r.Done, r.Requests, r.Line())
	}
}

// Callers must get complete responses or correct outcomes while an engine crashes, another
// freezes, the store is down and later loses responses, an engine is reclaimed, an instance
// is killed and another freezes. The callers' results are compared with the stand-ins'
// records.
func TestDemoWithFaults(t *testing.T) {
	t.Parallel()
	r, err := Run(context.Background(), Options{Requests: 150, Seed: 3, Faults: true})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Clean() {
		t.Errorf("Report.Clean() = false, want true: %s", r.Line())
	}
	if got := r.Done + r.NotRun + r.Partial + r.Unknown; got != r.Requests {
		t.Errorf("number of outcomes = %d, want %d, one for each request", got, r.Requests)
	}
}
