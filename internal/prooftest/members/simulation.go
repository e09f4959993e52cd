// Package members proves, in virtual time, how instances follow the configuration
// and how leaving upstreams get no new work. Its fakes drive several instances
// through core.Instance.Handle, in orders that gopter draws and shrinks.
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
	tickEvery   = 100 * time.Millisecond
	linkTime    = 5 * time.Millisecond
	readTimeout = time.Second
	// outOfForce is the stated bound: how long an old version may still be
	// applied to new requests after another was accepted.
	outOfForce = 3 * time.Second
	// inForce bounds how long a change takes to be served everywhere.
	inForce = 4 * time.Second
)

// follower is one instance under test and what stands between it and others.
type follower struct {
	name, dc string
	inst     *core.Instance
	boot     int
	// frozen holds its events back; noTable and alone cut it off from the
	// table, and from everything.
	frozen         time.Time
	noTable, alone time.Time
	held           []core.Event
	number         int64
}

// world is a table with one row, its objects, and the instances that follow.
type world struct {
	now       time.Time
	queue     events
	followers []*follower
	pointer   core.ConfigPointer
	objects   map[string][]byte
	accepted  map[int64]time.Time
	// cordoned holds the cordoned data centres by the version that they go with.
	cordoned map[int64][]string
	down     time.Time // the table, for everybody
	slow     time.Time // links between instances
	apart    time.Time // the two data centres from each other
	reads    int
	broken   string
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

func (w *world) in(d time.Duration, do func()) {
	sequence++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: sequence, do: do})
}

func newWorld(perDC int, dcs ...string) *world {
	w := &world{now: time.Unix(1000, 0), objects: map[string][]byte{}, accepted: map[int64]time.Time{}, cordoned: map[int64][]string{}}
	if len(dcs) == 0 {
		dcs = []string{"a", "b"}
	}
	for _, dc := range dcs {
		for n := range perDC {
			w.followers = append(w.followers, &follower{name: fmt.Sprintf("%s%d", dc, n), dc: dc})
		}
	}
	w.accept()
	for n, f := range w.followers {
		w.start(f)
		w.every(tickEvery, time.Duration(n)*7*time.Millisecond, func() { w.tick(f) })
		w.every(time.Second, 0, func() { w.give(f, core.InstanceList{Members: w.members()}) })
	}
	return w
}

func (w *world) every(d, first time.Duration, do func()) {
	w.in(first, func() {
		do()
		w.every(d, d, do)
	})
}

func (w *world) members() []membership.Member {
	var out []membership.Member
	for _, f := range w.followers {
		out = append(out, f.member())
	}
	return out
}

func (f *follower) member() membership.Member {
	return membership.Member{Name: f.name, Role: membership.RoleEntry, DataCentre: f.dc, State: membership.Live, Address: f.name, PeerAddress: f.name}
}

func (w *world) start(f *follower) {
	f.boot++
	f.number, f.held = 0, nil
	f.inst = core.New(core.Options{Self: f.member(), Boot: fmt.Sprint(f.boot), Seed: 1})
}

// accept puts the next version into the table.
func (w *world) accept() {
	n := w.pointer.Number + 1
	text := fmt.Sprintf(`deployment: {name: w, regions: {r: [a, b]}, entry_ttl: %ds, stream_key: a-key-that-is-long-enough-to-sign-with}`, n)
	cfg, err := config.Parse([]config.File{{Name: "w.yaml", Data: []byte(text)}})
	if err != nil {
		panic(err)
	}
	object, hash, err := cfg.Encode()
	if err != nil {
		panic(err)
	}
	w.objects[hash] = object
	w.put(core.ConfigPointer{Number: n, Hash: hash, Cordoned: w.pointer.Cordoned})
}

// put puts a pointer into the table.
func (w *world) put(p core.ConfigPointer) {
	w.pointer = p
	w.accepted[p.Number], w.cordoned[p.Number] = w.now, p.Cordoned
}

// cordon cordons a data centre, or lifts its cordon if it is.
func (w *world) cordon(dataCentre string) {
	next := slices.DeleteFunc(slices.Clone(w.pointer.Cordoned), func(dc string) bool { return dc == dataCentre })
	if len(next) == len(w.pointer.Cordoned) {
		next = append(next, dataCentre)
		slices.Sort(next)
	}
	w.put(core.ConfigPointer{Number: w.pointer.Number + 1, Hash: w.pointer.Hash, Cordoned: next})
}

// tick checks what the instance would decide now, before it learns anything
// more, and lets time pass for it.
func (w *world) tick(f *follower) {
	if w.now.Before(f.frozen) {
		return
	}
	w.check(f)
	held := f.held
	f.held = nil
	for _, ev := range held {
		w.handle(f, ev)
	}
	w.handle(f, core.Tick{})
}

