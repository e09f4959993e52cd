package config_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/apply"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// twoDataCentres returns the demo's configuration with engine-2 in a second data centre.
// change holds further pairs of old and new text for strings.NewReplacer.
func twoDataCentres(change ...string) []config.File {
	text := demo.Configuration(demo.FleetOptions{Instances: 3, Engines: 2, Services: 1})
	text = strings.NewReplacer(append([]string{
		"engine-2, service: assistant, data_centre: kochi-a", "engine-2, service: assistant, data_centre: split-b",
	}, change...)...).Replace(text)
	return []config.File{{Name: "demo.yaml", Data: []byte(text)}}
}

// maxCordonDelay is the maximum time until a cordon is in force on every instance.
const maxCordonDelay = 2 * time.Second

// startStreams starts six callers that each stream one short generation after another
// until stop is closed.
func startStreams(f *demo.Fleet, stop chan struct{}, callers *sync.WaitGroup) {
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
}

// An operator cordons a data centre by a command, under load. From two seconds later on, the engine
// of that data centre must get no new generation while the other engine continues to serve, and it
// must get work again once the cordon is lifted. With both data centres cordoned, callers must be
// refused at once.
func TestCordonedDataCentreGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f, err := demo.StartFleet(context.Background(), demo.FleetOptions{Instances: 3, Engines: 2, Services: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	operator := f.Instances[0].OperatorAddress()
	if _, err := apply.ApplyThrough(t.Context(), operator, apply.Request{Files: twoDataCentres("kerala-south: [kochi-a]", "kerala-south: [kochi-a, split-b]"), ApplyID: "two", Base: -1}); err != nil {
		t.Fatal(err)
	}
	waitInForce(t, f, 2)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	startStreams(f, stop, &callers)
	cordoned, other := f.Engines[1], f.Engines[0]
	testkit.Eventually(t, waitTimeout, "both engines run generations", func() bool { return len(cordoned.Records()) > 5 && len(other.Records()) > 5 })
	change := func(dataCentre string, lift bool, id string) {
		t.Helper()
		if _, err := apply.CordonThrough(t.Context(), operator, apply.CordonRequest{DataCentre: dataCentre, Lift: lift, ApplyID: id}); err != nil {
			t.Fatal(err)
		}
	}
	change("split-b", false, "out")
	time.Sleep(maxCordonDelay)
	before, otherBefore := len(cordoned.Records()), len(other.Records())
	testkit.Eventually(t, waitTimeout, "the engine that is not cordoned continues to get work", func() bool { return len(other.Records()) > otherBefore+20 })
	if after := len(cordoned.Records()); after != before {
		t.Errorf("the cordoned engine got %d new generations more than %v after the cordon, want 0", after-before, maxCordonDelay)
	}
	change("split-b", true, "back")
	testkit.Eventually(t, waitTimeout, "the engine gets work again after its cordon is lifted", func() bool { return len(cordoned.Records()) > before+5 })
	change("kochi-a", false, "one")
	change("split-b", false, "both")
	testkit.Eventually(t, waitTimeout, "callers are refused with reason cordoned", func() bool {
		return refusalReason(t, f.Instances[1].CallerAddress(), demo.APIKey) == "cordoned"
	})
	close(stop)
	callers.Wait()
}

// An organisation is restricted to a region in which there is no instance. Its requests must not
// run on an engine in the instances' own data centre, although that engine would otherwise be
// preferred.
func TestRestrictedOrganisationStaysInItsRegion(t *testing.T) {
	t.Parallel()
	f, err := demo.StartFleet(context.Background(), demo.FleetOptions{Instances: 3, Engines: 2, Services: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	operator := f.Instances[0].OperatorAddress()
	restricted := twoDataCentres("kerala-south: [kochi-a]", "kerala-south: [kochi-a]\n    dalmatia: [split-b]",
		"    services: [assistant, order-desk]\n", "    services: [assistant]\n    allowed_regions: [dalmatia]\n")
	if _, err := apply.ApplyThrough(t.Context(), operator, apply.Request{Files: restricted, ApplyID: "restricted", Base: -1}); err != nil {
		t.Fatal(err)
	}
	waitInForce(t, f, 2)
	before := len(f.Engines[0].Records())
	stop := make(chan struct{})
	var callers sync.WaitGroup
	startStreams(f, stop, &callers)
	testkit.Eventually(t, waitTimeout, "the engine in the allowed region runs generations", func() bool { return len(f.Engines[1].Records()) > 20 })
	close(stop)
	callers.Wait()
	if after := len(f.Engines[0].Records()); after != before {
		t.Errorf("%d generations ran outside the allowed region, want 0", after-before)
	}
}
