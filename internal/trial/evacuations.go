package trial

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/pool"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// Moving says what a policy without a home does with the generations of an
// engine that leaves.
type Moving string

// Ways of moving.
const (
	// Stay: nothing; they are lost with it.
	Stay Moving = "stay"
	// AllAtOnce: every entry copies all its own at once.
	AllAtOnce Moving = "all_at_once"
)

// aloneMover is a policy in which each entry places by its own tokens in flight,
// or by what the engines report.
type aloneMover struct {
	run    *Run
	moving Moving
	// reported chooses by the engines' lagging reports instead.
	reported bool
	own      []map[int]int
	reports  map[int]placement.Report
	leaving  map[int]bool
}

// Alone places at each entry by its own tokens in flight.
func Alone(m Moving) Maker {
	return Maker{Name: "alone_" + string(m), Make: func(r *Run) Policy { return newAlone(r, m, false) }}
}

// Herd places at each entry by the load that the engines report.
func Herd(m Moving) Maker {
	return Maker{Name: "herd_" + string(m), Make: func(r *Run) Policy { return newAlone(r, m, true) }}
}

func newAlone(r *Run, m Moving, reported bool) *aloneMover {
	a := &aloneMover{run: r, moving: m, reported: reported, reports: map[int]placement.Report{}, leaving: map[int]bool{}}
	for range r.work.Entries {
		a.own = append(a.own, map[int]int{})
	}
	return a
}

// Arrive implements Policy.
func (a *aloneMover) Arrive(q *Request) {
	i := a.choose(q.Entry, -1)
	if i < 0 {
		a.run.after(retryUnplaced, func() { a.Arrive(q) })
		return
	}
	a.own[q.Entry][i] += weight(q)
	a.run.dispatch(q, q.nextAttempt(), i, 0)
}

// weight is what a request counts for, in prompt tokens.
func weight(q *Request) int { return q.Prompt + 3*q.Expected }

