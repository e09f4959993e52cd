// Package trial measures placement policies in virtual time: fake engines,
// seeded workloads, the policies that an operator would otherwise run, and a
// runner that gives the same figures for the same seed. It is a load tool for
// decisions; it has no sockets and no clock.
package trial

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/placement"
)

const (
	// hop is the time that a message takes between two processes.
	hop = 1500 * time.Microsecond
	// pollEvery is how often each engine's load is read.
	pollEvery = 250 * time.Millisecond
	// tickEvery is how often a policy may act of its own accord.
	tickEvery = 50 * time.Millisecond
	// runMost ends a run that does not come to an end.
	runMost = 30 * time.Minute
	// retryUnplaced is how long a request waits that no engine could take.
	retryUnplaced = 250 * time.Millisecond
)

// Policy decides where requests run. Its methods are called in virtual time.
type Policy interface {
	// Arrive takes a request that has come to its entry.
	Arrive(r *Request)
	// Report takes an engine's lagging report.
	Report(engine int, r placement.Report)
	// Ended tells that an attempt has ended; whole is false if it was lost.
	Ended(r *Request, id string, engine, tokens int, whole bool)
	// Tick tells that time has passed.
	Tick()
}

// Maker builds a policy for a run.
type Maker struct {
	Name string
	Make func(*Run) Policy
}

// Run is one run of a workload under a policy.
type Run struct {
	work    Workload
	policy  Policy
	engines []*engine
	byName  map[string]int
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	measure *measure
	open    int
	// live holds the attempts that have been sent to an engine.
	live map[string]*generation
	// lagged holds each engine's reports that are not out yet.
	lagged [][]placement.Report
	// unended holds the requests that have no outcome yet.
	unended map[*Request]bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1].do = nil
	*h = old[:len(old)-1]
	return last
}

// at schedules a call.
func (r *Run) at(when time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: when, seq: r.seq, do: do})
}

func (r *Run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// Play runs a workload under a policy and returns its figures.
func Play(w Workload, m Maker, seed uint64) Result {
	r := &Run{
		work: w, byName: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 1)),
		measure: newMeasure(m.Name), live: map[string]*generation{}, lagged: make([][]placement.Report, len(w.Engines)),
		unended: map[*Request]bool{},
	}
	for i, spec := range w.Engines {
		name := fmt.Sprintf("engine-%02d", i)
		r.engines = append(r.engines, newEngine(r, i, name, spec))
		r.byName[name] = i
	}
	r.policy = m.Make(r)
	r.schedule(w.Requests(seed))
	for len(r.events) > 0 && r.open > 0 && r.now < runMost {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	for _, e := range r.engines {
		r.measure.result.Preemptions += e.preemptions
	}
	r.measure.result.Unanswered = r.open
	r.endRest()
	return r.measure.finish(w.Length)
}

func (r *Run) schedule(requests []*Request) {
	r.open = len(requests)
	for i := range r.engines {
		r.poll(i)
	}
	r.at(tickEvery, r.tick)
	for _, q := range requests {
		r.unended[q] = true
		r.at(q.At+hop, func() { r.arrive(q) })
	}
	r.at(r.work.Length, r.countBacklog)
	if r.work.Leaving.Every > 0 {
		r.at(r.work.Leaving.First, r.depart)
	}
	if r.work.Failing.Every > 0 {
		r.at(r.work.Failing.First, r.turnFailing)
	}
	if r.work.Cordoning.For > 0 {
		r.at(r.work.Cordoning.First, r.cordon)
	}
	if r.work.Crashes.Every > 0 {
		r.at(r.work.Crashes.First, r.crash)
	}
	if r.work.Slowing.Every > 0 {
		r.at(r.work.Slowing.First, r.turnSlow)
	}
	if r.work.Shutdown.At > 0 {
		r.at(r.work.Shutdown.At, r.shutDown)
	}
	if r.work.EntryLoss.At > 0 {
		r.at(r.work.EntryLoss.At, r.loseEntries)
	}
	if r.work.ReclaimAt > 0 {
		r.at(r.work.ReclaimAt, func() { r.engines[0].leaving = true })
		r.at(r.work.ReclaimAt+reclaimNotice, func() { r.engines[0].reclaim(LostLeaving) })
	}
}

