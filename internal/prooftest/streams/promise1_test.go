package streams

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/testkit"
)

// step runs one step of a generated sequence. op selects the operation and arg its
// target or duration.
func (sim *simulation) step(op, arg uint8) {
	switch op % 16 {
	case 0, 1, 2, 3, 4, 5, 6:
		if open := sim.pending(""); len(open) > 0 {
			sim.deliverNext(open[int(arg)%len(open)])
		}
	case 7:
		sim.tick(time.Duration(arg) * 20 * time.Millisecond)
	case 8:
		sim.onPendingLink(arg, func(ch string, q []func()) { sim.channels[ch] = append([]func(){q[0]}, q...) }) // delivers a token twice
	case 9:
		sim.onPendingLink(arg, func(ch string, q []func()) { sim.channels[ch] = q[1:] }) // drops a token
	case 10:
		sim.onPendingLink(arg, func(ch string, _ []func()) { sim.channels[ch] = nil }) // becomes silent permanently
	case 11:
		for _, e := range sim.engines {
			for _, l := range e.links {
				if int(arg)%5 == len(l.channel)%5 {
					sim.breakLink(l)
				}
			}
		}
	case 12:
		e := sim.engines[fmt.Sprintf("engine-%d", int(arg)%len(sim.engines))]
		e.rerunLost = arg >= 128
		sim.crash(e)
	case 13:
		sim.disconnect(sim.allCallers[int(arg)%len(sim.allCallers)], arg >= 128)
	case 14:
		if len(sim.names) > 2 && arg < 64 {
			sim.kill(sim.names[int(arg)%len(sim.names)])
		}
	case 15:
		sim.submit(sim.names[int(arg)%len(sim.names)], "depot-key", fmt.Sprintf("order-%d", len(sim.allCallers)), arg%2 == 0)
	}
}

func (sim *simulation) onPendingLink(arg uint8, f func(ch string, q []func())) {
	if open := sim.pending("link "); len(open) > 0 {
		ch := open[int(arg)%len(open)]
		f(ch, sim.channels[ch])
	}
}

// Callers must get each token of one generation once and in order, and exactly one
// end, in whatever order tokens, broken and silent connections, gaps, duplicates,
// crashes, killed instances and resumes occur. Three callers of two organisations
// send requests at the start; the generated steps then mix events and faults, and at
// the end all events in transit are delivered.
func TestPromise1And2PropertyTokensOnceInOrder(t *testing.T) {
	props := gopter.NewProperties(testkit.Parameters())
	props.Property("each caller gets one complete generation or a true outcome", prop.ForAll(
		func(steps []uint16) string {
			sim := newSimulation(3, 2, "1000.00")
			sim.submit("entry-0", "depot-key", "schedule", true)
			sim.submit("entry-1", "press-key", "die-status", true)
			sim.submit("entry-2", "press-key", "die-list", false)
			for _, choice := range steps {
				sim.step(uint8(choice>>8), uint8(choice))
			}
			sim.runUntilEnded()
			return strings.Join(sim.check(), "\n")
		},
		gen.SliceOf(gen.UInt16()),
	))
	props.TestingRun(t)
}
