// Package members tests, in virtual time, how instances synchronise the
// configuration and that leaving upstreams get no new work. Its fakes drive several
// instances through core.Instance.Handle with sequences of steps that gopter
// generates and shrinks.
package members

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const (
	tickInterval = 100 * time.Millisecond
	linkDelay    = 5 * time.Millisecond
	readTimeout  = time.Second
	// maxStaleness is the guaranteed maximum time for which a version may still be
	// applied to new requests after the next version was accepted.
	maxStaleness = 3 * time.Second
	// maxPropagation is the maximum time until every instance applies a change.
	maxPropagation = 4 * time.Second
)

// follower is one instance under test with the faults injected into it.
type follower struct {
	name, dc string
	inst     *core.Instance
	boot     int
	// Until frozenUntil the instance's events are held back in heldEvents; until
	// noTableUntil the instance can't reach the table; until isolatedUntil it can
	// reach neither the table nor other instances.
	frozenUntil                 time.Time
	noTableUntil, isolatedUntil time.Time
	heldEvents                  []core.Event
	lastNumber                  int64 // configuration version at the last check
}

// simulation is a fake table with one row and its objects, and the instances that
// synchronise their configuration with it.
type simulation struct {
	now       time.Time
	queue     events
	followers []*follower
	pointer   core.ConfigPointer
	objects   map[string][]byte
	accepted  map[int64]time.Time
	// cordoned holds the cordoned data centres of each configuration version.
	cordoned         map[int64][]string
	tableDownUntil   time.Time // the table responds to no instance
	linksSlowUntil   time.Time // messages between instances are delayed
	partitionedUntil time.Time // no messages between the two data centres
	reads            int       // reads of the configuration row by all instances
	violation        string    // the last broken guarantee found, "" if none
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

var sequence int

// after schedules do to run when virtual time has advanced by d.
func (sim *simulation) after(d time.Duration, do func()) {
	sequence++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sequence, do: do})
}

// newSimulation starts perDC instances in each of the data centres dcs, by default
// "a" and "b".
func newSimulation(perDC int, dcs ...string) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), objects: map[string][]byte{}, accepted: map[int64]time.Time{}, cordoned: map[int64][]string{}}
	if len(dcs) == 0 {
		dcs = []string{"a", "b"}
	}
	for _, dc := range dcs {
		for n := range perDC {
			sim.followers = append(sim.followers, &follower{name: fmt.Sprintf("%s%d", dc, n), dc: dc})
		}
	}
	sim.accept()
	for n, f := range sim.followers {
		sim.start(f)
		sim.every(tickInterval, time.Duration(n)*7*time.Millisecond, func() { sim.tick(f) })
		sim.every(time.Second, 0, func() { sim.deliver(f, core.InstanceList{Members: sim.members()}) })
	}
	return sim
}

func (sim *simulation) every(d, first time.Duration, do func()) {
	sim.after(first, func() {
		do()
		sim.every(d, d, do)
	})
}

func (sim *simulation) members() []membership.Member {
	var out []membership.Member
	for _, f := range sim.followers {
		out = append(out, f.member())
	}
	return out
}

func (f *follower) member() membership.Member {
	return membership.Member{Name: f.name, Role: membership.RoleEntry, DataCentre: f.dc, State: membership.Live, Address: f.name, PeerAddress: f.name}
}

// start starts the instance, or restarts it with a new boot.
func (sim *simulation) start(f *follower) {
	f.boot++
	f.lastNumber, f.heldEvents = 0, nil
	f.inst = core.New(core.Options{Self: f.member(), Boot: fmt.Sprint(f.boot), Seed: 1})
}

// accept writes the next configuration version to the table.
func (sim *simulation) accept() {
	n := sim.pointer.Number + 1
	text := fmt.Sprintf(`deployment: {name: w, regions: {r: [a, b]}, entry_ttl: %ds, stream_key: a-key-that-is-long-enough-to-sign-with}`, n)
	cfg, err := config.Parse([]config.File{{Name: "w.yaml", Data: []byte(text)}})
	if err != nil {
		panic(err)
	}
	object, hash, err := cfg.Encode()
	if err != nil {
		panic(err)
	}
	sim.objects[hash] = object
	sim.setPointer(core.ConfigPointer{Number: n, Hash: hash, Cordoned: sim.pointer.Cordoned})
}

