package members

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/memtable"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const (
	// maxNewWorkDelay is the guaranteed maximum time for which a leaving upstream
	// may still get new work.
	maxNewWorkDelay = 3 * time.Second
	pollTimeout     = 600 * time.Millisecond
	// runTime is the duration of each generation and call in the fleet.
	runTime = 300 * time.Millisecond
)

// fakeUpstream is an upstream that runs two calls at the same time.
type fakeUpstream struct {
	member membership.Member
	// leavingSince is the time at which the upstream began to leave; zero while it is
	// not leaving.
	leavingSince time.Time
	// Until muteUntil the upstream returns no reports; until failingUntil its calls fail.
	muteUntil    time.Time
	failingUntil time.Time
	newWork      int // number of generations and calls sent to the upstream
}

// fleetInstance is one instance with the events that are held back while it is
// frozen.
type fleetInstance struct {
	name        string
	inst        *core.Instance
	boot        int
	frozenUntil time.Time
	heldEvents  []core.Event
	requests    int // number of callers' requests to the instance
}

// fleet is a simulation of instances and fake upstreams with a table that always
// responds.
type fleet struct {
	now            time.Time
	queue          events
	instances      []*fleetInstance
	upstreams      []*fakeUpstream
	table          *memtable.Table
	objects        map[string][]byte
	linksSlowUntil time.Time
	// list is the present instance list; it is not refreshed before
	// listLagsUntil.
	list          []membership.Member
	listLagsUntil time.Time
	dispatched    int    // number of generations and calls sent to upstreams
	violation     string // new work sent to a leaving upstream too late, "" if none
	// grants holds the replies that granted an attempt, in the order of sending.
	grants []msg.GrantResponse
	// firstRequests holds each entry's first request for a grant, with the home that the
	// request was sent to, by the entry's name.
	firstRequests map[string]core.Send
}

const fleetConfig = `
deployment: {name: f, regions: {r: [a]}, stream_key: a-key-that-is-long-enough-to-sign-with}
organisations:
  - {name: o, key_sha256: [%s], services: [chat, desk], limits: {spend: 100000, requests_per_second: 10000, tokens_per_second: 1000000, concurrent: 10000}}
models: [{name: m, prompt_price: 0, output_price: 0.001}]
services:
  - {name: chat, kind: engine, model: m}
  - {name: desk, kind: plain, call_price: 0.001}
upstreams:
  - {name: e1, service: chat, data_centre: a}
  - {name: e2, service: chat, data_centre: a}
  - {name: d1, service: desk, data_centre: a}
  - {name: d2, service: desk, data_centre: a}
`

// newFleet starts three instances and the upstreams of fleetConfig and runs them for
// 3 s of virtual time.
func newFleet() *fleet {
	f := &fleet{now: time.Unix(1000, 0), table: memtable.New(), objects: map[string][]byte{}, firstRequests: map[string]core.Send{}}
	cfg, err := config.Parse([]config.File{{Name: "f.yaml", Data: fmt.Appendf(nil, fleetConfig, config.HashKey("k"))}})
	if err != nil {
		panic(err)
	}
	object, hash, err := cfg.Encode()
	if err != nil {
		panic(err)
	}
	pointer, _ := json.Marshal(core.ConfigPointer{Number: 1, Hash: hash})
	f.objects[hash] = object
	f.table.Write(table.Write{Key: core.ConfigRow, Value: pointer})
	for _, up := range cfg.Upstreams {
		f.upstreams = append(f.upstreams, &fakeUpstream{member: membership.Member{
			Name: up.Name, Role: up.Service, DataCentre: "a", Address: up.Name, State: membership.Live,
		}})
	}
	for n := range 3 {
		instance := &fleetInstance{name: fmt.Sprintf("i%d", n)}
		f.instances = append(f.instances, instance)
		f.start(instance)
		f.every(50*time.Millisecond, func() { f.tick(instance) })
		f.every(time.Second, func() { f.deliver(instance, core.InstanceList{Members: f.list}) })
	}
	f.every(500*time.Millisecond, f.refreshList)
	f.run(3 * time.Second)
	return f
}

