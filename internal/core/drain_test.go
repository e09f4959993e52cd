package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// Guards against a draining entry that exits before all its requests have finished.
// Two of three entries drain during generations and bookings, while entries freeze,
// calls to the service fail, and the table becomes unavailable, loses replies and
// applies writes late.
func TestPromise6PropertyExitCutsOffNothing(t *testing.T) {
	totalExits := 0
	p := gopter.NewProperties(testkit.Parameters())
	p.Property("no request is unfinished when its entry exits", prop.ForAll(func(steps []int) string {
		sim := newSimulation(3, "1000.00")
		for k, v := range steps {
			sim.randomStep(v)
			if k%3 == 0 {
				sim.generate(sim.instances[v/7%len(sim.instances)], v%2 == 0)
			}
			if k%10 == 5 {
				sim.handle(sim.instances[v/5%2], core.Drain{})
			}
			if k%10 == 9 {
				sim.advance(3 * time.Second)
			}
		}
		sim.tableDown = false
		sim.finishAll()
		totalExits += sim.exitCount
		if len(sim.cutOff) > 0 {
			return fmt.Sprintf("requests unfinished at the exit of their entry = %v, want none", sim.cutOff)
		}
		return ""
	}, gen.SliceOfN(40, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
	if totalExits == 0 {
		t.Error("no entry exited in any run, want at least one: otherwise the test shows nothing")
	}
	t.Logf("exits=%d", totalExits)
}

// finishAll completes every call and advances time until draining entries have exited.
func (sim *simulation) finishAll() {
	for range 8 {
		for len(sim.heldCalls) > 0 {
			h := sim.heldCalls[0]
			if h.dispatch != nil && h.dispatch.Engine {
				sim.heldCalls = sim.heldCalls[1:]
				sim.produce(h.owner, h.dispatch, h.dispatch.From, 3, true)
				continue
			}
			sim.resolveCall(0, callSucceeds)
		}
		sim.settleAll()
	}
	sim.advance(9 * time.Second)
}

// Guards against a draining entry that exits as soon as it is idle. Another instance
// that missed the announcement of the drain lists the entry for callers while its
// instance list lags, and callers use that entry answer for its TTL. Their
// connections would be refused. The entry must serve until then, and exit afterwards.
func TestPromise6IdleDrainingEntryServesUntilEntryAnswersExpire(t *testing.T) {
	sim := newSimulation(3, "1000.00")
	sim.finishAll() // the simulation starts with warm-up requests
	leaving := sim.instances[0]
	sim.handle(leaving, core.Drain{})
	const listLag = 5 * time.Second
	sim.advance(listLag - 100*time.Millisecond)
	if sim.exitCount != 0 {
		t.Fatal("the entry exited while callers could still hold a valid entry answer with its address, want it to serve until then")
	}
	sim.generate(leaving, true)
	sim.finishAll()
	if len(sim.cutOff) > 0 {
		t.Errorf("requests unfinished at the exit of their entry = %v, want none", sim.cutOff)
	}
	if sim.exitCount != 1 {
		t.Errorf("entries that exited = %d, want 1, the draining entry", sim.exitCount)
	}
}
