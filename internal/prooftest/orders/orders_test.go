// Package orders tests over real sockets how upstreams get their orders, such as
// the model version to load.
package orders

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/apply"
	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/testkit"
	"mulberrylug.example/mulberrylug/internal/upstream"
)

// callOrder sends one order to an engine over a real connection and returns
// the events that result.
func callOrder(t *testing.T, e *engine.Engine, o core.SendOrder) []core.Event {
	t.Helper()
	srv, err := standin.Start("127.0.0.1:0", e.Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	var events []core.Event
	cl := upstream.NewClient(func(ev core.Event) { events = append(events, ev) })
	o.Upstream, o.Address, o.Timeout = "engine-1", srv.Address(), time.Second
	cl.Order(context.Background(), o)
	return events
}

// The home writes an order's row, is paused, and resumes after its lease has
// expired; a successor may have ordered another version meanwhile. The client that
// sends the order must check the order's deadline right before that, so that an
// engine that ignores fencing numbers never receives the old order.
func TestOrderSenderWakesLate(t *testing.T) {
	e := engine.New(engine.Settings{Name: "engine-1"})
	events := callOrder(t, e, core.SendOrder{Fence: 1, Version: "v1", SendBefore: time.Now().Add(-time.Millisecond)})
	if got := e.Orders(); len(got) != 0 {
		t.Errorf("engine received orders %+v after the lease had expired, want none", got)
	}
	if len(events) != 0 {
		t.Errorf("events = %+v, want none, as no order was sent", events)
	}
}

// An engine that checks fencing numbers has accepted order 5. Order 4 of a slow
// home arrives afterwards: the engine must refuse order 4, and the home must
// receive the refusal.
func TestOrderOldFenceRefused(t *testing.T) {
	e := engine.New(engine.Settings{Name: "engine-1", ChecksFencing: true})
	if !e.TakeOrder(engine.Order{Fence: 5, Kind: "version", Value: "v5"}) {
		t.Fatal("engine refused its first order, want it accepted")
	}
	events := callOrder(t, e, core.SendOrder{Fence: 4, Version: "v4", SendBefore: time.Now().Add(time.Second)})
	if len(events) != 1 || events[0] != (core.OrderResult{Upstream: "engine-1", Fence: 4, Refused: true}) {
		t.Errorf("events = %+v, want one refusal of fencing number 4", events)
	}
	if got := e.Orders(); len(got) != 1 {
		t.Errorf("accepted orders = %+v, want only order 5", got)
	}
}

// A configuration changes the model version to v2 while a caller streams. Each
// engine in turn must get no new work, finish its running generations and be
// ordered to load v2 while the others serve. No stream may fail.
func TestOrderVersionRollsWithoutCuttingStreams(t *testing.T) {
	ctx := context.Background()
	o := demo.FleetOptions{Instances: 3, Engines: 3, Services: 1}
	withVersion := func(v string) []config.File {
		text := strings.Replace(demo.Configuration(o), "{name: dispatch-7b,", "{name: dispatch-7b, version: "+v+",", 1)
		return []config.File{{Name: "demo.yaml", Data: []byte(text)}}
	}
	o.Configuration = withVersion("v1")
	f, err := demo.StartFleet(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	stop := make(chan struct{})
	failures := make(chan error)
	go stream(ctx, f, stop, failures)
	waitVersion(t, f, "v1")
	req := apply.Request{Files: withVersion("v2"), Operator: "test", ApplyID: "v2", Base: -1}
	if _, err := apply.Apply(ctx, f.Store(), req); err != nil {
		t.Fatal(err)
	}
	waitVersion(t, f, "v2")
	close(stop)
	for err := range failures {
		t.Errorf("stream during the version change: error = %v, want nil", err)
	}
	for _, e := range f.Engines {
		checkFences(t, e)
	}
}

// stream requests one generation after another until stop is closed, sends each
// error to failures, and then closes failures.
func stream(ctx context.Context, f *demo.Fleet, stop <-chan struct{}, failures chan<- error) {
	defer close(failures)
	cl := client.New(client.Options{Seeds: f.Seeds(), APIKey: demo.APIKey, Retries: 3})
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if _, err := cl.Stream(ctx, client.Completion{Model: "dispatch-7b", Prompt: fmt.Sprint("order ", n)}, nil); err != nil {
			failures <- err
		}
	}
}

func waitVersion(t *testing.T, f *demo.Fleet, want string) {
	t.Helper()
	testkit.Eventually(t, 25*time.Second, "every engine has last accepted an order for version "+want, func() bool {
		for _, e := range f.Engines {
			accepted := e.Orders()
			if len(accepted) == 0 || accepted[len(accepted)-1].Value != want {
				return false
			}
		}
		return true
	})
}

func checkFences(t *testing.T, e *demo.Engine) {
	t.Helper()
	last := int64(0)
	for _, o := range e.Orders() {
		if o.Fence <= last {
			t.Errorf("%s accepted fencing number %d after %d, want a higher number", e.Name, o.Fence, last)
		}
		last = o.Fence
	}
}
