// Package orders proves, over real sockets, how upstreams get their orders.
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
// the events that came of it.
func callOrder(t *testing.T, e *engine.Engine, o core.SendOrder) []core.Event {
	t.Helper()
	srv, err := standin.Start("127.0.0.1:0", e.Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	var events []core.Event
	caller := upstream.NewClient(func(ev core.Event) { events = append(events, ev) })
	o.Upstream, o.Address, o.Timeout = "engine-1", srv.Address(), time.Second
	caller.Order(context.Background(), o)
	return events
}

// The home writes an order's row, is paused, and wakes after its lease has
// ended; a successor may have ordered another version meanwhile. The sender
// checks its deadline right before it sends, so that the engine, which ignores
// fencing numbers, never sees the old order.
func TestOrderSenderWakesLate(t *testing.T) {
	e := engine.New(engine.Settings{Name: "engine-1"})
	events := callOrder(t, e, core.SendOrder{Fence: 1, Version: "v1", SendBefore: time.Now().Add(-time.Millisecond)})
	if got := e.Orders(); len(got) != 0 {
		t.Errorf("engine took %+v, want nothing after the lease", got)
	}
	if len(events) != 0 {
		t.Errorf("events = %+v, want none: nothing was answered", events)
	}
}

// An engine that checks fencing numbers has taken order 5. Order 4 of a home
// that was slow arrives afterwards; the engine refuses it and the home learns.
func TestOrderOldFenceRefused(t *testing.T) {
	e := engine.New(engine.Settings{Name: "engine-1", ChecksFencing: true})
	if !e.TakeOrder(engine.Order{Fence: 5, Kind: "version", Value: "v5"}) {
		t.Fatal("engine refused its first order")
	}
	events := callOrder(t, e, core.SendOrder{Fence: 4, Version: "v4", SendBefore: time.Now().Add(time.Second)})
	if len(events) != 1 || events[0] != (core.OrderResult{Upstream: "engine-1", Fence: 4, Refused: true}) {
		t.Errorf("events = %+v, want one refusal of fence 4", events)
	}
	if got := e.Orders(); len(got) != 1 {
		t.Errorf("engine took %+v, want order 5 alone", got)
	}
}

// A configuration asks for version v2 while callers stream. Each engine in
// turn gets no new work, finishes what it runs, and is ordered to load v2; the
// others serve meanwhile. The callers see whole answers.
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
		t.Errorf("a caller's stream: %v", err)
	}
	for _, e := range f.Engines {
		checkFences(t, e)
	}
}

// stream asks for answers until stop is closed and reports what failed.
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
	testkit.Eventually(t, 25*time.Second, "every engine runs "+want, func() bool {
		for _, e := range f.Engines {
			taken := e.Orders()
			if len(taken) == 0 || taken[len(taken)-1].Value != want {
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
			t.Errorf("%s took fence %d after %d", e.Name, o.Fence, last)
		}
		last = o.Fence
	}
}
