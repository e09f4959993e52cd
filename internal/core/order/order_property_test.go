package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core/table"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

const testUpstream = "engine-1"

// message is an order in transit.
type message struct {
	from    *home
	order   Send
	expires time.Time
}

// home is a machine and the actions that it requested and that are not performed yet.
type home struct {
	name  string
	m     *Machine
	queue []Action
}

// simulation has two homes that both act for one upstream, the table, the upstream and the
// orders in transit.
type simulation struct {
	now           time.Time
	homes         [2]*home
	row           table.Row
	inTransit     []message
	checksFencing bool
	fence         int64
	version       string
	applied       []Send
}

func newSimulation(checksFencing bool) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), checksFencing: checksFencing, version: "v0"}
	for n := range sim.homes {
		name := fmt.Sprintf("home-%d", n)
		sim.homes[n] = &home{name: name, m: NewMachine(testUpstream, name, checksFencing)}
	}
	return sim
}

// command is a kind of step of a random run.
type command int

const (
	advance     command = iota // up to 1.1 s pass
	longPause                  // up to 11 s pass
	setVersion                 // a home's configuration requires another version
	report                     // a home receives the upstream's report
	tick                       // a home's Tick is called
	process                    // a home's next action is performed
	processLost                // the same, but the response is lost
	deliver                    // an order in transit arrives
)

// commandMix sets the relative frequency of the commands.
var commandMix = []command{
	advance, advance, advance, longPause, setVersion, report, report, report, tick, tick,
	process, process, process, process, process, process, process, process, processLost, deliver, deliver,
}

// variants is the number of variants of each command, as described at step.
const variants = 12

// step performs a command. variant selects the home and the parameter of the command, such as the
// time that passes.
func (sim *simulation) step(cmd command, variant int) {
	h := sim.homes[variant%2]
	switch cmd {
	case advance:
		sim.now = sim.now.Add(time.Duration(variant) * 100 * time.Millisecond)
	case longPause:
		sim.now = sim.now.Add(time.Duration(variant) * time.Second)
	case setVersion:
		h.m.Want(fmt.Sprintf("v%d", variant%3))
	case report:
		h.queue = append(h.queue, h.m.Report(sim.now, sim.version, 0)...)
	case tick:
		h.queue = append(h.queue, h.m.Tick(sim.now)...)
	case process:
		sim.process(h, false)
	case processLost:
		sim.process(h, true)
	case deliver:
		sim.deliver(variant)
	}
}

// process performs the oldest action that a home requested, however late that is.
func (sim *simulation) process(h *home, lost bool) {
	if len(h.queue) == 0 {
		return
	}
	o := h.queue[0]
	h.queue = h.queue[1:]
	var more []Action
	switch {
	case o.Turn:
		more = h.m.OnTurn(sim.now, 0, !lost)
	case o.Read:
		more = h.m.OnRow(sim.now, sim.row, !lost)
	case o.Commit != nil:
		res := sim.commit(*o.Commit)
		if lost {
			res = table.Result{Status: table.Unknown}
		}
		more = h.m.Committed(sim.now, res)
	case o.Send != nil && sim.now.Before(o.Send.Before):
		sim.inTransit = append(sim.inTransit, message{from: h, order: *o.Send, expires: sim.now.Add(MessageTimeout)})
	}
	h.queue = append(h.queue, more...)
}

func (sim *simulation) commit(tx table.Tx) table.Result {
	if tx.Conds[0].Version != sim.row.Version {
		return table.Result{Status: table.Conflict, Rows: []table.Row{sim.row}}
	}
	sim.row = table.Row{Key: RowKey(testUpstream), Version: sim.row.Version + 1, Value: tx.Writes[0].Value}
	return table.Result{Status: table.Committed, Rows: []table.Row{sim.row}}
}

// deliver delivers one of the orders in transit, unless its call has been cancelled.
func (sim *simulation) deliver(variant int) {
	if len(sim.inTransit) == 0 {
		return
	}
	n := variant % len(sim.inTransit)
	msg := sim.inTransit[n]
	sim.inTransit = append(sim.inTransit[:n:n], sim.inTransit[n+1:]...)
	if sim.now.After(msg.expires) {
		return
	}
	if sim.checksFencing && msg.order.Fence <= sim.fence {
		msg.from.m.OnResponse(sim.now, msg.order.Fence, true)
		return
	}
	sim.fence = max(sim.fence, msg.order.Fence)
	sim.version = msg.order.Value
	sim.applied = append(sim.applied, msg.order)
	if variant%4 != 0 { // otherwise the upstream's response is lost
		msg.from.m.OnResponse(sim.now, msg.order.Fence, false)
	}
}

// inOrder reports whether the orders took effect by increasing fencing number.
func (sim *simulation) inOrder() bool {
	for n := 1; n < len(sim.applied); n++ {
		if sim.applied[n].Fence <= sim.applied[n-1].Fence {
			return false
		}
	}
	return true
}

// Two homes send orders to one upstream at the same time, perform actions late and lose responses
// of the table and of the upstream, and their messages overtake each other. An order must never
// take effect after a newer one, whether the upstream checks fencing numbers or ignores them.
func TestOrderPropertyNeverOvertaken(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		params := testkit.Parameters()
		params.MinSize, params.MaxSize = 50, 300
		properties := gopter.NewProperties(params)
		applied := 0
		properties.Property(fmt.Sprintf("checksFencing=%t", checksFencing), prop.ForAll(
			func(steps []int) string {
				sim := newSimulation(checksFencing)
				for _, s := range steps {
					sim.step(commandMix[s%len(commandMix)], s/len(commandMix))
				}
				applied += len(sim.applied)
				if !sim.inOrder() {
					return fmt.Sprintf("orders took effect out of order: %+v", sim.applied)
				}
				return ""
			},
			gen.SliceOf(gen.IntRange(0, len(commandMix)*variants-1)),
		))
		properties.TestingRun(t)
		if applied == 0 {
			t.Errorf("checksFencing=%t: no order took effect in any sequence, want some: otherwise nothing is tested", checksFencing)
		}
		t.Logf("checksFencing=%t: %d orders took effect", checksFencing, applied)
	}
}

// overtakenSequences are sequences of steps that made an order take effect after a newer one:
// the row was marked as confirmed because the upstream had loaded the version by another home's
// order, while this home's own order was still in transit.
var overtakenSequences = [][]int{
	{172, 47, 94, 136, 10, 25, 52, 61, 129, 110, 50, 220, 52, 115, 94, 89, 10, 115, 31, 199, 40, 103},
	{193, 71, 31, 115, 172, 115, 31, 131, 152, 136, 199, 10, 10, 94, 40, 61},
}

func TestOrderNotOvertakenAfterForeignConfirm(t *testing.T) {
	for n, steps := range overtakenSequences {
		sim := newSimulation(false)
		for _, s := range steps {
			sim.step(commandMix[s%len(commandMix)], s/len(commandMix))
		}
		if !sim.inOrder() {
			t.Errorf("sequence %d: orders took effect out of order: %+v, want increasing fencing numbers", n, sim.applied)
		}
	}
}
