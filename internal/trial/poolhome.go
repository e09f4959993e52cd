package trial

import (
	"fmt"
	"maps"
	"math"
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

// poolHome runs the production pool.Home, with a message delay between home and entries.
type poolHome struct {
	run     *Run
	without mechanism.Set
	ways    mechanism.Ways
	home    *pool.Home
	cordons cordon.Set
	// listed holds the upstream of each engine by the engine's index.
	listed map[int]*roster.Upstream
	// waiting holds the requests without a decision, by attempt id.
	waiting map[string]*Request
	// lastAnnounced is when each entry last announced its running attempts.
	lastAnnounced []time.Duration
}

// poolName is the name of the only pool, and of its service.
const poolName = "pool"

// PoolHome returns the production pool.Home as a policy, without the given mechanisms
// and with the given ways of deciding.
func PoolHome(name string, without mechanism.Set, ways mechanism.Ways) Maker {
	return Maker{Name: name, Make: func(r *Run) Policy {
		p := &poolHome{run: r, without: without, ways: ways, listed: map[int]*roster.Upstream{}, lastAnnounced: make([]time.Duration, r.work.Entries)}
		p.resetHome()
		for i := range r.engines {
			p.Joined(i)
		}
		return p
	}}
}

// resetHome replaces the home by a new one without any state.
func (p *poolHome) resetHome() {
	l, spec := p.run.work.Links, p.run.work.Engines[0]
	p.waiting = map[string]*Request{}
	p.home = pool.NewHome(poolName, route.Engine{
		Slots: spec.MaxBatch, MemoryToken: spec.Capacity,
		TokenBytes: l.TokenBytes, LinkMbps: l.Mbps, Moves: true, EventTokens: 1, CopyTTL: copyTTL,
	}, p.without, p.ways)
}

// Restart implements restarter.
func (p *poolHome) Restart() []*Request {
	var lost []*Request
	for _, id := range slices.Sorted(maps.Keys(p.waiting)) {
		lost = append(lost, p.waiting[id])
	}
	p.resetHome()
	p.sync()
	return lost
}

func (p *poolHome) now() time.Time { return time.Unix(0, int64(p.run.now)) }

// sync sends the home the list of live engines and the cordons.
func (p *poolHome) sync() {
	var list []*roster.Upstream
	for _, i := range slices.Sorted(maps.Keys(p.listed)) {
		if !p.run.engines[i].dead {
			list = append(list, p.listed[i])
		}
	}
	p.home.Sync(p.now(), pool.Listing{Answered: p.now(), Upstreams: list, Cordons: p.cordons})
	p.sendMessages()
}

// Cordon implements cordonObserver.
func (p *poolHome) Cordon(s cordon.Set) {
	p.cordons = s
	p.sync()
}

// dataCentre returns the name of the data centre of an engine or entry.
func (p *poolHome) dataCentre(i int) string {
	return dataCentreName(i % max(p.run.work.Links.DataCentres, 1))
}

func dataCentreName(n int) string { return fmt.Sprintf("dc-%d", n) }

// Joined implements departureObserver.
func (p *poolHome) Joined(i int) {
	e := p.run.engines[i]
	p.listed[i] = &roster.Upstream{Entry: roster.Entry{
		ID: e.name, Service: poolName, Address: e.name, Slots: e.spec.MaxBatch, DataCentre: p.dataCentre(i), Software: "v1",
	}}
	p.sync()
}

// Leaves implements departureObserver.
func (p *poolHome) Leaves(i int) {
	p.listed[i].LeavingSince = p.now()
	p.sync()
}

// entry returns the entry of a request.
func (p *poolHome) entry(q *Request) pool.Entry {
	return pool.Entry{Name: fmt.Sprintf("entry-%03d", q.Entry), DataCentre: p.dataCentre(q.Entry)}
}

// Arrive implements Policy.
func (p *poolHome) Arrive(q *Request) {
	id := q.nextAttempt()
	p.waiting[id], q.askedAt = q, p.run.now
	p.run.after(hop, func() {
		p.place(q, id)
		p.sendMessages()
	})
}

// place passes a request to the home.
func (p *poolHome) place(q *Request, id string) {
	m := msg.GrantRequest{Pool: poolName, Request: p.placementRequest(q, id)}
	if p.run.work.Callers.Retries {
		p.home.PlaceRanked(p.now(), p.entry(q), msg.RankedGrantRequest{Grant: m, Rank: q.rank, TimeLeft: p.run.timeLeft(q)})
		return
	}
	p.home.Place(p.now(), p.entry(q), m)
}

// CallerLeft implements callerObserver.
func (p *poolHome) CallerLeft(q *Request, id string) {
	delete(p.waiting, id)
	p.run.after(hop, func() {
		p.home.End(p.now(), msg.GrantEnd{Pool: poolName, Attempt: id, CallerDisconnected: true})
		p.sendMessages()
	})
}

func (p *poolHome) placementRequest(q *Request, id string) placement.Request {
	if p.run.work.Callers.Retries {
		return p.limitedRequest(q, id)
	}
	return placement.Request{
		Attempt: id, Org: q.Account, Prompt: q.Prompt, MaxOutput: q.MaxOutput, Expected: q.Expected, MaxWait: p.run.work.MaxWait, FirstTarget: q.FirstTarget,
	}
}

// limitedRequest returns the request of a caller with a time limit.
func (p *poolHome) limitedRequest(q *Request, id string) placement.Request {
	return placement.Request{
		Attempt: id, Org: q.Account, Fingerprint: q.Fingerprint, Prompt: q.Prompt, MaxOutput: q.MaxOutput, Expected: q.Expected,
		MaxWait: min(maxWaitTargets*q.FirstTarget, p.run.timeLeft(q)), FirstTarget: q.FirstTarget,
	}
}

// Report implements Policy. It does nothing: the home uses the list of upstreams and the
// entries' announcements instead of the engines' reports.
func (p *poolHome) Report(int, placement.Report) {}

// Ended implements Policy.
func (p *poolHome) Ended(_ *Request, id string, engine, tokens int, complete bool) {
	upstream := p.run.engines[engine].name
	p.run.after(hop, func() {
		p.home.End(p.now(), msg.GrantEnd{Pool: poolName, Attempt: id, Upstream: upstream, Tokens: tokens, Failed: !complete})
		p.sendMessages()
	})
}

// Began implements firstTokenObserver.
func (p *poolHome) Began(g *generation) {
	p.run.after(hop, func() {
		p.home.OnFirstToken(p.now(), msg.FirstToken{Pool: poolName, Attempt: g.id})
		p.sendMessages()
	})
}

// Stated implements speedObserver.
func (p *poolHome) Stated(engine int, factor float64, age time.Duration) {
	p.home.OnUpstreamSpeed(p.now(), msg.UpstreamSpeed{
		Pool: poolName, Upstream: p.run.engines[engine].name, Percent: int(math.Round(factor * 100)), Age: age,
	})
	p.sendMessages()
}

// Tick implements Policy.
func (p *poolHome) Tick() {
	p.home.Tick(p.now())
	p.sync()
	p.announce()
}

// announce sends the home the running attempts of each entry whose announcement interval has
// passed.
func (p *poolHome) announce() {
	running := map[int][]*generation{}
	for _, id := range slices.Sorted(maps.Keys(p.run.live)) {
		g := p.run.live[id]
		running[g.req.Entry] = append(running[g.req.Entry], g)
	}
	for _, entry := range slices.Sorted(maps.Keys(running)) {
		list := running[entry]
		if p.run.now-p.lastAnnounced[entry] < pool.AnnouncePause(len(list)) {
			continue
		}
		p.lastAnnounced[entry] = p.run.now
		m := msg.Announce{Pool: poolName}
		for _, g := range list {
			m.Running = append(m.Running, msg.RunningAttempt{Request: p.placementRequest(g.req, g.id), Upstream: p.run.engines[g.engine].name, Tokens: g.tokens, Pace: g.pace()})
		}
		from := p.entry(list[0].req)
		p.run.after(hop, func() { p.home.Announce(p.now(), from, m) })
	}
}

// sendMessages delivers the home's messages to the entries, after a delay.
func (p *poolHome) sendMessages() {
	for _, o := range p.home.TakeMessages() {
		p.run.after(hop, func() { p.deliver(o.Msg) })
	}
}

func (p *poolHome) deliver(m msg.Message) {
	switch m := m.(type) {
	case msg.GrantResponse:
		p.applyDecision(m.Decision)
	case msg.MoveOrder:
		p.move(m)
	}
}

// applyDecision handles the home's decision at the entry that requested it. The decision
// Queued is not final and is ignored.
func (p *poolHome) applyDecision(d placement.Decision) {
	q := p.waiting[d.Attempt]
	if q == nil || d.Kind == placement.Queued {
		return
	}
	delete(p.waiting, d.Attempt)
	k := p.run.measure.kind(q)
	k.LongestHold = max(k.LongestHold, p.run.now-q.askedAt)
	q.record.Held = max(q.record.Held, p.run.now-q.lastSent)
	if d.Kind == placement.Refused {
		q.record.HadTurn = q.record.HadTurn || q.record.Refusals == 0 && d.Reason == placement.ReasonDeferred
		p.run.refuse(q, d.RetryAfter)
		return
	}
	engine := p.run.byName[d.Upstream]
	if known := p.run.engines[engine].leavingKnownAt; known > 0 && p.run.now > known+hop {
		p.run.measure.result.ToLeaving++
	}
	p.run.dispatch(q, d.Attempt, engine, d.Priority)
}

// move handles an order to move a generation to another engine, and reports the outcome of
// the move to the home.
func (p *poolHome) move(m msg.MoveOrder) {
	reply := func(o msg.MoveOutcome) {
		p.run.after(hop, func() {
			p.home.OnMoveResult(p.now(), msg.MoveResult{Pool: poolName, Attempt: m.Attempt, Number: m.Number, Outcome: o})
			p.sendMessages()
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
	p.run.copyGeneration(g, p.run.byName[m.To], func(ok bool) {
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