func (f *fleet) start(n *fleetInstance) {
	n.boot++
	n.heldEvents = nil
	self := membership.Member{Name: n.name, Role: membership.RoleEntry, DataCentre: "a", State: membership.Live, PeerAddress: n.name}
	n.inst = core.New(core.Options{Self: self, Boot: fmt.Sprint(n.boot), Seed: 1})
}

func (f *fleet) refreshList() {
	if f.now.Before(f.listLagsUntil) {
		return
	}
	f.list = nil
	for _, n := range f.instances {
		f.list = append(f.list, membership.Member{Name: n.name, Role: membership.RoleEntry, DataCentre: "a", State: membership.Live, PeerAddress: n.name})
	}
	for _, up := range f.upstreams {
		m := up.member
		if !up.leavingSince.IsZero() {
			m.State = membership.Leaving
		}
		f.list = append(f.list, m)
	}
}

// after schedules do to run when virtual time has advanced by d.
func (f *fleet) after(d time.Duration, do func()) {
	sequence++
	heap.Push(&f.queue, event{at: f.now.Add(d), seq: sequence, do: do})
}

func (f *fleet) every(d time.Duration, do func()) {
	f.after(d, func() {
		do()
		f.every(d, do)
	})
}

// run advances virtual time by d. It runs no further events once a violation is
// recorded.
func (f *fleet) run(d time.Duration) {
	until := f.now.Add(d)
	for f.violation == "" && len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *fleet) tick(n *fleetInstance) {
	if f.now.Before(n.frozenUntil) {
		return
	}
	held := n.heldEvents
	n.heldEvents = nil
	for _, ev := range held {
		f.handle(n, ev)
	}
	f.handle(n, core.Tick{})
}

// deliver passes an event to the instance, or holds it back while the instance is
// frozen or has not yet handled earlier held events.
func (f *fleet) deliver(n *fleetInstance, ev core.Event) {
	if f.now.Before(n.frozenUntil) || len(n.heldEvents) > 0 {
		n.heldEvents = append(n.heldEvents, ev)
		return
	}
	f.handle(n, ev)
}

func (f *fleet) handle(n *fleetInstance, ev core.Event) {
	boot := n.boot
	reply := func(d time.Duration, ev core.Event) {
		f.after(d, func() {
			if n.boot == boot {
				f.deliver(n, ev)
			}
		})
	}
	for _, a := range n.inst.Handle(f.now, ev) {
		switch a := a.(type) {
		case core.Send:
			f.send(n, a)
		case core.Read:
			var rows []table.Row
			for _, k := range a.Keys {
				rows = append(rows, f.table.Row(k))
			}
			reply(2*linkDelay, core.ReadResult{Op: a.Op, OK: true, Rows: rows})
		case core.Fetch:
			reply(2*linkDelay, core.ObjectResult{Hash: a.Hash, OK: true, Data: f.objects[a.Hash]})
		case core.Commit:
			reply(2*linkDelay, core.CommitResult{Op: a.Op, Result: f.table.Apply(a.Tx)})
		case core.Poll:
			f.poll(a, reply)
		case core.Dispatch:
			f.dispatch(n, a, reply)
		}
	}
}

func (f *fleet) send(from *fleetInstance, a core.Send) {
	if m, ok := a.Msg.(msg.GrantResponse); ok && m.Decision.Kind == placement.Granted {
		f.grants = append(f.grants, m)
	}
	delay := linkDelay
	if f.now.Before(f.linksSlowUntil) { // stalled links deliver late
		delay = 4 * time.Second
	}
	if _, ok := a.Msg.(msg.GrantRequest); ok && f.firstRequests[from.name].To == "" {
		f.firstRequests[from.name] = a
	}
	for _, to := range f.instances {
		if to.name == a.To {
			boot := to.boot
			f.after(delay, func() {
				if to.boot == boot {
					f.deliver(to, core.PeerMessage{From: from.name, Msg: a.Msg})
				}
			})
		}
	}
}