// check fails the order if the instance would serve by a version that was
// replaced too long ago, or went back to an older one.
func (w *world) check(f *follower) {
	n := f.inst.ConfigNumber()
	if n < f.number {
		w.broken = fmt.Sprintf("%s went back from version %d to %d", f.name, f.number, n)
	}
	f.number = n
	if c := f.inst.Cordons(); n > 0 && (c.Version != n || !slices.Equal(c.DataCentres, w.cordoned[n])) {
		w.broken = fmt.Sprintf("%s holds version %d and cordons %v of version %d, want %v", f.name, n, c.DataCentres, c.Version, w.cordoned[n])
	}
	at, replaced := w.accepted[n+1]
	if late := w.now.Sub(at); replaced && late > outOfForce && f.inst.Ready(w.now) {
		w.broken = fmt.Sprintf("%s serves by version %d, %s after version %d was accepted", f.name, n, late, n+1)
	}
}

func (w *world) give(f *follower, ev core.Event) {
	if w.now.Before(f.frozen) {
		f.held = append(f.held, ev)
		return
	}
	w.handle(f, ev)
}

func (w *world) handle(f *follower, ev core.Event) {
	boot := f.boot
	for _, a := range f.inst.Handle(w.now, ev) {
		reply := func(d time.Duration, ev core.Event) {
			w.in(d, func() {
				if f.boot == boot {
					w.give(f, ev)
				}
			})
		}
		switch a := a.(type) {
		case core.Send:
			w.send(f, a)
		case core.Read:
			w.reads++
			if !w.reaches(f) {
				reply(readTimeout, core.ReadResult{Op: a.Op})
				continue
			}
			value, _ := json.Marshal(w.pointer)
			row := table.Row{Key: core.ConfigRow, Version: w.pointer.Number, Value: value}
			reply(2*linkTime, core.ReadResult{Op: a.Op, OK: true, Rows: []table.Row{row}})
		case core.Fetch:
			if data, ok := w.objects[a.Hash]; ok && w.reaches(f) {
				reply(2*linkTime, core.ObjectResult{Hash: a.Hash, OK: true, Data: data})
			} else {
				reply(readTimeout, core.ObjectResult{Hash: a.Hash})
			}
		}
	}
	w.check(f)
}

func (w *world) reaches(f *follower) bool {
	return !w.now.Before(w.down) && !w.now.Before(f.noTable) && !w.now.Before(f.alone)
}

func (w *world) send(from *follower, a core.Send) {
	for _, to := range w.followers {
		cut := w.now.Before(from.alone) || w.now.Before(to.alone) || from.dc != to.dc && w.now.Before(w.apart)
		if to.name != a.To || cut {
			continue
		}
		delay := linkTime
		if w.now.Before(w.slow) { // a link that stalls and delivers later
			delay = 5 * time.Second
		}
		boot := to.boot
		w.in(delay, func() {
			if to.boot == boot {
				w.give(to, core.PeerMessage{From: from.name, Msg: a.Msg})
			}
		})
	}
}

func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for w.broken == "" && len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Steps of an order: each is a kind, whom it strikes and for how long.
const (
	stepAccept = iota
	stepCordon
	stepFreeze
	stepNoTable
	stepAlone
	stepRestart
	stepDown
	stepSlow
	stepApart
	steps
)

func (w *world) step(code int) {
	f := w.followers[code/steps%len(w.followers)]
	until := w.now.Add(time.Duration(1+code/100%6) * time.Second)
	switch code % steps {
	case stepAccept, stepCordon:
		// A change that reaches nobody before the table goes down is not
		// covered: so none is made while the links between instances stall,
		// nor through one that has just started and knows nobody.
		if !w.reaches(f) || w.now.Before(f.frozen) || w.now.Before(w.slow) || f.inst.Instances() <= 1 {
			return
		}
		if code%steps == stepCordon {
			w.cordon(f.dc)
			w.give(f, core.ConfigApplied{Pointer: w.pointer})
			return
		}
		w.accept()
		w.give(f, core.ConfigApplied{Pointer: w.pointer, Object: w.objects[w.pointer.Hash]})
	case stepFreeze:
		f.frozen = until
	case stepNoTable:
		f.noTable = until
	case stepAlone:
		f.alone = until
	case stepRestart:
		w.start(f)
	case stepDown:
		w.down = until
	case stepSlow:
		w.slow = until
	case stepApart:
		w.apart = until
	}
}

// heal ends every failure.
func (w *world) heal() {
	w.down, w.slow, w.apart = w.now, w.now, w.now
	for _, f := range w.followers {
		f.frozen, f.noTable, f.alone = w.now, w.now, w.now
	}
}

func (w *world) behind() string {
	var late []string
	for _, f := range w.followers {
		if f.inst.ConfigNumber() != w.pointer.Number || !f.inst.Ready(w.now) {
			late = append(late, fmt.Sprintf("%s at version %d of %d, ready %v", f.name, f.inst.ConfigNumber(), w.pointer.Number, f.inst.Ready(w.now)))
		}
	}
	return strings.Join(late, "; ")
}