// setPointer writes a configuration pointer to the table.
func (sim *simulation) setPointer(p core.ConfigPointer) {
	sim.pointer = p
	sim.accepted[p.Number], sim.cordoned[p.Number] = sim.now, p.Cordoned
}

// cordon cordons a data centre, or lifts the cordon if the data centre is cordoned already.
func (sim *simulation) cordon(dataCentre string) {
	next := slices.DeleteFunc(slices.Clone(sim.pointer.Cordoned), func(dc string) bool { return dc == dataCentre })
	if len(next) == len(sim.pointer.Cordoned) {
		next = append(next, dataCentre)
		slices.Sort(next)
	}
	sim.setPointer(core.ConfigPointer{Number: sim.pointer.Number + 1, Hash: sim.pointer.Hash, Cordoned: next})
}

// tick checks the version that the instance would apply now, before it handles
// held events, then delivers these events and a tick.
func (sim *simulation) tick(f *follower) {
	if sim.now.Before(f.frozenUntil) {
		return
	}
	sim.check(f)
	held := f.heldEvents
	f.heldEvents = nil
	for _, ev := range held {
		sim.handle(f, ev)
	}
	sim.handle(f, core.Tick{})
}

// check records a violation if the instance reverted to an older version, holds
// cordons that do not match its version, or is ready with a version that was
// replaced more than maxStaleness ago.
func (sim *simulation) check(f *follower) {
	n := f.inst.ConfigNumber()
	if n < f.lastNumber {
		sim.violation = fmt.Sprintf("%s reverted from version %d to %d", f.name, f.lastNumber, n)
	}
	f.lastNumber = n
	if c := f.inst.Cordons(); n > 0 && (c.Version != n || !slices.Equal(c.DataCentres, sim.cordoned[n])) {
		sim.violation = fmt.Sprintf("%s has version %d, but cordons %v of version %d; want cordons %v of its own version", f.name, n, c.DataCentres, c.Version, sim.cordoned[n])
	}
	at, replaced := sim.accepted[n+1]
	if late := sim.now.Sub(at); replaced && late > maxStaleness && f.inst.Ready(sim.now) {
		sim.violation = fmt.Sprintf("%s still applies version %d %s after version %d was accepted", f.name, n, late, n+1)
	}
}

// deliver passes an event to the instance, or holds it back while the instance is
// frozen.
func (sim *simulation) deliver(f *follower, ev core.Event) {
	if sim.now.Before(f.frozenUntil) {
		f.heldEvents = append(f.heldEvents, ev)
		return
	}
	sim.handle(f, ev)
}

// handle passes an event to the instance and performs the resulting actions.
func (sim *simulation) handle(f *follower, ev core.Event) {
	boot := f.boot
	for _, a := range f.inst.Handle(sim.now, ev) {
		reply := func(d time.Duration, ev core.Event) {
			sim.after(d, func() {
				if f.boot == boot {
					sim.deliver(f, ev)
				}
			})
		}
		switch a := a.(type) {
		case core.Send:
			sim.send(f, a)
		case core.Read:
			sim.reads++
			if !sim.tableReachable(f) {
				reply(readTimeout, core.ReadResult{Op: a.Op})
				continue
			}
			value, _ := json.Marshal(sim.pointer)
			row := table.Row{Key: core.ConfigRow, Version: sim.pointer.Number, Value: value}
			reply(2*linkDelay, core.ReadResult{Op: a.Op, OK: true, Rows: []table.Row{row}})
		case core.Fetch:
			if data, ok := sim.objects[a.Hash]; ok && sim.tableReachable(f) {
				reply(2*linkDelay, core.ObjectResult{Hash: a.Hash, OK: true, Data: data})
			} else {
				reply(readTimeout, core.ObjectResult{Hash: a.Hash})
			}
		}
	}
	sim.check(f)
}

