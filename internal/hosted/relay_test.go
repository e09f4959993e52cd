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
	"mulberrylug.example/mulberrylug/internal/core/watch"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// newTestRelay returns a relay with a configuration of the given version in force, which cannot
// be sent to other instances before relay.config is set.
func newTestRelay(inForce int64) *relay {
	g := forward.New(forward.Options{Name: "entry-1", DataCentre: "dc-a"})
	g.Adopt(route.NewTable(route.Config{Version: inForce}))
	g.SetCordons(boottime.Now(), cordon.NewSet(1, nil))
	g.Confirm(boottime.Now())
	r := newRelay(&server{gate: g, log: hclog.NewNullLogger()}, watch.NewTiming(0))
	r.mayBeSource, r.understandsNegativeAges = func() bool { return true }, func(string) bool { return true }
	return r
}

// A new configuration is in force shortly before it can be sent to other instances. A response at
// that time must not confirm the older version that the requester has.
func TestAResponseBeforeANewConfigurationCanBeSentConfirmsNothing(t *testing.T) {
	r := newTestRelay(4)
	for name, c := range map[string]*sharedConfig{"missing": nil, "older than the one in force": {config: &route.Config{Version: 3}}} {
		r.config = c
		if a, _, _ := r.response("requester", msg.SyncRequest{Number: 1, Config: 3}, boottime.Now()); a.ConfigAge != msg.NoAge || a.Config != nil {
			t.Errorf("response while the configuration to send is %s = %+v, want neither a confirmation nor a configuration", name, a)
		}
	}
	r.config = &sharedConfig{config: &route.Config{Version: 4}}
	a, _, updated := r.response("requester", msg.SyncRequest{Number: 2, Config: 3}, boottime.Now())
	if !updated || a.ConfigAge == msg.NoAge {
		t.Fatalf("response to a requester with version 3 = %+v, updated = %v; want a confirmation and an update", a, updated)
	}
	if c, err := a.Config.Unpack(); err != nil || c.Version != 4 {
		t.Errorf("configuration in the response = %+v, error %v; want version 4", c, err)
	}
	if a, _, updated := r.response("requester", msg.SyncRequest{Number: 3, Config: 4, Cordons: 1}, boottime.Now()); updated || a.ConfigAge == msg.NoAge || a.Config != nil {
		t.Errorf("response to a requester with version 4 = %+v, want a confirmation and no update", a)
	}
}

// A poll arrives while a new configuration takes effect. A response that confirms nothing would make its
// sender skip this instance for a while, and so must not be possible once the configuration is in force.
func TestAConfigurationCanBeSentAsSoonAsItIsInForce(t *testing.T) {
	r := newTestRelay(4)
	f := &follower{
		server: r.server, relay: r, metrics: metrics.NewMetrics(), log: hclog.NewNullLogger(), onAdopted: func(bool) {},
		freshness: &freshness{metrics: metrics.NewMetrics(), log: hclog.NewNullLogger(), bound: func() time.Duration { return 0 }},
	}
	now := boottime.Now()
	f.adopt(now, now, update{config: &route.Config{Version: 5}}, "store")
	if a, _, updated := r.response("requester", msg.SyncRequest{Number: 1, Config: 4}, boottime.Now()); !updated || a.Config == nil || a.ConfigAge == msg.NoAge {
		t.Errorf("response right after version 5 took effect = %+v, want version 5 and a confirmation", a)
	}
}

// A small machine that packed a large configuration for each of forty receivers would not respond
// for seconds. All receivers must share one packed form, and a configuration that was received
// must be passed on in the form received.
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
		r := newTestRelay(4)
		r.config = shared
		first, _, _ := r.response("requester", msg.SyncRequest{Number: 1}, boottime.Now())
		second, _, _ := r.response("requester", msg.SyncRequest{Number: 2}, boottime.Now())
		if len(first.Config) == 0 || &first.Config[0] != &second.Config[0] {
			t.Errorf("configuration %s: two receivers got different packed forms or an empty one, want one shared form", name)
		}
		if name == "received" && &first.Config[0] != &received[0] {
			t.Errorf("configuration %s: it was packed again, want the received form", name)
		}
	}
}
