package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

func relayWith(inForce int64) *relay {
	g := forward.New(forward.Options{Name: "entry-1", DataCentre: "dc-a"})
	g.Adopt(route.NewTable(route.Config{Version: inForce}))
	g.SetCordons(boottime.Now(), cordon.NewSet(1, nil))
	g.Confirm(boottime.Now())
	return &relay{
		server: &server{gate: g, log: hclog.NewNullLogger()}, hold: time.Second,
		relays: func() bool { return true }, waiting: map[string]waitingAsk{},
	}
}

// A version is in force and not yet ready to be passed on. An answer at that moment must not
// confirm the version that the requester has.
func TestAnAnswerBetweenTwoVersionsConfirmsNothing(t *testing.T) {
	r := relayWith(4)
	for name, c := range map[string]*sharedConfig{"none": nil, "older": {config: &route.Config{Version: 3}}} {
		r.config = c
		if a, _ := r.answer(msg.SyncAsk{Number: 1, Config: 3}); a.ConfigAge >= 0 || a.Config != nil {
			t.Errorf("%s: answer %+v confirms a version that is out of force", name, a)
		}
	}
	r.config = &sharedConfig{config: &route.Config{Version: 4}}
	a, updated := r.answer(msg.SyncAsk{Number: 2, Config: 3})
	if !updated || a.ConfigAge < 0 {
		t.Fatalf("answer %+v, updated %v", a, updated)
	}
	if c, err := a.Config.Unpack(); err != nil || c.Version != 4 {
		t.Errorf("%+v, %v", c, err)
	}
	if a, updated := r.answer(msg.SyncAsk{Number: 3, Config: 4, Cordons: 1}); updated || a.ConfigAge < 0 || a.Config != nil {
		t.Errorf("answer %+v to one that has the version", a)
	}
}

// A small machine that packs a large configuration again for each of forty receivers answers
// nobody for seconds: all share one form, and one that was received is passed on as it is.
func TestAConfigurationIsPackedOnce(t *testing.T) {
	c := &route.Config{Version: 4}
	for k := range 500 {
		c.Routes = append(c.Routes, route.Route{Name: fmt.Sprint("r-", k), Host: "h", Prefix: fmt.Sprint("/", k, "/")})
	}
	received, err := msg.PackConfig(c)
	if err != nil {
		t.Fatal(err)
	}
	for name, shared := range map[string]*sharedConfig{"read from the store": {config: c}, "received": {config: c, packed: received}} {
		r := relayWith(4)
		r.config = shared
		first, _ := r.answer(msg.SyncAsk{Number: 1})
		second, _ := r.answer(msg.SyncAsk{Number: 2})
		if len(first.Config) == 0 || &first.Config[0] != &second.Config[0] {
			t.Errorf("%s: two receivers get two forms", name)
		}
		if name == "received" && &first.Config[0] != &received[0] {
			t.Errorf("%s: it was packed again", name)
		}
	}
}
