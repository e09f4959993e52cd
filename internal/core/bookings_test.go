package core_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// randomStep performs the operation that the number v encodes: a booking, a fault of an
// instance or of the table, the passing of time, or the result of a held call.
func (sim *simulation) randomStep(v int) {
	const kinds = 16
	arg := v / kinds
	n := sim.instances[arg%len(sim.instances)]
	switch v % kinds {
	case 0, 1, 2:
		sim.book(n, fmt.Sprint("key-", arg/3%2), fmt.Sprint("body-", arg/6%8/7))
	case 3:
		n.frozen = true
	case 4:
		sim.unfreeze(n)
	case 5:
		if arg%5 == 0 && n != sim.instances[0] {
			sim.kill(n)
		}
	case 6:
		sim.advance(time.Duration(arg%40) * 50 * time.Millisecond)
	case 7:
		if len(sim.lateTxs) > 0 {
			sim.table.Apply(sim.lateTxs[0])
			sim.lateTxs = sim.lateTxs[1:]
		}
	case 8:
		sim.tableDown = arg%3 == 0
	default:
		if len(sim.heldCalls) > 0 {
			result := arg / 7 % (2 * callResults)
			if result >= callResults {
				result = callSucceeds
			}
			sim.resolveCall(arg%len(sim.heldCalls), result)
		}
	}
}

// checkPromises returns a description of a promise that the history violates, or "".
func (sim *simulation) checkPromises() string {
	for _, key := range []string{"key-0", "key-1"} {
		if n := sim.countRuns(key); n > 1 {
			return fmt.Sprintf("promise 4: the call with key %s ran %d times, want at most 1", key, n)
		}
	}
	for id, ends := range sim.finishes {
		if len(ends) > 1 {
			return fmt.Sprintf("request %s ended %d times, want 1", id, len(ends))
		}
		if violation := sim.checkFinish(id, ends[0]); violation != "" {
			return violation
		}
	}
	return ""
}

func (sim *simulation) checkFinish(id string, f core.Finish) string {
	req := sim.requests[id]
	for _, r := range sim.executions {
		switch {
		case f.Outcome == core.NotRun && r.request == id:
			return fmt.Sprintf("promise 3: request %s ended as not_run (%s) but its call ran", id, f.Reason)
		case f.Outcome == core.NotRun && r.key == req.IdempotencyKey && r.body == string(req.Body) &&
			f.Reason != core.ReasonStore && r.at.Before(sim.submittedAt[id]):
			return fmt.Sprintf("promise 3: request %s ended as not_run (%s) but an earlier call with its key and body had run", id, f.Reason)
		}
	}
	if f.Outcome == core.Done && (sim.countRuns(req.IdempotencyKey) != 1 || string(f.Body) != "ran "+string(req.Body)) {
		return fmt.Sprintf("promise 4: request %s got the response %q for the body %q, want the response to the only call with its key", id, f.Body, req.Body)
	}
	return ""
}

