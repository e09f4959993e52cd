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
	// noNewWork is the stated bound: how long a leaving upstream may still
	// get new work.
	noNewWork   = 3 * time.Second
	pollTimeout = 600 * time.Millisecond
	// runsFor is how long a generation or call takes in the fleet below.
	runsFor = 300 * time.Millisecond
)

// worker is an upstream that takes two calls at once.
type worker struct {
	member membership.Member
	// left is when it began to leave; zero while it does not.
	left time.Time
	// mute stops its reports, lame its calls.
	mute time.Time
	lame time.Time
	news int
}

// leaveNode is one instance with what is held back while it is frozen.
type leaveNode struct {
	name   string
	inst   *core.Instance
	boot   int
	frozen time.Time
	held   []core.Event
	asked  int
}

// fleet is instances before workers, with a table that answers.
type fleet struct {
	now     time.Time
	queue   events
	nodes   []*leaveNode
	workers []*worker
	table   *memtable.Table
	objects map[string][]byte
	slow    time.Time
	// list is what the lagging instance list says; it is refreshed unless
	// it lags.
	list []membership.Member
	lags time.Time
	sent int
	late string
	// granted holds the answers that granted, in the order in which they were sent.
	granted []msg.GrantResponse
	// asks holds the first ask of each entry and the home that it went to.
	asks map[string]core.Send
}

