package streams

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
)

// A caller repeats a request that crashes each engine that runs it, under new ids at
// all three instances, first with three copies at the same time, while other callers
// send requests. Crashed engines restart after 3 s. At most two engines may crash, the
// other callers must get complete responses, and in the end the request must be
// refused with reason poison and Retry-After.
func TestPoisonStoppedAfterTwoCrashes(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4, engine.Settings{CrashOn: "killer"})
	var crashes atomic.Int64
	watchCrashes(f, &crashes)
	poison := client.Completion{Model: "dispatch-7b", Prompt: "killer prompt"}
	var wg sync.WaitGroup
	for n := range 12 {
		time.Sleep(20 * time.Millisecond)
		wg.Go(func() {
			_, text, outcome := f.completeUnstreamed(t, f.Instances[n%3].CallerAddress(), pressKey,
				client.Completion{Model: "dispatch-7b", Prompt: fmt.Sprintf("innocent %d", n)})
			if outcome != "done" {
				t.Errorf("request %d of another caller: outcome %s, want done", n, outcome)
				return
			}
			f.checkTokens(t, text, true)
		})
		if n < 3 {
			wg.Go(func() { f.completeUnstreamed(t, f.Instances[n].CallerAddress(), demo.APIKey, poison) })
		}
	}
	wg.Wait()
	var p *client.Problem
	for n := range 9 {
		_, err := f.client(t, 0).Stream(context.Background(), poison, nil)
		if !errors.As(err, &p) {
			t.Errorf("copy %d of the crashing request: error = %v, want *client.Problem", n, err)
		}
	}
	if p.Reason != "poison" || p.Outcome != client.NotRun || p.RetryAfter <= 0 {
		t.Errorf("last copy of the crashing request: %v, want not_run, reason poison and Retry-After", p)
	}
	if n := crashes.Load(); n > 2 {
		t.Errorf("%d engines crashed, want at most 2", n)
	}
}

// watchCrashes counts crashes and restarts each crashed engine after 3 s.
func watchCrashes(f *fleet, crashes *atomic.Int64) {
	for _, e := range f.engines {
		e.onCrash = func() {
			crashes.Add(1)
			e.crash()
			time.AfterFunc(3*time.Second, func() { _ = e.server.Reopen() }) // Reopen fails only once the test has ended
		}
	}
}
