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

// step does one thing to the world; which, follows from the number.
func (w *bookWorld) step(v int) {
	const kinds = 16
	arg := v / kinds
	n := w.nodes[arg%len(w.nodes)]
	switch v % kinds {
	case 0, 1, 2:
		w.book(n, fmt.Sprint("key-", arg/3%2), fmt.Sprint("body-", arg/6%8/7))
	case 3:
		n.frozen = true
	case 4:
		w.wake(n)
	case 5:
		if arg%5 == 0 && n != w.nodes[0] {
			w.kill(n)
		}
	case 6:
		w.advance(time.Duration(arg%40) * 50 * time.Millisecond)
	case 7:
		if len(w.late) > 0 {
			w.table.Apply(w.late[0])
			w.late = w.late[1:]
		}
	case 8:
		w.down = arg%3 == 0
	default:
		if len(w.held) > 0 {
			way := arg / 7 % (2 * ways)
			if way >= ways {
				way = wayGood
			}
			w.decide(arg%len(w.held), way)
		}
	}
}

// check returns what a promise says against the history, or "".
func (w *bookWorld) check() string {
	for _, key := range []string{"key-0", "key-1"} {
		if n := w.runsOf(key); n > 1 {
			return fmt.Sprintf("promise 4: %s ran %d times", key, n)
		}
	}
	for id, ends := range w.finishes {
		if len(ends) > 1 {
			return fmt.Sprintf("%s ended %d times", id, len(ends))
		}
		if s := w.checkEnd(id, ends[0]); s != "" {
			return s
		}
	}
	return ""
}

func (w *bookWorld) checkEnd(id string, f core.Finish) string {
	req := w.requests[id]
	for _, r := range w.ran {
		switch {
		case f.Outcome == core.NotRun && r.request == id:
			return fmt.Sprintf("promise 3: %s was told not_run (%s) but ran", id, f.Reason)
		case f.Outcome == core.NotRun && r.key == req.IdempotencyKey && r.body == string(req.Body) &&
			f.Reason != core.ReasonStore && r.at.Before(w.asked[id]):
			return fmt.Sprintf("promise 3: %s was told not_run (%s) but its key had run before", id, f.Reason)
		}
	}
	if f.Outcome == core.Done && (w.runsOf(req.IdempotencyKey) != 1 || string(f.Body) != "ran "+string(req.Body)) {
		return fmt.Sprintf("promise 4: %s got %q for %q", id, f.Body, req.Body)
	}
	return ""
}

// The callers of three entries use two keys, with two bodies each. Meanwhile
// entries freeze, wake and die, the table goes down, loses answers and calls
// and lets writes land late, and calls of the service lose their answers or
// never leave. A key runs at most once, "not run" is true, each request ends
// at most once, and what "done" carries is the answer of the one run. At the
// end every request at a living entry has ended.
func TestPromise4PropertyAtMostOnce(t *testing.T) {
	p := gopter.NewProperties(testkit.Parameters())
	p.Property("a booking runs at most once and not_run is true", prop.ForAll(func(steps []int) string {
		w := newBookWorld(3, "1000.00")
		for _, v := range steps {
			w.step(v)
			if s := w.check(); s != "" {
				return s
			}
		}
		w.down = false
		w.settleAll()
		for id := range w.asked {
			if n := w.nodeOf(id); !n.dead && len(w.finishes[id]) != 1 {
				return fmt.Sprintf("%s has not ended: %s", id, n.inst.Explain(id))
			}
		}
		return w.check()
	}, gen.SliceOfN(60, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
}

// The core is driven by somebody else's loop. Two worlds that take the same steps
// must see the same actions in the same order, to the last byte: else a failing
// order could not be replayed.
func TestSameEventsGiveSameActions(t *testing.T) {
	p := gopter.NewProperties(testkit.Parameters())
	p.Property("same actions", prop.ForAll(func(steps []int) bool {
		var traces [2]bytes.Buffer
		for n := range traces {
			w := newBookWorld(3, "1000.00")
			w.trace = &traces[n]
			for k, v := range steps {
				w.step(v)
				if k%4 == 0 {
					w.generate(w.nodes[v%len(w.nodes)], true)
				}
			}
			w.down = false
			w.settleAll()
		}
		return traces[0].Len() > 0 && bytes.Equal(traces[0].Bytes(), traces[1].Bytes())
	}, gen.SliceOfN(30, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
}

func (w *bookWorld) nodeOf(id string) *node {
	for _, n := range w.nodes {
		if len(id) > len(n.name) && id[:len(n.name)+1] == n.name+":" {
			return n
		}
	}
	return nil
}

// As above, but no entry dies. Once all is well again, a repeat of a key gets
// the recorded answer if the key's run was answered, runs now if the key never
// ran, and is unknown only if the answer of the run was lost: no lost claim,
// release or record keeps a key.
func TestPromise4PropertyKeysAreFreedAndRecorded(t *testing.T) {
	params := testkit.Parameters()
	params.MaxShrinkCount = 200 // each order lasts a virtual minute
	p := gopter.NewProperties(params)
	p.Property("a key settles", prop.ForAll(func(steps []int) string {
		w := newBookWorld(3, "1000.00")
		for _, v := range steps {
			if v%16 != 5 {
				w.step(v)
			}
		}
		w.down = false
		w.settleAll()
		for _, key := range []string{"key-0", "key-1"} {
			if s := w.checkRepeat(key); s != "" {
				return s
			}
		}
		return w.check()
	}, gen.SliceOfN(60, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
}

func (w *bookWorld) timedOut(key string) bool {
	for id, ends := range w.finishes {
		if w.requests[id].IdempotencyKey == key && ends[0].Outcome == core.Unknown && ends[0].Step == "await" && ends[0].Peer == "desk-1" {
			return true
		}
	}
	return false
}

func (w *bookWorld) checkRepeat(key string) string {
	w.warm()
	body, answered := "body-0", false
	before := w.runsOf(key)
	for _, r := range w.ran {
		if r.key != key {
			continue
		}
		body = r.body
		for id, ends := range w.finishes {
			answered = answered || id == r.request && ends[0].Outcome == core.Done
		}
	}
	id := w.book(w.nodes[0], key, body)
	w.settleAll()
	if len(w.finishes[id]) != 1 {
		return fmt.Sprintf("repeat of %s did not end", key)
	}
	switch f := w.finishes[id][0]; {
	case before == 0 && w.timedOut(key):
		// The entry gave a dispatched call up: it can't know that it never left.
	case before == 0 && (f.Outcome != core.Done || w.runsOf(key) != 1):
		return fmt.Sprintf("%s never ran, but its repeat got %s (%s)", key, f.Outcome, f.Reason)
	case before == 1 && answered && f.Outcome != core.Done:
		return fmt.Sprintf("%s was answered, but its repeat got %s (%s)", key, f.Outcome, f.Reason)
	case before == 1 && !answered && f.Outcome != core.Unknown:
		return fmt.Sprintf("%s lost its answer, but its repeat got %s (%s)", key, f.Outcome, f.Reason)
	}
	return ""
}
