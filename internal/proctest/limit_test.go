package proctest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin/service"
)

// A plain service states a rate limit while three instances send bookings to it. Their grants
// together must keep to the limit, and bookings beyond it are not run.
func TestRateLimitOfAServiceHoldsForAllInstancesTogether(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	var seeds []string
	for _, p := range d.instances {
		seeds = append(seeds, p.value(t, "caller_address"))
	}
	cl := client.New(client.Options{Seeds: seeds, APIKey: demo.APIKey})
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	book := func(perSecond int, during time.Duration, name string) {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for k, end := 0, time.Now().Add(during); time.Now().Before(end); k++ {
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
				defer cancel()
				_, _ = cl.Do(ctx, client.Call{ // bookings beyond the limit fail
					Service: "order-desk", Path: "/refills", Body: []byte(`{"cylinders":1}`), Key: fmt.Sprintf("%s-%d", name, k), NotRepeatable: true,
				})
			})
			<-tick.C
		}
	}
	const limit = 5.0
	book(15, 2*time.Second, "before")
	limitedAt := time.Now()
	d.setServiceFaults(t, service.Faults{RateLimit: limit})
	book(30, 9*time.Second, "limited")
	cancel()
	callers.Wait()
	var calls []service.Call
	if err := getJSON("http://"+d.service.value(t, "address")+"/calls", &calls); err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(calls, func(a, b service.Call) int { return a.At.Compare(b.At) })
	late := 0
	for k, c := range calls {
		if c.At.Before(limitedAt.Add(limitGrace)) {
			continue
		}
		late++
		first, _ := slices.BinarySearchFunc(calls, c.At.Add(-limitWindow), func(c service.Call, at time.Time) int { return c.At.Compare(at) })
		if n := k + 1 - first; float64(n) > limitFactor*limit*limitWindow.Seconds()+limitSlack {
			t.Fatalf("the service executed %d bookings in 4 s, %v after it first stated a limit of %v a second", n, c.At.Sub(limitedAt), limit)
		}
	}
	if late < 15 {
		t.Errorf("the service executed %d bookings in the last 6 s, want at least half of what its limit allows", late)
	}
}

// setServiceFaults sets the faults that the booking service injects.
func (d *deployment) setServiceFaults(t *testing.T, f service.Faults) {
	t.Helper()
	raw, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+d.service.value(t, "address")+"/faults", "application/json", bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}
