// Package streams proves what callers are promised about answers: every token
// once, in order, from one generation, to the right caller; requests that crash
// upstreams are stopped; retries stay within their budgets. The properties
// drive core.Instance.Handle through fakes with virtual time, in orders that
// gopter draws and shrinks; the other tests use real sockets.
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

const worldConfig = `deployment:
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

// world is a few instances with fakes for everything round them. Each channel
// is a queue whose events arrive in order; the order between channels is free.
type world struct {
	now       time.Time
	instances map[string]*core.Instance
	names     []string
	engines   map[string]*fakeEngine
	channels  map[string][]func()
	table     *memtable.Table
	objects   map[string][]byte
	callers   map[string]*caller // by request id
	all       []*caller
	counts    map[string]int
	ids       int
	crashes   int
	// loses drops messages between instances.
	loses  func(msg.Message) bool
	faults []string
}

// link is one connection from an instance to an engine.
type link struct {
	channel  string
	instance string
	d        core.Dispatch
	endless  bool
}

// caller is one caller with its present connection.
type caller struct {
	key, body, entry, request string
	stream, poison            bool
	tokens                    []string
	lastID                    string
	text                      string
	outcome                   core.Outcome
	reason                    string
	retryAfter                time.Duration
	resumeAt                  time.Time
	ended                     bool
	// repeats is how often it comes back after a refusal, again is set while
	// it waits to.
	repeats int
	again   bool
}

func newWorld(instances, engines int, spend string) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), instances: map[string]*core.Instance{}, engines: map[string]*fakeEngine{},
		channels: map[string][]func(){}, table: memtable.New(), objects: map[string][]byte{},
		callers: map[string]*caller{}, counts: map[string]int{},
	}
	text := fmt.Sprintf(worldConfig, config.HashKey("depot-key"), spend, config.HashKey("press-key"))
	for n := range engines {
		name := fmt.Sprintf("engine-%d", n)
		w.engines[name] = &fakeEngine{name: name, gens: map[string]*generation{}}
		text += fmt.Sprintf("  - {name: %s, service: assistant, data_centre: kochi-a}\n", name)
	}
	w.publish(text)
	for n := range instances {
		w.start(fmt.Sprintf("entry-%d", n))
	}
	w.settle(2 * time.Second)
	w.warm()
	return w
}

// warm makes the home of the pool learn of its upstreams: one that has just
// begun refuses until the first reports are in.
func (w *world) warm() {
	before := len(w.all)
	for range 2 {
		w.ask(w.names[0], "press-key", "warm", false)
		w.settleAll()
	}
	w.all = w.all[:before]
}

func (w *world) publish(text string) {
	cfg, err := config.Parse([]config.File{{Name: "world.yaml", Data: []byte(text)}})
	if err != nil {
		panic(err)
	}
	object, hash, err := cfg.Encode()
	if err != nil {
		panic(err)
	}
	w.objects[hash] = object
	w.table.Write(table.Write{Key: core.ConfigRow, Value: fmt.Appendf(nil, `{"number":1,"hash":%q}`, hash)})
}

func (w *world) member(name string) membership.Member {
	return membership.Member{
		Name: name, Role: membership.RoleEntry, DataCentre: "kochi-a", State: membership.Live,
		Address: name + ":1", PeerAddress: name + ":2",
	}
}

func (w *world) start(name string) {
	w.names = append(w.names, name)
	w.instances[name] = core.New(core.Options{Self: w.member(name), Boot: "b", Seed: uint64(len(w.names))})
	w.tellList()
}

// kill ends an instance; the list drops it at once and its callers see a cut.
func (w *world) kill(name string) {
	w.names = slices.DeleteFunc(w.names, func(n string) bool { return n == name })
	delete(w.instances, name)
	w.tellList()
	for _, c := range w.all {
		if c.entry == name && !c.ended {
			w.cutCaller(c, false)
		}
	}
}

func (w *world) tellList() {
	var list []membership.Member
	for _, name := range w.names {
		list = append(list, w.member(name))
	}
	for name := range w.engines {
		list = append(list, membership.Member{Name: name, Role: "assistant", DataCentre: "kochi-a", State: membership.Live, Address: name})
	}
	for _, name := range w.names {
		w.handle(name, core.InstanceList{Members: list})
	}
}

func (w *world) handle(name string, ev core.Event) {
	inst := w.instances[name]
	if inst == nil {
		return
	}
	for _, a := range inst.Handle(w.now, ev) {
		w.do(name, a)
	}
}

func (w *world) later(channel string, f func()) {
	w.channels[channel] = append(w.channels[channel], f)
}

func (w *world) do(name string, a core.Action) {
	switch a := a.(type) {
	case core.Send:
		if w.loses != nil && w.loses(a.Msg) {
			return
		}
		w.later("peer "+name+" "+a.To, func() { w.handle(a.To, core.PeerMessage{From: name, Msg: a.Msg}) })
	case core.Commit:
		res := w.table.Apply(a.Tx)
		w.later("table "+name, func() { w.handle(name, core.CommitResult{Op: a.Op, Result: res}) })
	case core.Read:
		var rows []table.Row
		for _, k := range a.Keys {
			rows = append(rows, w.table.Row(k))
		}
		w.later("table "+name, func() { w.handle(name, core.ReadResult{Op: a.Op, OK: true, Rows: rows}) })
	case core.Fetch:
		w.later("table "+name, func() { w.handle(name, core.ObjectResult{Hash: a.Hash, OK: true, Data: w.objects[a.Hash]}) })
	case core.Poll:
		asked := w.now
		w.later("poll "+name+" "+a.Upstream, func() { w.report(name, a.Upstream, asked) })
	case core.Dispatch:
		w.dispatch(name, a)
	case core.Cancel:
		w.later("cancel "+a.Address, func() { w.engines[a.Address].cancel(a.Attempt) })
	case core.Deliver:
		w.deliver(a)
	case core.Finish:
		w.finish(a)
	case core.Count:
		w.counts[a.Group]++
		w.counts[a.Group+" "+a.Name]++
	}
}

// open lists the channels that have something, in a fixed order.
func (w *world) open(prefix string) []string {
	var out []string
	for name, q := range w.channels {
		if len(q) > 0 && strings.HasPrefix(name, prefix) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (w *world) pop(channel string) {
	q := w.channels[channel]
	w.channels[channel] = q[1:]
	q[0]()
}

// drain lets everything in some channels arrive.
func (w *world) drain(prefix string) {
	for open := w.open(prefix); len(open) > 0; open = w.open(prefix) {
		w.pop(open[0])
	}
}

// tick lets time pass and lets callers that lost their connection come back.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	w.keepAlive()
	for _, name := range slices.Clone(w.names) {
		w.handle(name, core.Tick{})
	}
	for _, c := range w.all {
		if !c.resumeAt.IsZero() && !w.now.Before(c.resumeAt) {
			w.resume(c)
		}
	}
}

// settle lets everything arrive for a while, without further faults.
func (w *world) settle(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); w.tick(50 * time.Millisecond) {
		for open := w.open(""); len(open) > 0; open = w.open("") {
			for _, ch := range open {
				if len(w.channels[ch]) > 0 {
					w.pop(ch)
				}
			}
		}
	}
}

// settleAll lets everything arrive until each caller has its end.
func (w *world) settleAll() {
	const limit = 5 * time.Minute
	waiting := func(c *caller) bool { return !c.ended }
	for end := w.now.Add(limit); w.now.Before(end) && slices.ContainsFunc(w.all, waiting); {
		w.settle(100 * time.Millisecond)
	}
}
