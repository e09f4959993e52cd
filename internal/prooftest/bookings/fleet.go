// Package bookings tests over real sockets that calls which may not be repeated
// run at most once, that the outcome "not run" is true, and that no organisation
// exceeds its spend limit.
package bookings

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin/platform"
	"mulberrylug.example/mulberrylug/internal/standin/service"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// waitTimeout limits each wait for a condition.
const waitTimeout = 15 * time.Second

// startFleet starts instances, one engine and one booking service. spend replaces
// the demo's spend limit unless it is empty. startFleet returns once a booking is
// done at every instance, so that every home is ready.
func startFleet(t *testing.T, instances int, spend string) *demo.Fleet {
	t.Helper()
	t.Parallel()
	o := demo.FleetOptions{Instances: instances, Engines: 1, Services: 1}
	if spend != "" {
		yaml := strings.Replace(demo.Configuration(o), "spend: 1000.00", "spend: "+spend, 1)
		o.Configuration = []config.File{{Name: "demo.yaml", Data: []byte(yaml)}}
	}
	f, err := demo.StartFleet(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	testkit.Eventually(t, waitTimeout, "a booking is done at every instance", func() bool {
		for _, i := range f.Instances {
			if post(t, i.CallerAddress(), "warm", "{}").outcome != "done" {
				return false
			}
		}
		return true
	})
	return f
}

// response is the response to a caller's booking. Its outcome is "lost" if the connection
// was broken off before the response was complete.
type response struct {
	outcome    string
	reason     string
	body       string
	status     int
	retryAfter string
}

func post(t *testing.T, address, key, body string) response {
	t.Helper()
	return call(t, http.MethodPost, address, key, body)
}

// call sends one booking to one entry on a new connection.
func call(t *testing.T, method, address, key, body string) response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+"/v1/services/order-desk/refills", bytes.NewReader([]byte(body)))
	if err != nil {
		t.Error(err)
		return response{}
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+demo.APIKey)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Not-Repeatable", "true")
	c := &http.Client{Timeout: 2 * waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return response{outcome: "lost", reason: err.Error()}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{outcome: "lost", reason: err.Error()}
	}
	var p struct{ Reason string }
	_ = json.Unmarshal(raw, &p) // a service's own response has no reason
	return response{
		outcome: resp.Header.Get("X-Outcome"), reason: p.Reason, body: string(raw),
		status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"),
	}
}

func runCount(f *demo.Fleet, key string) (n int) {
	for _, c := range f.Services[0].Calls() {
		if c.Key == key {
			n++
		}
	}
	return n
}

func wantRuns(t *testing.T, f *demo.Fleet, key string, want int) {
	t.Helper()
	if got := runCount(f, key); got != want {
		t.Errorf("service ran key %s %d times, want %d", key, got, want)
	}
}

func wantResponse(t *testing.T, caller string, got response, outcome, reason string) {
	t.Helper()
	if got.outcome != outcome || got.reason != reason {
		t.Errorf("%s got %+v, want outcome %s, reason %s", caller, got, outcome, reason)
	}
}

// waitUnresponsive waits until an instance does not respond to a status request.
func waitUnresponsive(i *demo.Instance) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := i.Status(ctx)
		cancel()
		if err != nil {
			return
		}
	}
}

func clientOf(addresses ...string) *client.Client {
	return client.New(client.Options{Seeds: addresses, APIKey: demo.APIKey, Retries: 10})
}

func runConcurrently(fs ...func()) {
	var wg sync.WaitGroup
	for _, f := range fs {
		wg.Go(f)
	}
	wg.Wait()
}

type (
	platformFaults = platform.Faults
	serviceFaults  = service.Faults
)
