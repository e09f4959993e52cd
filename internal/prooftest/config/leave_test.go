package config_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin/platform"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// An engine begins to leave while callers stream without a pause. The instance
// list lags and still reports the engine as live, and an instance that places work
// freezes. From three seconds later on, the leaving engine must get no new
// generations, and the other engine must serve the callers.
func TestPromise5LeavingEngineUnderLoad(t *testing.T) {
	t.Parallel()
	f, err := demo.StartFleet(context.Background(), demo.FleetOptions{Instances: 3, Engines: 2, Services: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 6 {
		c := client.New(client.Options{Seeds: f.Seeds(), APIKey: demo.APIKey, Retries: 3})
		callers.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				req := client.Completion{Model: "dispatch-7b", Prompt: fmt.Sprintf("%d asks %d", n, k), MaxTokens: 50}
				_, _ = c.Stream(context.Background(), req, nil) // the test checks the engine's records, not the result
			}
		})
	}
	leaving, other := f.Engines[0], f.Engines[1]
	testkit.Eventually(t, waitTimeout, "the engine that is to leave runs generations", func() bool { return len(leaving.Records()) > 5 })
	const lag = 3 * time.Second
	time.Sleep(lag + time.Second) // the list as it was 3 s ago must already contain every instance and engine
	f.Platform.SetFaults(platform.Faults{ListLag: lag})
	leaving.SetLeaving(true)
	go f.Instances[0].Freeze(1500 * time.Millisecond)
	time.Sleep(3 * time.Second) // a leaving engine may get new work for at most 3 s
	before, otherBefore := len(leaving.Records()), len(other.Records())
	testkit.Eventually(t, waitTimeout, "the other engine continues to get work", func() bool { return len(other.Records()) > otherBefore+20 })
	if after := len(leaving.Records()); after != before {
		t.Errorf("the leaving engine got %d new generations more than 3s after it began to leave, want 0", after-before)
	}
	close(stop)
	callers.Wait()
}
