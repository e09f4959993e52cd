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

// randomEngineStep performs the operation on generations that the number v encodes:
// a new request, the passing of time, the end of a caller's connection, progress at
// the engine, or a failure. It adds the requests and attempts that reached the engine
// to reached.
func (sim *simulation) randomEngineStep(v int, reached map[string]bool) {
	const kinds = 12
	arg := v / kinds
	n := sim.instances[0]
	if kind := v % kinds; kind < 3 || len(sim.heldCalls) == 0 {
		sim.generate(n, arg%2 == 0)
		return
	} else if kind < 5 {
		sim.advance(time.Duration(arg%60) * simTick)
		return
	}
	index := arg % len(sim.heldCalls)
	d := sim.heldCalls[index].dispatch
	if d == nil {
		sim.resolveCall(index, callSucceeds)
		return
	}
	switch v % kinds {
	case 5:
		sim.handle(n, core.CallerDisconnected{ID: d.Request})
		return
	case 6:
		reached[d.Request], reached[d.Attempt] = true, true
		sim.produce(n, d, d.From, d.From+arg%4, arg%3 > 0)
		return
	}
	sim.takeDispatch(d.Request)
	sent := arg/5%2 == 0 || reached[d.Attempt] && !d.Resume
	if sent {
		reached[d.Request], reached[d.Attempt] = true, true
	}
	sim.handle(n, core.UpstreamFailed{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Sent: sent, NotFound: arg/10%2 == 0, Step: "send", Err: "x"})
}

// Guards against the outcome not_run for a request that reached an engine. Generations
// fail before and after they reach an engine, are retried, are resumed on new
// connections, exceed the budget during a retry, and lose their callers.
func TestPromise3PropertyNotRunIsTrue(t *testing.T) {
	p := gopter.NewProperties(testkit.Parameters())
	p.Property("a request that reached an engine never ends with the outcome not_run", prop.ForAll(func(steps []int) string {
		sim := newSimulation(1, "0.60")
		sim.heldCalls = nil
		sim.warmUpEngines()
		reached := map[string]bool{}
		for _, v := range steps {
			sim.randomEngineStep(v, reached)
		}
		for range 15 { // long enough for requests that still wait for an engine to be refused
			sim.now = sim.now.Add(2 * time.Second)
			sim.advance(simTick)
		}
		for id, ends := range sim.finishes {
			if reached[id] && ends[0].Outcome == core.NotRun {
				return fmt.Sprintf("%s reached an engine, but ended with the outcome not_run: %+v", id, ends[0])
			}
		}
		return ""
	}, gen.SliceOfN(60, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
}
