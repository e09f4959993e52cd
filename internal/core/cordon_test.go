package core_test

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// An entry hears of a cordon before the home of the pool does, which grants an engine there.
// The entry must give the grant back; once the home knows, too, the caller is told at once.
func TestAGrantForACordonedUpstreamIsGivenBack(t *testing.T) {
	foreign := 0
	for k := range 2 {
		w := newBookWorld(2, "1.00")
		w.warmEngines()
		entry, other := w.nodes[k], w.nodes[1-k]
		told := msg.ConfigTold{Number: 2, Hash: w.hash, Cordoned: []string{"kochi-a"}}
		w.give(entry, core.PeerMessage{From: other.name, Msg: told})
		if !entry.inst.Cordons().Has("kochi-a") {
			t.Fatal("the entry does not know of the cordon")
		}
		id := w.generate(entry, true)
		w.advance(worldTick)
		if d := w.take(id); d != nil {
			t.Errorf("dispatched to %s, which is cordoned", d.Upstream)
		}
		if !other.inst.Cordons().Has("kochi-a") {
			foreign++
		}
		w.give(other, core.PeerMessage{From: entry.name, Msg: told})
		w.advance(time.Second)
		if f := w.end(id); f.Outcome != core.NotRun || f.Reason != "cordoned" || f.RetryAfter == 0 {
			t.Errorf("ended as %+v, want refused as cordoned with a time to come back", f)
		}
	}
	if foreign == 0 {
		t.Error("the other instance knew at once each time: the test shows nothing")
	}
}
