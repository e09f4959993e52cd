package core_test

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// Guards against dispatching to a cordoned upstream. The entry receives the cordon before the
// pool's home does, so the home still grants an upstream in the cordoned data centre. The entry
// must return the grant, and refuse the request as soon as the home has the cordon, too.
func TestGrantForCordonedUpstreamIsReturned(t *testing.T) {
	otherWithoutCordon := 0
	for k := range 2 {
		sim := newSimulation(2, "1.00")
		sim.warmUpEngines()
		entry, other := sim.instances[k], sim.instances[1-k]
		update := msg.ConfigVersion{Number: 2, Hash: sim.hash, Cordoned: []string{"kochi-a"}}
		sim.handle(entry, core.PeerMessage{From: other.name, Msg: update})
		if !entry.inst.Cordons().Has("kochi-a") {
			t.Fatal("the entry has not applied the cordon that it received, want it applied")
		}
		id := sim.generate(entry, true)
		sim.advance(simTick)
		if d := sim.takeDispatch(id); d != nil {
			t.Errorf("request dispatched to %s in a cordoned data centre, want no dispatch", d.Upstream)
		}
		if !other.inst.Cordons().Has("kochi-a") {
			otherWithoutCordon++
		}
		sim.handle(other, core.PeerMessage{From: entry.name, Msg: update})
		sim.advance(time.Second)
		if f := sim.finishOf(id); f.Outcome != core.NotRun || f.Reason != "cordoned" || f.RetryAfter == 0 {
			t.Errorf("finish of the request for the cordoned data centre = %+v, want outcome not_run, reason cordoned and a Retry-After", f)
		}
	}
	if otherWithoutCordon == 0 {
		t.Error("the other instance had the cordon right after the request in both runs, want at least one run without it: otherwise the test shows nothing")
	}
}