// Guards the promises on bookings against faults at any point. Callers of three entries use two
// keys with two bodies each. Meanwhile entries freeze, resume and crash; the table becomes
// unavailable, loses calls and replies, and applies writes late; calls to the service lose their
// replies or are never sent. A key must run at most once, a request with the outcome not_run must
// not have run, each request must end at most once, and a request that is done must have the answer
// of the only run. Finally, every request at a live entry must have ended.
func TestPromise4PropertyAtMostOnce(t *testing.T) {
	p := gopter.NewProperties(testkit.Parameters())
	p.Property("a booking runs at most once, and one with the outcome not_run has not run", prop.ForAll(func(steps []int) string {
		sim := newSimulation(3, "1000.00")
		for _, v := range steps {
			sim.randomStep(v)
			if violation := sim.checkPromises(); violation != "" {
				return violation
			}
		}
		sim.tableDown = false
		sim.settleAll()
		for id := range sim.submittedAt {
			if n := sim.instanceOf(id); !n.dead && len(sim.finishes[id]) != 1 {
				return fmt.Sprintf("request %s ended never or several times, want once: %s", id, n.inst.Explain(id))
			}
		}
		return sim.checkPromises()
	}, gen.SliceOfN(60, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
}

// Guards against nondeterminism in the core. Two simulations with the same steps must
// produce the same actions in the same order, byte for byte. Otherwise a failing
// sequence of events could not be replayed.
func TestSameEventsGiveSameActions(t *testing.T) {
	p := gopter.NewProperties(testkit.Parameters())
	p.Property("the same events give the same actions", prop.ForAll(func(steps []int) bool {
		var traces [2]bytes.Buffer
		for n := range traces {
			sim := newSimulation(3, "1000.00")
			sim.trace = &traces[n]
			for k, v := range steps {
				sim.randomStep(v)
				if k%4 == 0 {
					sim.generate(sim.instances[v%len(sim.instances)], true)
				}
			}
			sim.tableDown = false
			sim.settleAll()
		}
		return traces[0].Len() > 0 && bytes.Equal(traces[0].Bytes(), traces[1].Bytes())
	}, gen.SliceOfN(30, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
}

func (sim *simulation) instanceOf(id string) *simInstance {
	for _, n := range sim.instances {
		if len(id) > len(n.name) && id[:len(n.name)+1] == n.name+":" {
			return n
		}
	}
	return nil
}

// Guards against a lost claim, release or record that blocks a key for good. The faults are
// those of TestPromise4PropertyAtMostOnce, except that no entry crashes. After all faults
// have ended, a repeat of a key must get the recorded answer if the key's call was answered,
// must run if the key never ran, and may be unknown only if the answer of the call was lost.
func TestPromise4PropertyKeysAreFreedAndRecorded(t *testing.T) {
	params := testkit.Parameters()
	params.MaxShrinkCount = 200 // each sequence of steps takes about a minute of virtual time
	p := gopter.NewProperties(params)
	p.Property("a repeat of a key gets the outcome of the key", prop.ForAll(func(steps []int) string {
		sim := newSimulation(3, "1000.00")
		for _, v := range steps {
			if v%16 != 5 {
				sim.randomStep(v)
			}
		}
		sim.tableDown = false
		sim.settleAll()
		for _, key := range []string{"key-0", "key-1"} {
			if violation := sim.checkRepeat(key); violation != "" {
				return violation
			}
		}
		return sim.checkPromises()
	}, gen.SliceOfN(60, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
}

// awaitTimedOut reports whether the entry stopped waiting for the service on a call with the key.
func (sim *simulation) awaitTimedOut(key string) bool {
	for id, ends := range sim.finishes {
		if sim.requests[id].IdempotencyKey == key && ends[0].Outcome == core.Unknown && ends[0].Step == "await" && ends[0].Peer == "desk-1" {
			return true
		}
	}
	return false
}

// checkRepeat repeats a key and returns a description of a wrong outcome, or "".
func (sim *simulation) checkRepeat(key string) string {
	sim.warmUp()
	body, answered := "body-0", false
	before := sim.countRuns(key)
	for _, r := range sim.executions {
		if r.key != key {
			continue
		}
		body = r.body
		for id, ends := range sim.finishes {
			answered = answered || id == r.request && ends[0].Outcome == core.Done
		}
	}
	id := sim.book(sim.instances[0], key, body)
	sim.settleAll()
	if len(sim.finishes[id]) != 1 {
		return fmt.Sprintf("the repeat of the call with key %s did not end exactly once", key)
	}
	switch f := sim.finishes[id][0]; {
	case before == 0 && sim.awaitTimedOut(key):
		// The entry's wait for a dispatched call timed out, and it cannot know that the call was
		// never sent.
	case before == 0 && (f.Outcome != core.Done || sim.countRuns(key) != 1):
		return fmt.Sprintf("the call with key %s had never run, but its repeat ended as %s (%s), want done by a single run", key, f.Outcome, f.Reason)
	case before == 1 && answered && f.Outcome != core.Done:
		return fmt.Sprintf("the call with key %s got a response, but its repeat ended as %s (%s), want done", key, f.Outcome, f.Reason)
	case before == 1 && !answered && f.Outcome != core.Unknown:
		return fmt.Sprintf("the response to the call with key %s was lost, but its repeat ended as %s (%s), want unknown", key, f.Outcome, f.Reason)
	}
	return ""
}
