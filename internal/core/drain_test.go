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

// Two of three entries drain while callers stream and book through them, the
// table goes down, loses answers and lets writes land late, entries freeze, and
// calls of the service break. An entry ends only when each of its requests has
// its answer: an exit before that would cut it off.
func TestPromise6PropertyExitCutsOffNothing(t *testing.T) {
	exits := 0
	p := gopter.NewProperties(testkit.Parameters())
	p.Property("an exit cuts off nothing", prop.ForAll(func(steps []int) string {
		w := newBookWorld(3, "1000.00")
		for k, v := range steps {
			w.step(v)
			if k%3 == 0 {
				w.generate(w.nodes[v/7%len(w.nodes)], v%2 == 0)
			}
			if k%10 == 5 {
				w.give(w.nodes[v/5%2], core.Drain{})
			}
			if k%10 == 9 {
				w.advance(3 * time.Second)
			}
		}
		w.down = false
		w.finishAll()
		exits += w.exits
		if len(w.cut) > 0 {
			return fmt.Sprintf("cut off: %v", w.cut)
		}
		return ""
	}, gen.SliceOfN(40, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
	if exits == 0 {
		t.Error("no entry ever ended: nothing was tested")
	}
	t.Logf("exits=%d", exits)
}

// finishAll lets every call end, and draining entries with them.
func (w *bookWorld) finishAll() {
	for range 8 {
		for len(w.held) > 0 {
			h := w.held[0]
			if h.dispatch != nil && h.dispatch.Engine {
				w.held = w.held[1:]
				w.produce(h.node, h.dispatch, h.dispatch.From, 3, true)
				continue
			}
			w.decide(0, wayGood)
		}
		w.settleAll()
	}
	w.advance(9 * time.Second)
}

// An entry with nothing to do drains. Another instance that did not hear of it
// goes on naming it to callers, for as long as its instance list lags, and these
// keep the answer for a while. An entry that ended as soon as it was idle would
// refuse their connections. It serves on for that time, and ends after it.
func TestPromise6AnIdleEntryServesKeptAnswers(t *testing.T) {
	w := newBookWorld(3, "1000.00")
	w.finishAll() // the world begins with a request
	leaving := w.nodes[0]
	w.give(leaving, core.Drain{})
	const listLag = 5 * time.Second
	w.advance(listLag - 100*time.Millisecond)
	if w.exits != 0 {
		t.Fatal("the entry ended while callers could still hold its address")
	}
	w.generate(leaving, true)
	w.finishAll()
	if len(w.cut) > 0 {
		t.Errorf("cut off: %v", w.cut)
	}
	if w.exits != 1 {
		t.Errorf("%d entries ended, want the leaving one", w.exits)
	}
}
