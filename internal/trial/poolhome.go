package trial

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/pool"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// poolHome runs the real home of a pool, with the delay of messages between it
// and the entries.
type poolHome struct {
	run     *Run
	without mechanism.Set
	ways    mechanism.Ways
	home    *pool.Home
	cordons cordon.Set
	listed  map[int]*roster.Upstream
	waiting map[string]*Request
	// announced is when each entry last told what it runs.
	announced []time.Duration
}

// poolName names the pool of a trial.
const poolName = "pool"

// PoolHome is the project's own home of a pool, without some mechanisms, which decides in
// some ways.
func PoolHome(name string, without mechanism.Set, ways mechanism.Ways) Maker {
	return Maker{Name: name, Make: func(r *Run) Policy {
		p := &poolHome{run: r, without: without, ways: ways, listed: map[int]*roster.Upstream{}, announced: make([]time.Duration, r.work.Entries)}
		p.begin()
		for i := range r.engines {
			p.Joined(i)
		}
		return p
	}}
}

// begin starts a home that knows nothing.
func (p *poolHome) begin() {
	l, spec := p.run.work.Links, p.run.work.Engines[0]
	p.waiting = map[string]*Request{}
	p.home = pool.NewHome(poolName, route.Engine{
		Slots: spec.MaxBatch, MemoryToken: spec.Capacity,
		TokenBytes: l.TokenBytes, LinkMbps: l.Mbps, Moves: true, EventTokens: 1, CopyTTL: copyLife,
	}, p.without, p.ways)
}

// Restart implements restarter.
func (p *poolHome) Restart() []*Request {
	var held []*Request
	for _, id := range slices.Sorted(maps.Keys(p.waiting)) {
		held = append(held, p.waiting[id])
	}
	p.begin()
	p.sync()
	return held
}

func (p *poolHome) now() time.Time { return time.Unix(0, int64(p.run.now)) }

// sync gives the home the list of engines.
func (p *poolHome) sync() {
	var list []*roster.Upstream
	for _, i := range slices.Sorted(maps.Keys(p.listed)) {
		if !p.run.engines[i].dead {
			list = append(list, p.listed[i])
		}
	}
	p.home.Sync(p.now(), pool.Listing{Answered: p.now(), Upstreams: list, Cordons: p.cordons})
	p.act()
}

// Cordon implements cordoner.
func (p *poolHome) Cordon(s cordon.Set) {
	p.cordons = s
	p.sync()
}

// dataCentre names the place of an engine or entry.
func (p *poolHome) dataCentre(i int) string {
	return dataCentreName(i % max(p.run.work.Links.DataCentres, 1))
}

func dataCentreName(n int) string { return fmt.Sprintf("dc-%d", n) }

// Joined implements leaver.
func (p *poolHome) Joined(i int) {
	e := p.run.engines[i]
	p.listed[i] = &roster.Upstream{Entry: roster.Entry{
		ID: e.name, Service: poolName, Address: e.name, Slots: e.spec.MaxBatch, DataCentre: p.dataCentre(i),
	}}
	p.sync()
}

// Leaves implements leaver.
func (p *poolHome) Leaves(i int) {
	p.listed[i].LeavingSince = p.now()
	p.sync()
}

// entry is the instance that has a request.
func (p *poolHome) entry(q *Request) pool.Entry {
	return pool.Entry{Name: fmt.Sprintf("entry-%03d", q.Entry), DataCentre: p.dataCentre(q.Entry)}
}

// Arrive implements Policy.
func (p *poolHome) Arrive(q *Request) {
	id := q.nextAttempt()
	p.waiting[id] = q
	p.run.after(hop, func() {
		p.home.Place(p.now(), p.entry(q), msg.GrantRequest{Pool: poolName, Request: p.ask(q, id)})
		p.act()
	})
}