func (sim *simulation) tableReachable(f *follower) bool {
	return !sim.now.Before(sim.tableDownUntil) && !sim.now.Before(f.noTableUntil) && !sim.now.Before(f.isolatedUntil)
}

func (sim *simulation) send(from *follower, a core.Send) {
	for _, to := range sim.followers {
		unreachable := sim.now.Before(from.isolatedUntil) || sim.now.Before(to.isolatedUntil) || from.dc != to.dc && sim.now.Before(sim.partitionedUntil)
		if to.name != a.To || unreachable {
			continue
		}
		delay := linkDelay
		if sim.now.Before(sim.linksSlowUntil) { // stalled links deliver late
			delay = 5 * time.Second
		}
		boot := to.boot
		sim.after(delay, func() {
			if to.boot == boot {
				sim.deliver(to, core.PeerMessage{From: from.name, Msg: a.Msg})
			}
		})
	}
}

// run advances virtual time by d. It runs no further events once a violation is
// recorded.
func (sim *simulation) run(d time.Duration) {
	until := sim.now.Add(d)
	for sim.violation == "" && len(sim.queue) > 0 && !sim.queue[0].at.After(until) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = until
}

// Kinds of steps in a generated sequence. A step's code also selects the instance
// that it affects and its duration.
const (
	stepAccept = iota
	stepCordon
	stepFreeze
	stepTableUnreachable
	stepIsolate
	stepRestart
	stepTableDown
	stepSlowLinks
	stepPartition
	stepCount
)

// step runs one step of a generated sequence, as encoded by code.
func (sim *simulation) step(code int) {
	f := sim.followers[code/stepCount%len(sim.followers)]
	until := sim.now.Add(time.Duration(1+code/100%6) * time.Second)
	switch code % stepCount {
	case stepAccept, stepCordon:
		// A change that reaches no other instance before the table goes down is
		// not covered by the guarantee. Therefore no change is made while the
		// links between instances stall, nor through an instance that has just
		// started and has no other instance in its view.
		if !sim.tableReachable(f) || sim.now.Before(f.frozenUntil) || sim.now.Before(sim.linksSlowUntil) || f.inst.Instances() <= 1 {
			return
		}
		if code%stepCount == stepCordon {
			sim.cordon(f.dc)
			sim.deliver(f, core.ConfigApplied{Pointer: sim.pointer})
			return
		}
		sim.accept()
		sim.deliver(f, core.ConfigApplied{Pointer: sim.pointer, Object: sim.objects[sim.pointer.Hash]})
	case stepFreeze:
		f.frozenUntil = until
	case stepTableUnreachable:
		f.noTableUntil = until
	case stepIsolate:
		f.isolatedUntil = until
	case stepRestart:
		sim.start(f)
	case stepTableDown:
		sim.tableDownUntil = until
	case stepSlowLinks:
		sim.linksSlowUntil = until
	case stepPartition:
		sim.partitionedUntil = until
	}
}

// heal ends every injected fault.
func (sim *simulation) heal() {
	sim.tableDownUntil, sim.linksSlowUntil, sim.partitionedUntil = sim.now, sim.now, sim.now
	for _, f := range sim.followers {
		f.frozenUntil, f.noTableUntil, f.isolatedUntil = sim.now, sim.now, sim.now
	}
}

// outdated describes the instances that do not apply the present version. It
// returns "" if all instances apply it.
func (sim *simulation) outdated() string {
	var problems []string
	for _, f := range sim.followers {
		if f.inst.ConfigNumber() != sim.pointer.Number || !f.inst.Ready(sim.now) {
			problems = append(problems, fmt.Sprintf("%s has version %d, want %d; ready = %v", f.name, f.inst.ConfigNumber(), sim.pointer.Number, f.inst.Ready(sim.now)))
		}
	}
	return strings.Join(problems, "; ")
}
