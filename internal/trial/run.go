// Package trial simulates placement policies in virtual time and measures them. It contains
// simulated engines, seeded workloads, the policies that an operator would otherwise run, and
// a runner that gives the same results for the same seed. It tests decisions under load and
// uses neither sockets nor the wall clock.
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
	// pollInterval is the interval at which each engine's load is read.
	pollInterval = 250 * time.Millisecond
	// tickInterval is the interval at which Policy.Tick is called.
	tickInterval = 50 * time.Millisecond
	// maxRunTime is the virtual time after which a run is stopped with requests still open.
	maxRunTime = 30 * time.Minute
	// placementRetryInterval is how long the entry waits before it tries again to place a
	// request that no engine could take.
	placementRetryInterval = 250 * time.Millisecond
)

// Policy decides where requests run. Its methods are called in virtual time.
type Policy interface {
	// Arrive handles a request that has arrived at its entry.
	Arrive(r *Request)
	// Report handles an engine's load report, which is delayed by Workload.ReportLag.
	Report(engine int, r placement.Report)
	// Ended is called when an attempt has ended; complete is false if it was lost.
	Ended(r *Request, id string, engine, tokens int, complete bool)
	// Tick is called every tickInterval.
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
	seed    uint64
	now     time.Duration
	events  eventHeap
	seq     int
	measure *measure
	// openCount is the number of requests without an outcome.
	openCount int
	// live holds the attempts that were sent to an engine and have not ended, by attempt id.
	live map[string]*generation
	// delayedReports holds, for each engine, the reports that are still being delayed,
	// oldest first.
	delayedReports [][]placement.Report
	// openRequests holds the requests without an outcome.
	openRequests map[*Request]bool
}

// event is a call at a point in virtual time; seq keeps the order of calls at the same time.
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

// at schedules a call at a point in virtual time.
func (r *Run) at(when time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: when, seq: r.seq, do: do})
}