const leaveConfig = `
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

func newFleet() *fleet {
	f := &fleet{now: time.Unix(1000, 0), table: memtable.New(), objects: map[string][]byte{}, asks: map[string]core.Send{}}
	cfg, err := config.Parse([]config.File{{Name: "f.yaml", Data: fmt.Appendf(nil, leaveConfig, config.HashKey("k"))}})
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
		f.workers = append(f.workers, &worker{member: membership.Member{
			Name: up.Name, Role: up.Service, DataCentre: "a", Address: up.Name, State: membership.Live,
		}})
	}
	for n := range 3 {
		nd := &leaveNode{name: fmt.Sprintf("i%d", n)}
		f.nodes = append(f.nodes, nd)
		f.start(nd)
		f.every(50*time.Millisecond, func() { f.tick(nd) })
		f.every(time.Second, func() { f.give(nd, core.InstanceList{Members: f.list}) })
	}
	f.every(500*time.Millisecond, f.refreshList)
	f.run(3 * time.Second)
	return f
}

func (f *fleet) start(n *leaveNode) {
	n.boot++
	n.held = nil
	self := membership.Member{Name: n.name, Role: membership.RoleEntry, DataCentre: "a", State: membership.Live, PeerAddress: n.name}
	n.inst = core.New(core.Options{Self: self, Boot: fmt.Sprint(n.boot), Seed: 1})
}

func (f *fleet) refreshList() {
	if f.now.Before(f.lags) {
		return
	}
	f.list = nil
	for _, n := range f.nodes {
		f.list = append(f.list, membership.Member{Name: n.name, Role: membership.RoleEntry, DataCentre: "a", State: membership.Live, PeerAddress: n.name})
	}
	for _, w := range f.workers {
		m := w.member
		if !w.left.IsZero() {
			m.State = membership.Leaving
		}
		f.list = append(f.list, m)
	}
}

func (f *fleet) in(d time.Duration, do func()) {
	sequence++
	heap.Push(&f.queue, event{at: f.now.Add(d), seq: sequence, do: do})
}

func (f *fleet) every(d time.Duration, do func()) {
	f.in(d, func() {
		do()
		f.every(d, do)
	})
}

func (f *fleet) run(d time.Duration) {
	until := f.now.Add(d)
	for f.late == "" && len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *fleet) tick(n *leaveNode) {
	if f.now.Before(n.frozen) {
		return
	}
	held := n.held
	n.held = nil
	for _, ev := range held {
		f.handle(n, ev)
	}
	f.handle(n, core.Tick{})
}

func (f *fleet) give(n *leaveNode, ev core.Event) {
	if f.now.Before(n.frozen) || len(n.held) > 0 {
		n.held = append(n.held, ev)
		return
	}
	f.handle(n, ev)
}

func (f *fleet) handle(n *leaveNode, ev core.Event) {
	boot := n.boot
	reply := func(d time.Duration, ev core.Event) {
		f.in(d, func() {
			if n.boot == boot {
				f.give(n, ev)
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
			reply(2*linkTime, core.ReadResult{Op: a.Op, OK: true, Rows: rows})
		case core.Fetch:
			reply(2*linkTime, core.ObjectResult{Hash: a.Hash, OK: true, Data: f.objects[a.Hash]})
		case core.Commit:
			reply(2*linkTime, core.CommitResult{Op: a.Op, Result: f.table.Apply(a.Tx)})
		case core.Poll:
			f.poll(a, reply)
		case core.Dispatch:
			f.dispatch(n, a, reply)
		}
	}
}

func (f *fleet) send(from *leaveNode, a core.Send) {
	if m, ok := a.Msg.(msg.GrantResponse); ok && m.Decision.Kind == placement.Granted {
		f.granted = append(f.granted, m)
	}
	delay := linkTime
	if f.now.Before(f.slow) { // a link that stalls and delivers later
		delay = 4 * time.Second
	}
	if _, ok := a.Msg.(msg.GrantRequest); ok && f.asks[from.name].To == "" {
		f.asks[from.name] = a
	}
	for _, to := range f.nodes {
		if to.name == a.To {
			boot := to.boot
			f.in(delay, func() {
				if to.boot == boot {
					f.give(to, core.PeerMessage{From: from.name, Msg: a.Msg})
				}
			})
		}
	}
}

func (f *fleet) worker(name string) *worker {
	for _, w := range f.workers {
		if w.member.Name == name {
			return w
		}
	}
	return nil
}

func (f *fleet) poll(a core.Poll, reply func(time.Duration, core.Event)) {
	w := f.worker(a.Upstream)
	if f.now.Before(w.mute) {
		reply(pollTimeout, core.PollFailed{Upstream: a.Upstream})
		return
	}
	r := placement.Report{Upstream: a.Upstream, Boot: "1", Leaving: !w.left.IsZero(), Capacity: 100_000, MaxBatch: 2}
	reply(2*linkTime, core.UpstreamReport{Report: r, PolledAt: f.now})
}

// dispatch sends as package upstream does: not after the grant has lapsed.
func (f *fleet) dispatch(n *leaveNode, a core.Dispatch, reply func(time.Duration, core.Event)) {
	failed := core.UpstreamFailed{Request: a.Request, Attempt: a.Attempt, Step: "request", NotFound: a.Resume}
	if f.now.After(a.SendBefore) && !a.SendBefore.IsZero() || a.Resume {
		reply(0, failed)
		return
	}
	w := f.worker(a.Upstream)
	f.sent++
	w.news++
	if after := f.now.Sub(w.left); !w.left.IsZero() && after > noNewWork {
		f.late = fmt.Sprintf("%s sent %s new work %s after it began to leave", n.name, a.Upstream, after)
	}
	switch {
	case f.now.Before(w.lame):
		failed.Sent = true
		reply(linkTime, failed)
	case a.Engine:
		reply(runsFor, core.UpstreamEnd{Request: a.Request, Attempt: a.Attempt, Reason: "stop"})
	default:
		reply(runsFor, core.UpstreamResponse{Request: a.Request, Attempt: a.Attempt, Status: 200})
	}
}

// ask brings some generations, calls and bookings to an entry.
func (f *fleet) ask(n *leaveNode, count int) {
	for range count {
		n.asked++
		req := core.CallerRequest{ID: fmt.Sprintf("%s:%d:%d", n.name, n.boot, n.asked), APIKey: "k", Prompt: 10, MaxTokens: 100}
		switch n.asked % 3 {
		case 0:
			req.Service, req.NotRepeatable, req.IdempotencyKey, req.BodyHash = "desk", true, req.ID, "h"
		case 1:
			req.Service = "desk"
		default:
			req.Model = "m"
		}
		f.give(n, req)
	}
}

// Steps of an order.
const (
	stepLeave = iota
	stepAsk
	stepFreezeNode
	stepKillHome
	stepMute
	stepLame
	stepStall
	stepListLag
	leaveSteps
)

func (f *fleet) step(code int) {
	n := f.nodes[code/leaveSteps%len(f.nodes)]
	w := f.workers[code/leaveSteps%len(f.workers)]
	until := f.now.Add(time.Duration(1+code/100%6) * time.Second)
	switch code % leaveSteps {
	case stepLeave:
		w.left = f.now
		f.in(8*time.Second, func() { w.left = time.Time{} })
	case stepAsk:
		f.ask(n, 1+code/100%20)
	case stepFreezeNode:
		n.frozen = until
	case stepKillHome:
		f.start(n)
	case stepMute:
		w.mute = until
	case stepLame:
		w.lame = until
	case stepStall:
		f.slow = until
	case stepListLag:
		f.lags = until
	}
}
