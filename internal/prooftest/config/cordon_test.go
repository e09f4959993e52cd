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

// inTwoPlaces is the demo's configuration with a second data centre, which has the second
// engine; change edits the text.
func inTwoPlaces(change ...string) []config.File {
	text := demo.Configuration(demo.FleetOptions{Instances: 3, Engines: 2, Services: 1})
	text = strings.NewReplacer(append([]string{
		"engine-2, service: assistant, data_centre: kochi-a", "engine-2, service: assistant, data_centre: split-b",
	}, change...)...).Replace(text)
	return []config.File{{Name: "demo.yaml", Data: []byte(text)}}
}

// cordonWithin is how soon a cordon must be in force everywhere.
const cordonWithin = 2 * time.Second

// stream asks for a short answer until stop is closed.
func streamUntil(f *demo.Fleet, stop chan struct{}, callers *sync.WaitGroup) {
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
				_, _ = c.Stream(context.Background(), req, nil) // what counts is the engine's record
			}
		})
	}
}

// Operators cordon a data centre by a command, under load. Two seconds later its engine must
// get nothing new, others serve on, and it gets work again once the cordon is lifted. With
// both cordoned callers are refused at once.
func TestCordonedDataCentreGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f, err := demo.StartFleet(context.Background(), demo.FleetOptions{Instances: 3, Engines: 2, Services: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	operator := f.Instances[0].OperatorAddress()
	if _, err := apply.ApplyThrough(t.Context(), operator, apply.Request{Files: inTwoPlaces("kerala-south: [kochi-a]", "kerala-south: [kochi-a, split-b]"), ApplyID: "two", Base: -1}); err != nil {
		t.Fatal(err)
	}
	waitInForce(t, f, 2)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	streamUntil(f, stop, &callers)
	cordoned, other := f.Engines[1], f.Engines[0]
	testkit.Eventually(t, patience, "both engines work", func() bool { return len(cordoned.Records()) > 5 && len(other.Records()) > 5 })
	change := func(dataCentre string, lift bool, id string) {
		t.Helper()
		if _, err := apply.CordonThrough(t.Context(), operator, apply.CordonRequest{DataCentre: dataCentre, Lift: lift, ApplyID: id}); err != nil {
			t.Fatal(err)
		}
	}
	change("split-b", false, "out")
	time.Sleep(cordonWithin)
	before, served := len(cordoned.Records()), len(other.Records())
	testkit.Eventually(t, patience, "the other engine serves on", func() bool { return len(other.Records()) > served+20 })
	if after := len(cordoned.Records()); after != before {
		t.Errorf("the cordoned engine got %d new generations later than %v", after-before, cordonWithin)
	}
	change("split-b", true, "back")
	testkit.Eventually(t, patience, "the engine works again", func() bool { return len(cordoned.Records()) > before+5 })
	change("kochi-a", false, "one")
	change("split-b", false, "both")
	testkit.Eventually(t, patience, "callers are told", func() bool {
		return reasonOf(t, f.Instances[1].CallerAddress(), demo.APIKey) == "cordoned"
	})
	close(stop)
	callers.Wait()
}

// An organisation is confined to another region than the instances stand in. Its requests must
// run on no engine beside them, though these are preferred otherwise.
func TestConfinedOrganisationStaysInItsRegion(t *testing.T) {
	t.Parallel()
	f, err := demo.StartFleet(context.Background(), demo.FleetOptions{Instances: 3, Engines: 2, Services: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	operator := f.Instances[0].OperatorAddress()
	confined := inTwoPlaces("kerala-south: [kochi-a]", "kerala-south: [kochi-a]\n    dalmatia: [split-b]",
		"    services: [assistant, order-desk]\n", "    services: [assistant]\n    allowed_regions: [dalmatia]\n")
	if _, err := apply.ApplyThrough(t.Context(), operator, apply.Request{Files: confined, ApplyID: "confined", Base: -1}); err != nil {
		t.Fatal(err)
	}
	waitInForce(t, f, 2)
	before := len(f.Engines[0].Records())
	stop := make(chan struct{})
	var callers sync.WaitGroup
	streamUntil(f, stop, &callers)
	testkit.Eventually(t, patience, "the engine in its region works", func() bool { return len(f.Engines[1].Records()) > 20 })
	close(stop)
	callers.Wait()
	if after := len(f.Engines[0].Records()); after != before {
		t.Errorf("%d generations ran in another region", after-before)
	}
}