// endRest ends the requests that have no outcome when the run is over.
func (r *Run) endRest() {
	byNumber := func(a, b *Request) int { return a.Number - b.Number }
	for _, q := range slices.SortedFunc(maps.Keys(r.unended), byNumber) {
		r.measure.result.Worth.end(r.now, q, Unended)
	}
}

// end enters a request's fate; it has an outcome now.
func (r *Run) end(q *Request, f Fate) {
	if !r.unended[q] {
		return
	}
	delete(r.unended, q)
	r.open--
	r.measure.result.Worth.end(r.now, q, f)
}

func (r *Run) countBacklog() {
	started := 0
	for _, g := range r.live {
		if g.last > 0 {
			started++
		}
	}
	r.measure.result.Backlog = r.open - started
}

func (r *Run) tick() {
	r.policy.Tick()
	r.after(tickEvery, r.tick)
}

// poll reads an engine's load; what comes out is ReportLag old, but whether
// the engine leaves is known at once.
func (r *Run) poll(i int) {
	e := r.engines[i]
	if e.dead {
		return
	}
	r.lagged[i] = append(r.lagged[i], e.report())
	if behind := int(r.work.ReportLag / pollEvery); len(r.lagged[i]) > behind+1 {
		r.lagged[i] = r.lagged[i][1:]
	}
	report := r.lagged[i][0]
	report.Leaving = e.leaving
	r.policy.Report(i, report)
	r.after(pollEvery, func() { r.poll(i) })
}

// dispatch sends a new attempt of a request to an engine.
func (r *Run) dispatch(q *Request, id string, engine, priority int) {
	g := &generation{req: q, id: id, engine: engine, priority: priority}
	r.live[id] = g
	r.after(hop, func() {
		switch e := r.engines[engine]; {
		case r.live[id] != g: // its instance has died meanwhile
		case e.dead:
			r.lost(g, LostLeaving)
		case !r.fails(g):
			e.submit(g)
		}
	})
}

// nextAttempt names a new attempt of a request.
func (q *Request) nextAttempt() string {
	q.tries++
	return fmt.Sprintf("%s/%d", q.ID, q.tries)
}

func (r *Run) finished(g *generation) {
	if g.abandoned {
		return
	}
	delete(r.live, g.id)
	r.open--
	delete(r.unended, g.req)
	r.measure.done(r.now, g)
	r.policy.Ended(g.req, g.id, g.engine, g.tokens, true)
}

// lost ends an attempt whose engine died. Without a token out, or if it may run
// again, the request is placed again; else its answer stays partial.
func (r *Run) lost(g *generation, f Fate) {
	if g.abandoned {
		return
	}
	delete(r.live, g.id)
	r.policy.Ended(g.req, g.id, g.engine, g.tokens, false)
	if g.tokens > 0 && !r.mayRepeat(g.req) {
		r.measure.result.Partial++
		r.end(g.req, f)
		return
	}
	r.after(hop, func() { r.policy.Arrive(g.req) })
}

// mayRepeat reports whether a request that was lost is sent again.
func (r *Run) mayRepeat(q *Request) bool { return q.Repeatable && q.tries <= 1 }

// refuse tells a caller that its request was not run and when to come back.
func (r *Run) refuse(q *Request, retryAfter time.Duration) {
	r.measure.result.Refused++
	if r.now-q.asked > 4*hop {
		r.measure.result.Late++
	}
	if !r.work.Return || retryAfter <= 0 {
		r.end(q, TurnedAway)
		return
	}
	if q.returns == 0 {
		r.measure.result.Returned++
	}
	q.returns++
	r.after(retryAfter, func() {
		q.asked = r.now
		r.after(hop, func() { r.policy.Arrive(q) })
	})
}

// beginner is a policy that hears of first tokens.
type beginner interface{ Began(g *generation) }

// began tells the policy that a first token has come.
func (r *Run) began(g *generation) {
	if p, ok := r.policy.(beginner); ok && !g.abandoned {
		p.Began(g)
	}
}
