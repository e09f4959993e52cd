package bookings

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// A hundred callers use a spend limit that suffices for thirty calls, while
// responses to debits are lost, one instance is killed and one is frozen and
// resumes. The service must not run more calls than the limit allows.
func TestBudgetNeverOverspentUnderFaults(t *testing.T) {
	f := startFleet(t, 3, "0.30")
	f.Platform.SetFaults(platformFaults{LoseAnswers: 2, LoseMatching: "budget/"})
	var mu sync.Mutex
	outcomes := map[string]int{}
	var calls []func()
	for n := range 100 {
		calls = append(calls, func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			got := post(t, f.Instances[n%3].CallerAddress(), fmt.Sprint("spend-", n), "{}")
			mu.Lock()
			defer mu.Unlock()
			outcomes[got.outcome+" "+got.reason]++
		})
	}
	calls = append(calls, func() {
		time.Sleep(2 * time.Second)
		f.Instances[0].Kill()
		f.Instances[1].Freeze(time.Second)
	})
	runConcurrently(calls...)
	const affordable = 30
	if got := len(f.Services[0].Calls()); got > affordable || got < affordable/3 {
		t.Errorf("service ran %d calls, want at most the %d that the limit allows and at least a third of that number; outcomes: %v", got, affordable, outcomes)
	}
}

// The store goes down after a generation has debited a chunk of the limit. A new
// generation must run to its end within the debited chunk. Bookings must be refused
// as "not run" with Retry-After, and must run again after the outage.
func TestOutageGenerationsGoOnAndBookingsAreRefused(t *testing.T) {
	f := startFleet(t, 2, "")
	cl := client.New(client.Options{Seeds: f.Seeds(), APIKey: demo.APIKey, Retries: 5})
	generate := func() error {
		_, err := cl.Stream(context.Background(), client.Completion{Model: "dispatch-7b", Prompt: "Delivery schedule", MaxTokens: 100}, nil)
		return err
	}
	if err := generate(); err != nil {
		t.Fatal(err)
	}
	f.Platform.SetFaults(platformFaults{Down: true})
	for _, i := range f.Instances {
		got := post(t, i.CallerAddress(), "outage", "{}")
		wantResponse(t, "a booking at "+i.Name, got, "not_run", "store_unavailable")
		if got.status != http.StatusServiceUnavailable || got.retryAfter == "" {
			t.Errorf("booking during the outage got %+v, want status 503 with Retry-After", got)
		}
	}
	if err := generate(); err != nil {
		t.Errorf("generation during the outage: error = %v, want nil", err)
	}
	f.Platform.SetFaults(platformFaults{})
	testkit.Eventually(t, waitTimeout, "a booking is done after the outage", func() bool {
		return post(t, f.Instances[0].CallerAddress(), "outage", "{}").outcome == "done"
	})
	wantRuns(t, f, "outage", 1)
}

// Running bookings at most once must cost two commits to the table for each
// booking, besides the debits of the budget.
func TestPromise4CostOverSockets(t *testing.T) {
	f := startFleet(t, 1, "")
	const bookings = 200
	before, start := f.Platform.Counts(), time.Now()
	for n := range bookings {
		post(t, f.Instances[0].CallerAddress(), fmt.Sprint("cost-", n), "{}")
	}
	writes := f.Platform.Counts().Commits - before.Commits
	t.Logf("bookings=%d writes=%d mean_ms=%.2f", bookings, writes, float64(time.Since(start).Microseconds())/1000/bookings)
	if writes < 2*bookings || writes > 2*bookings+5 {
		t.Errorf("%d writes for %d bookings, want two for each booking and at most 5 debits", writes, bookings)
	}
}