func (f *fleet) upstream(name string) *fakeUpstream {
	for _, up := range f.upstreams {
		if up.member.Name == name {
			return up
		}
	}
	return nil
}

func (f *fleet) poll(a core.Poll, reply func(time.Duration, core.Event)) {
	up := f.upstream(a.Upstream)
	if f.now.Before(up.muteUntil) {
		reply(pollTimeout, core.PollFailed{Upstream: a.Upstream})
		return
	}
	r := placement.Report{Upstream: a.Upstream, Boot: "1", Leaving: !up.leavingSince.IsZero(), Capacity: 100_000, MaxBatch: 2}
	reply(2*linkDelay, core.UpstreamReport{Report: r, PolledAt: f.now})
}

// dispatch sends work to an upstream unless the grant has expired, as package upstream
// does. It records a violation if the upstream began to leave more than maxNewWorkDelay
// ago.
func (f *fleet) dispatch(n *fleetInstance, a core.Dispatch, reply func(time.Duration, core.Event)) {
	failed := core.UpstreamFailed{Request: a.Request, Attempt: a.Attempt, Step: "request", NotFound: a.Resume}
	if f.now.After(a.SendBefore) && !a.SendBefore.IsZero() || a.Resume {
		reply(0, failed)
		return
	}
	up := f.upstream(a.Upstream)
	f.dispatched++
	up.newWork++
	if after := f.now.Sub(up.leavingSince); !up.leavingSince.IsZero() && after > maxNewWorkDelay {
		f.violation = fmt.Sprintf("%s sent new work to %s %s after that upstream began to leave", n.name, a.Upstream, after)
	}
	switch {
	case f.now.Before(up.failingUntil):
		failed.Sent = true
		reply(linkDelay, failed)
	case a.Engine:
		reply(runTime, core.UpstreamEnd{Request: a.Request, Attempt: a.Attempt, Reason: "stop"})
	default:
		reply(runTime, core.UpstreamResponse{Request: a.Request, Attempt: a.Attempt, Status: 200})
	}
}

// submit sends count requests to an entry: calls, generations and bookings in
// turn.
func (f *fleet) submit(n *fleetInstance, count int) {
	for range count {
		n.requests++
		req := core.CallerRequest{ID: fmt.Sprintf("%s:%d:%d", n.name, n.boot, n.requests), APIKey: "k", Prompt: 10, MaxTokens: 100}
		switch n.requests % 3 {
		case 0:
			req.Service, req.NotRepeatable, req.IdempotencyKey, req.BodyHash = "desk", true, req.ID, "h"
		case 1:
			req.Service = "desk"
		default:
			req.Model = "m"
		}
		f.deliver(n, req)
	}
}

// Kinds of steps in a generated sequence.
const (
	stepLeave = iota
	stepRequest
	stepFreezeInstance
	stepRestartInstance
	stepMuteReports
	stepFailCalls
	stepStallLinks
	stepListLag
	fleetStepCount
)

// step runs one step of a generated sequence: code selects the kind, the instance or
// upstream that it affects, and its duration.
func (f *fleet) step(code int) {
	n := f.instances[code/fleetStepCount%len(f.instances)]
	up := f.upstreams[code/fleetStepCount%len(f.upstreams)]
	until := f.now.Add(time.Duration(1+code/100%6) * time.Second)
	switch code % fleetStepCount {
	case stepLeave:
		up.leavingSince = f.now
		f.after(8*time.Second, func() { up.leavingSince = time.Time{} })
	case stepRequest:
		f.submit(n, 1+code/100%20)
	case stepFreezeInstance:
		n.frozenUntil = until
	case stepRestartInstance:
		f.start(n)
	case stepMuteReports:
		up.muteUntil = until
	case stepFailCalls:
		up.failingUntil = until
	case stepStallLinks:
		f.linksSlowUntil = until
	case stepListLag:
		f.listLagsUntil = until
	}
}
