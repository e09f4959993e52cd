// Package streams tests the guarantees to callers about responses: every token
// arrives once, in order, from one generation, at the right caller; requests that
// crash upstreams are stopped; retries stay within their budgets. The tests without
// sockets drive core.Instance.Handle through fakes with virtual time; the property
// tests do so with sequences of steps that gopter generates and shrinks. The tests in
// input_test.go and in files named *_sockets_test.go use real sockets.
package streams

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/memtable"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const simulationConfig = `deployment:
  name: world
  regions: {kerala-south: [kochi-a]}
  stream_key: a-key-that-is-long-enough-to-sign-with
  resume_window: 5s
organisations:
  - {name: depot, key_sha256: [%s], services: [assistant], limits: {spend: %s, max_output_tokens: 64, concurrent: 512, requests_per_second: 5000, tokens_per_second: 100000}}
  - {name: press, key_sha256: [%s], services: [assistant], limits: {spend: 1000.00, max_output_tokens: 64}}
models: [{name: m, prompt_price: 0.10, output_price: 1.00}]
services: [{name: assistant, kind: engine, model: m}]
upstreams:
`

// simulation is a set of instances with fakes for all other systems. Each channel
// is a queue of events that are delivered in order; events of different channels
// may be delivered in any order.
type simulation struct {
	now          time.Time
	instances    map[string]*core.Instance
	names        []string // names of the live instances
	engines      map[string]*fakeEngine
	channels     map[string][]func()
	table        *memtable.Table
	objects      map[string][]byte
	callers      map[string]*caller // by request id
	allCallers   []*caller
	counts       map[string]int // counters by group, and by group and name
	requestCount int            // request ids used so far
	crashes      int            // engine crashes
	// dropMessage, unless nil, reports whether a message between instances is lost.
	dropMessage func(msg.Message) bool
	violations  []string // broken guarantees found while callers got events
}

// link is one connection from an instance to an engine, opened by d. endless is set
// if its generation runs until it is cancelled.
type link struct {
	channel  string
	instance string
	d        core.Dispatch
	endless  bool
}

// caller is one caller with its present connection to an entry; request is "" while
// it has none.
type caller struct {
	key, body, entry, request string
	stream, poison            bool
	tokens                    []string
	lastID                    string // id of the last event received
	text                      string
	outcome                   core.Outcome
	reason                    string
	retryAfter                time.Duration
	reconnectAt               time.Time
	ended                     bool
	// retriesLeft is the number of retries left after refusals; retryPending is
	// set while the caller waits for its next retry.
	retriesLeft  int
	retryPending bool
}

func newSimulation(instances, engines int, spend string) *simulation {
	sim := &simulation{
		now: time.Unix(1_800_000_000, 0), instances: map[string]*core.Instance{}, engines: map[string]*fakeEngine{},
		channels: map[string][]func(){}, table: memtable.New(), objects: map[string][]byte{},
		callers: map[string]*caller{}, counts: map[string]int{},
	}
	text := fmt.Sprintf(simulationConfig, config.HashKey("depot-key"), spend, config.HashKey("press-key"))
	for n := range engines {
		name := fmt.Sprintf("engine-%d", n)
		sim.engines[name] = &fakeEngine{name: name, gens: map[string]*generation{}}
		text += fmt.Sprintf("  - {name: %s, service: assistant, data_centre: kochi-a}\n", name)
	}
	sim.publish(text)
	for n := range instances {
		sim.start(fmt.Sprintf("entry-%d", n))
	}
	sim.runFor(2 * time.Second)
	sim.warmUp()
	return sim
}

// warmUp makes the home of the pool poll its upstreams: a home that has just started
// refuses requests until it has received the first reports.
func (sim *simulation) warmUp() {
	before := len(sim.allCallers)
	for range 2 {
		sim.submit(sim.names[0], "press-key", "warm", false)
		sim.runUntilEnded()
	}
	sim.allCallers = sim.allCallers[:before]
}

// publish writes a configuration to the table and the object store as version 1.
func (sim *simulation) publish(text string) {
	cfg, err := config.Parse([]config.File{{Name: "world.yaml", Data: []byte(text)}})
	if err != nil {
		panic(err)
	}
	object, hash, err := cfg.Encode()
	if err != nil {
		panic(err)
	}
	sim.objects[hash] = object
	sim.table.Write(table.Write{Key: core.ConfigRow, Value: fmt.Appendf(nil, `{"number":1,"hash":%q}`, hash)})
}

func (sim *simulation) member(name string) membership.Member {
	return membership.Member{
		Name: name, Role: membership.RoleEntry, DataCentre: "kochi-a", State: membership.Live,
		Address: name + ":1", PeerAddress: name + ":2",
	}
}

func (sim *simulation) start(name string) {
	sim.names = append(sim.names, name)
	sim.instances[name] = core.New(core.Options{Self: sim.member(name), Boot: "b", Seed: uint64(len(sim.names))})
	sim.announceList()
}

// kill stops an instance. The instance list drops it immediately, and the connections
// of its callers break.
func (sim *simulation) kill(name string) {
	sim.names = slices.DeleteFunc(sim.names, func(n string) bool { return n == name })
	delete(sim.instances, name)
	sim.announceList()
	for _, c := range sim.allCallers {
		if c.entry == name && !c.ended {
			sim.disconnect(c, false)
		}
	}
}

func (sim *simulation) announceList() {
	var list []membership.Member
	for _, name := range sim.names {
		list = append(list, sim.member(name))
	}
	for name := range sim.engines {
		list = append(list, membership.Member{Name: name, Role: "assistant", DataCentre: "kochi-a", State: membership.Live, Address: name})
	}
	for _, name := range sim.names {
		sim.handle(name, core.InstanceList{Members: list})
	}
}

func (sim *simulation) handle(name string, ev core.Event) {
	inst := sim.instances[name]
	if inst == nil {
		return
	}
	for _, a := range inst.Handle(sim.now, ev) {
		sim.perform(name, a)
	}
}

// enqueue adds an event to a channel.
func (sim *simulation) enqueue(channel string, f func()) {
	sim.channels[channel] = append(sim.channels[channel], f)
}

// perform carries out an action of an instance; its results are queued.
func (sim *simulation) perform(name string, a core.Action) {
	switch a := a.(type) {
	case core.Send:
		if sim.dropMessage != nil && sim.dropMessage(a.Msg) {
			return
		}
		sim.enqueue("peer "+name+" "+a.To, func() { sim.handle(a.To, core.PeerMessage{From: name, Msg: a.Msg}) })
	case core.Commit:
		res := sim.table.Apply(a.Tx)
		sim.enqueue("table "+name, func() { sim.handle(name, core.CommitResult{Op: a.Op, Result: res}) })
	case core.Read:
		var rows []table.Row
		for _, k := range a.Keys {
			rows = append(rows, sim.table.Row(k))
		}
		sim.enqueue("table "+name, func() { sim.handle(name, core.ReadResult{Op: a.Op, OK: true, Rows: rows}) })
	case core.Fetch:
		sim.enqueue("table "+name, func() { sim.handle(name, core.ObjectResult{Hash: a.Hash, OK: true, Data: sim.objects[a.Hash]}) })
	case core.Poll:
		polledAt := sim.now
		sim.enqueue("poll "+name+" "+a.Upstream, func() { sim.sendReport(name, a.Upstream, polledAt) })
	case core.Dispatch:
		sim.dispatch(name, a)
	case core.Cancel:
		sim.enqueue("cancel "+a.Address, func() { sim.engines[a.Address].cancel(a.Attempt) })
	case core.Deliver:
		sim.deliver(a)
	case core.Finish:
		sim.finish(a)
	case core.Count:
		sim.counts[a.Group]++
		sim.counts[a.Group+" "+a.Name]++
	}
}

// pending returns the channels with the given prefix that have events, sorted by
// name.
func (sim *simulation) pending(prefix string) []string {
	var names []string
	for name, q := range sim.channels {
		if len(q) > 0 && strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// deliverNext delivers the first event of a channel.
func (sim *simulation) deliverNext(channel string) {
	q := sim.channels[channel]
	sim.channels[channel] = q[1:]
	q[0]()
}

// deliverAll delivers all events of the channels with the given prefix.
func (sim *simulation) deliverAll(prefix string) {
	for open := sim.pending(prefix); len(open) > 0; open = sim.pending(prefix) {
		sim.deliverNext(open[0])
	}
}

// tick advances virtual time by d, sends a tick to every instance, and reconnects
// the callers whose time to reconnect has come.
func (sim *simulation) tick(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.keepAlive()
	for _, name := range slices.Clone(sim.names) {
		sim.handle(name, core.Tick{})
	}
	for _, c := range sim.allCallers {
		if !c.reconnectAt.IsZero() && !sim.now.Before(c.reconnectAt) {
			sim.reconnect(c)
		}
	}
}

// runFor advances virtual time by span and delivers all events, without further
// faults.
func (sim *simulation) runFor(span time.Duration) {
	for end := sim.now.Add(span); sim.now.Before(end); sim.tick(50 * time.Millisecond) {
		for open := sim.pending(""); len(open) > 0; open = sim.pending("") {
			for _, ch := range open {
				if len(sim.channels[ch]) > 0 {
					sim.deliverNext(ch)
				}
			}
		}
	}
}

// runUntilEnded delivers all events until every caller has its outcome, but for at
// most 5 min of virtual time.
func (sim *simulation) runUntilEnded() {
	const limit = 5 * time.Minute
	waiting := func(c *caller) bool { return !c.ended }
	for end := sim.now.Add(limit); sim.now.Before(end) && slices.ContainsFunc(sim.allCallers, waiting); {
		sim.runFor(100 * time.Millisecond)
	}
}