func (p *poolHome) ask(q *Request, id string) placement.Request {
	return placement.Request{
		Attempt: id, Org: q.Account, Prompt: q.Prompt, MaxOutput: q.MaxOutput, Expected: q.Expected, MaxWait: p.run.work.MaxWait, FirstTarget: q.FirstTarget,
	}
}

// Report implements Policy: the home goes by the list and the entries' words.
func (p *poolHome) Report(int, placement.Report) {}

// Ended implements Policy.
func (p *poolHome) Ended(_ *Request, id string, engine, tokens int, whole bool) {
	upstream := p.run.engines[engine].name
	p.run.after(hop, func() {
		p.home.End(p.now(), msg.GrantEnd{Pool: poolName, Attempt: id, Upstream: upstream, Tokens: tokens, Failed: !whole})
		p.act()
	})
}

// Began implements beginner.
func (p *poolHome) Began(g *generation) {
	p.run.after(hop, func() {
		p.home.OnFirstToken(p.now(), msg.FirstToken{Pool: poolName, Attempt: g.id})
		p.act()
	})
}

// Tick implements Policy.
func (p *poolHome) Tick() {
	p.home.Tick(p.now())
	p.sync()
	p.announce()
}

// announce lets the entries that are due tell the home what they run.
func (p *poolHome) announce() {
	running := map[int][]*generation{}
	for _, id := range slices.Sorted(maps.Keys(p.run.live)) {
		g := p.run.live[id]
		running[g.req.Entry] = append(running[g.req.Entry], g)
	}
	for _, entry := range slices.Sorted(maps.Keys(running)) {
		list := running[entry]
		if p.run.now-p.announced[entry] < pool.AnnouncePause(len(list)) {
			continue
		}
		p.announced[entry] = p.run.now
		m := msg.Announce{Pool: poolName}
		for _, g := range list {
			m.Running = append(m.Running, msg.RunningAttempt{Request: p.ask(g.req, g.id), Upstream: p.run.engines[g.engine].name, Tokens: g.tokens, Pace: g.pace()})
		}
		from := p.entry(list[0].req)
		p.run.after(hop, func() { p.home.Announce(p.now(), from, m) })
	}
}

// act carries the home's messages to the entries.
func (p *poolHome) act() {
	for _, o := range p.home.TakeMessages() {
		p.run.after(hop, func() { p.deliver(o.Msg) })
	}
}

func (p *poolHome) deliver(m msg.Message) {
	switch m := m.(type) {
	case msg.GrantResponse:
		p.answer(m.Decision)
	case msg.MoveOrder:
		p.move(m)
	}
}

// answer takes the home's decision to the entry that asked.
func (p *poolHome) answer(d placement.Decision) {
	q := p.waiting[d.Attempt]
	if q == nil || d.Kind == placement.Queued {
		return
	}
	delete(p.waiting, d.Attempt)
	if d.Kind == placement.Refused {
		p.run.refuse(q, d.RetryAfter)
		return
	}
	p.run.dispatch(q, d.Attempt, p.run.byName[d.Upstream], d.Priority)
}

func (p *poolHome) move(m msg.MoveOrder) {
	reply := func(o msg.MoveOutcome) {
		p.run.after(hop, func() {
			p.home.OnMoveResult(p.now(), msg.MoveResult{Pool: poolName, Attempt: m.Attempt, Number: m.Number, Outcome: o})
			p.act()
		})
	}
	g := p.run.live[m.Attempt]
	if g == nil {
		reply(msg.MoveEnded)
		return
	}
	if p.run.engines[g.engine].name != m.From || g.prefill > 0 {
		p.run.measure.result.NoRun++
		reply(msg.MoveNoRun)
		return
	}
	p.run.copyRun(g, p.run.byName[m.To], func(ok bool) {
		if !ok {
			reply(msg.MoveNoRoom)
			return
		}
		p.run.finishMove(g, func(ok bool) {
			if ok {
				reply(msg.MoveDone)
				return
			}
			reply(msg.MoveFailed)
		})
	})
}