func (a *aloneMover) choose(entry, except int) int {
	var living []int
	for i, e := range a.run.engines {
		if !a.leaving[i] && !e.dead && i != except {
			living = append(living, i)
		}
	}
	a.run.rng.Shuffle(len(living), func(x, y int) { living[x], living[y] = living[y], living[x] })
	best, least := -1, 0
	for _, i := range living {
		cost := a.own[entry][i]
		if a.reported {
			cost = a.reports[i].Used + 4000*a.reports[i].Waiting
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// Report implements Policy.
func (a *aloneMover) Report(engine int, r placement.Report) { a.reports[engine] = r }

// Ended implements Policy.
func (a *aloneMover) Ended(q *Request, _ string, engine, _ int, _ bool) {
	a.own[q.Entry][engine] -= weight(q)
}

// Tick implements Policy.
func (a *aloneMover) Tick() {}

// Joined implements leaver.
func (a *aloneMover) Joined(int) {}

// Leaves implements leaver.
func (a *aloneMover) Leaves(engine int) {
	a.leaving[engine] = true
	if a.moving != AllAtOnce {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(a.run.live)) {
		g := a.run.live[id]
		if g.engine != engine {
			continue
		}
		to := a.choose(g.req.Entry, engine)
		if to < 0 {
			continue
		}
		a.run.copyRun(g, to, func(ok bool) {
			if ok {
				a.run.finishMove(g, func(ok bool) {
					if ok {
						a.own[g.req.Entry][engine] -= weight(g.req)
						a.own[g.req.Entry][to] += weight(g.req)
					}
				})
			}
		})
	}
}

// poolHome runs the real home of a pool, with the delay of messages between it
// and the entries.
type poolHome struct {
	run       *Run
	home      *pool.Home
	listed    map[int]*roster.Upstream
	waiting   map[string]*Request
	announced time.Duration
}

// PoolHome is the project's own home of a pool; moves turns its moves on.
func PoolHome(moves bool) Maker {
	name := "home"
	if !moves {
		name = "home_stay"
	}
	return Maker{Name: name, Make: func(r *Run) Policy {
		l := r.work.Links
		p := &poolHome{run: r, listed: map[int]*roster.Upstream{}, waiting: map[string]*Request{}}
		p.home = pool.NewHome("pool", route.Engine{
			Slots: r.work.Engines[0].MaxBatch, MemoryToken: r.work.Engines[0].Capacity,
			TokenBytes: l.TokenBytes, LinkMbps: l.Mbps, Moves: moves, EventTokens: 1,
		})
		for i := range r.engines {
			p.Joined(i)
		}
		return p
	}}
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
	p.home.Sync(p.now(), p.now(), list)
	p.act()
}

// Joined implements leaver.
func (p *poolHome) Joined(i int) {
	e := p.run.engines[i]
	p.listed[i] = &roster.Upstream{Entry: roster.Entry{
		ID: e.name, Service: "pool", Address: e.name, Slots: e.spec.MaxBatch,
		DataCentre: fmt.Sprintf("dc-%d", i%max(p.run.work.Links.DataCentres, 1)),
	}}
	p.sync()
}

// Leaves implements leaver.
func (p *poolHome) Leaves(i int) {
	p.listed[i].LeavingSince = p.now()
	p.sync()
}

// entry is the one entry of a trial's requests.
var entry = pool.Entry{Name: "entry"}

// Arrive implements Policy.
func (p *poolHome) Arrive(q *Request) {
	id := q.nextAttempt()
	p.waiting[id] = q
	p.run.after(hop, func() {
		p.home.Ask(p.now(), entry, msg.GrantAsk{Pool: "pool", Ask: p.ask(q, id)})
		p.act()
	})
}

func (p *poolHome) ask(q *Request, id string) placement.Ask {
	return placement.Ask{
		Attempt: id, Org: q.Org, Prompt: q.Prompt, MaxOutput: q.MaxOutput, Expected: q.Expected, MaxWait: p.run.work.MaxWait,
	}
}

// Report implements Policy: the home goes by the list and the entries' words.
func (p *poolHome) Report(int, placement.Report) {}

// Ended implements Policy.
func (p *poolHome) Ended(_ *Request, id string, engine, tokens int, whole bool) {
	upstream := p.run.engines[engine].name
	p.run.after(hop, func() {
		p.home.End(p.now(), msg.GrantEnd{Pool: "pool", Attempt: id, Upstream: upstream, Tokens: tokens, Failed: !whole})
		p.act()
	})
}

// Tick implements Policy.
func (p *poolHome) Tick() {
	p.home.Tick(p.now())
	p.sync()
	if p.run.now-p.announced < pool.AnnounceEvery {
		return
	}
	p.announced = p.run.now
	var running []msg.RunningAttempt
	for _, id := range slices.Sorted(maps.Keys(p.run.live)) {
		g := p.run.live[id]
		running = append(running, msg.RunningAttempt{Ask: p.ask(g.req, id), Upstream: p.run.engines[g.engine].name, Tokens: g.tokens})
	}
	p.home.Announce(p.now(), entry, msg.Announce{Pool: "pool", Running: running})
}

// act carries the home's messages to the entries.
func (p *poolHome) act() {
	for _, o := range p.home.Take() {
		p.run.after(hop, func() { p.deliver(o.Msg) })
	}
}

func (p *poolHome) deliver(m msg.Message) {
	switch m := m.(type) {
	case msg.GrantAnswer:
		q := p.waiting[m.Decision.Attempt]
		if q == nil || m.Decision.Kind == placement.Queued {
			return
		}
		delete(p.waiting, m.Decision.Attempt)
		if m.Decision.Kind == placement.Refused {
			p.run.refuse(q, m.Decision.RetryAfter)
			return
		}
		p.run.dispatch(q, m.Decision.Attempt, p.run.byName[m.Decision.Upstream], m.Decision.Priority)
	case msg.MoveOrder:
		p.move(m)
	}
}

func (p *poolHome) move(m msg.MoveOrder) {
	reply := func(o msg.MoveOutcome) {
		p.run.after(hop, func() {
			p.home.Moved(p.now(), msg.Moved{Pool: "pool", Attempt: m.Attempt, Number: m.Number, Outcome: o})
			p.act()
		})
	}
	g := p.run.live[m.Attempt]
	if g == nil || p.run.engines[g.engine].name != m.From || g.prefill > 0 {
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