// after schedules a call after a delay.
func (r *Run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// Play runs a workload under a policy and returns the measured results.
func Play(w Workload, m Maker, seed uint64) Result {
	r := &Run{
		work: w, byName: map[string]int{}, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		measure: newMeasure(m.Name), live: map[string]*generation{}, delayedReports: make([][]placement.Report, len(w.Engines)),
		openRequests: map[*Request]bool{},
	}
	for i, spec := range w.Engines {
		name := fmt.Sprintf("engine-%02d", i)
		r.engines = append(r.engines, newEngine(r, i, name, spec))
		r.byName[name] = i
	}
	r.policy = m.Make(r)
	r.schedule(w.Requests(seed))
	for len(r.events) > 0 && r.openCount > 0 && r.now < maxRunTime {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	for _, e := range r.engines {
		r.measure.result.Preemptions += e.preemptions
	}
	r.measure.result.Unanswered = r.openCount
	r.endOpenRequests()
	return r.measure.finish(w.Length)
}

// schedule schedules the polls, the ticks, the requests and the workload's faults.
func (r *Run) schedule(requests []*Request) {
	r.openCount = len(requests)
	for i := range r.engines {
		r.poll(i)
		r.startSpells(r.engines[i])
	}
	r.at(tickInterval, r.tick)
	for _, q := range requests {
		r.openRequests[q] = true
		r.at(q.At+hop, func() { r.arrive(q) })
		if r.work.Callers.Retries {
			r.at(q.At, func() { r.awaitFirstToken(q) })
		}
	}
	r.at(r.work.Length, r.countBacklog)
	if r.work.Leaving.Every > 0 {
		r.at(r.work.Leaving.First, r.giveNotice)
	}
	if r.work.Failing.Every > 0 {
		r.at(r.work.Failing.First, r.startFailing)
	}
	if r.work.Cordoning.For > 0 {
		r.at(r.work.Cordoning.First, r.cordonDataCentre)
	}
	if r.work.Crashes.Every > 0 {
		r.at(r.work.Crashes.First, r.crashEngines)
	}
	if r.work.Slowing.Every > 0 {
		r.at(r.work.Slowing.First, r.startSlowing)
	}
	if r.work.Shutdown.At > 0 {
		r.at(r.work.Shutdown.At, r.shutDown)
	}
	if r.work.EntryLoss.At > 0 {
		r.at(r.work.EntryLoss.At, r.loseEntries)
	}
	if r.work.HomeLoss.At > 0 {
		r.at(r.work.HomeLoss.At, r.loseHome)
	}
	if r.work.ReclaimAt > 0 {
		r.at(r.work.ReclaimAt, func() { r.engines[0].leaving = true })
		r.at(r.work.ReclaimAt+reclaimNotice, func() { r.engines[0].kill(LostLeaving) })
	}
}

// endOpenRequests records the fate Unended for requests without an outcome at the end of
// the run.
func (r *Run) endOpenRequests() {
	byNumber := func(a, b *Request) int { return a.Number - b.Number }
	for _, q := range slices.SortedFunc(maps.Keys(r.openRequests), byNumber) {
		r.measure.result.Worth.add(r.now, q, Unended)
	}
}

// end records the fate of an open request and closes it.
func (r *Run) end(q *Request, f Fate) {
	if !r.openRequests[q] {
		return
	}
	delete(r.openRequests, q)
	r.openCount--
	r.measure.result.Worth.add(r.now, q, f)
	r.recordEnd(q, f)
}

// countBacklog records how many open requests have no first token.
func (r *Run) countBacklog() {
	started := 0
	for _, g := range r.live {
		if g.lastTokenAt > 0 {
			started++
		}
	}
	r.measure.result.Backlog = r.openCount - started
}

func (r *Run) tick() {
	r.policy.Tick()
	r.after(tickInterval, r.tick)
}

// poll reads an engine's load and passes the policy a report that is ReportLag old. Only
// the field Leaving of that report is current.
func (r *Run) poll(i int) {
	e := r.engines[i]
	if e.dead {
		return
	}
	r.delayedReports[i] = append(r.delayedReports[i], e.report())
	if behind := int(r.work.ReportLag / pollInterval); len(r.delayedReports[i]) > behind+1 {
		r.delayedReports[i] = r.delayedReports[i][1:]
	}
	report := r.delayedReports[i][0]
	report.Leaving = e.leaving
	r.policy.Report(i, report)
	r.after(pollInterval, func() { r.poll(i) })
}

// dispatch sends a new attempt of a request to an engine.
func (r *Run) dispatch(q *Request, id string, engine, priority int) {
	g := &generation{req: q, id: id, engine: engine, priority: priority}
	r.live[id] = g
	r.after(hop, func() {
		switch e := r.engines[engine]; {
		case r.live[id] != g: // the attempt has ended meanwhile, e.g. its entry has died
		case e.dead:
			r.endLost(g, LostLeaving)
		case !r.failIfChosen(g):
			e.submit(g)
		}
	})
}

// nextAttempt returns the id of a new attempt of a request.
func (q *Request) nextAttempt() string {
	q.attempts++
	return q.attemptID()
}

// attemptID returns the id of the current attempt of a request.
func (q *Request) attemptID() string { return fmt.Sprintf("%s/%d", q.ID, q.attempts) }

// finished handles a complete generation.
func (r *Run) finished(g *generation) {
	if g.abandoned {
		return
	}
	delete(r.live, g.id)
	r.openCount--
	delete(r.openRequests, g.req)
	r.measure.done(r.now, g)
	r.recordEnd(g.req, g.fate())
	r.policy.Ended(g.req, g.id, g.engine, g.tokens, true)
}

// endLost ends an attempt whose engine died. If the attempt produced no token or the request
// may be repeated, the request is placed again; otherwise its response stays partial.
func (r *Run) endLost(g *generation, f Fate) {
	if g.abandoned {
		return
	}
	delete(r.live, g.id)
	r.policy.Ended(g.req, g.id, g.engine, g.tokens, false)
	if g.tokens > 0 && !r.mayRepeat(g.req) {
		r.measure.result.Partial++
		r.measure.kind(g.req).Lost++
		r.end(g.req, f)
		return
	}
	r.after(hop, func() { r.policy.Arrive(g.req) })
}

// mayRepeat reports whether a lost request is sent again: it is repeatable and has had at
// most one attempt.
func (r *Run) mayRepeat(q *Request) bool { return q.Repeatable && q.attempts <= 1 }

// refuse refuses a request. If Workload.Return is set and a retry delay is given, the caller
// sends the request again after that delay.
func (r *Run) refuse(q *Request, retryAfter time.Duration) {
	r.measure.result.Refused++
	r.measure.kind(q).Refused++
	if r.now-q.lastSent > 4*hop {
		r.measure.result.Late++
	}
	if r.work.Callers.Retries {
		r.refuseCaller(q, retryAfter)
		return
	}
	if !r.work.Return || retryAfter <= 0 {
		r.end(q, TurnedAway)
		return
	}
	if q.returnCount == 0 {
		r.measure.result.Returned++
	}
	q.returnCount++
	r.after(retryAfter, func() {
		q.lastSent = r.now
		r.after(hop, func() { r.policy.Arrive(q) })
	})
}

// firstTokenObserver is a policy that is notified of the first token of each attempt.
type firstTokenObserver interface{ Began(g *generation) }

// notifyFirstToken notifies the policy that a generation has produced its first token.
func (r *Run) notifyFirstToken(g *generation) {
	if p, ok := r.policy.(firstTokenObserver); ok && !g.abandoned {
		p.Began(g)
	}
}
