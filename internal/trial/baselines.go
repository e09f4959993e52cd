package trial

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// engineView is the state of one engine as one entry sees it.
type engineView struct {
	report placement.Report
	// reportedAt is when the report was received.
	reportedAt time.Duration
	// inFlight is the number of this entry's own attempts on the engine.
	inFlight int
	// unreported lists the prompts that were sent to the engine and are too recent to be
	// included in its report; unreportedTokens is the sum of their tokens.
	unreported       []sentPrompt
	unreportedTokens int
}

// sentPrompt is a prompt sent to an engine: the time and the length in tokens.
type sentPrompt struct {
	at     time.Duration
	tokens int
}

func (v *engineView) add(now time.Duration, tokens int) {
	v.unreported = append(v.unreported, sentPrompt{at: now, tokens: tokens})
	v.unreportedTokens += tokens
}

// update stores a report whose data has the given age, and drops the unreported prompts
// that the report already includes.
func (v *engineView) update(now time.Duration, r placement.Report, age time.Duration) {
	v.report, v.reportedAt = r, now
	for len(v.unreported) > 0 && v.unreported[0].at+hop < now-age {
		v.unreportedTokens -= v.unreported[0].tokens
		v.unreported = v.unreported[1:]
	}
}

// takesWork reports whether new attempts may be sent to the engine: it is not leaving, and
// its report is recent enough.
func (v *engineView) takesWork(now time.Duration) bool {
	return !v.report.Leaving && now-v.reportedAt < reportMaxAge
}

// reportMaxAge is the age at which a report becomes too old to be used for placement, as in
// package placement.
const reportMaxAge = 1200 * time.Millisecond

// entryPolicy is a policy without a home: each entry picks an engine immediately from its
// own views.
type entryPolicy struct {
	run   *Run
	views [][]engineView
	// pick returns the index of an engine, or -1 if none takes work.
	pick       func(*entryPolicy, *Request, []engineView) int
	lastPicked int
	// blockEngine maps each prompt block to the engine that last stored it.
	blockEngine map[uint64]int
}

// entryMaker returns the Maker of an entryPolicy.
func entryMaker(name string, pick func(*entryPolicy, *Request, []engineView) int) Maker {
	return Maker{Name: name, Make: func(r *Run) Policy {
		e := &entryPolicy{run: r, pick: pick, blockEngine: map[uint64]int{}, views: make([][]engineView, r.work.Entries)}
		for i := range e.views {
			e.views[i] = make([]engineView, len(r.engines))
		}
		return e
	}}
}

// Arrive implements Policy.
func (e *entryPolicy) Arrive(q *Request) {
	views := e.views[q.Entry]
	i := e.pick(e, q, views)
	if i < 0 {
		e.run.after(placementRetryInterval, func() { e.Arrive(q) })
		return
	}
	views[i].inFlight++
	views[i].add(e.run.now, q.Prompt)
	e.run.dispatch(q, q.nextAttempt(), i, 0)
}

// Report implements Policy.
func (e *entryPolicy) Report(engine int, r placement.Report) {
	for i := range e.views {
		e.views[i][engine].update(e.run.now, r, e.run.work.ReportLag)
	}
	for _, ev := range e.run.engines[engine].cache.takePublished(e.run.now) {
		e.blockEngine[ev.block] = engine
	}
}

// Ended implements Policy.
func (e *entryPolicy) Ended(q *Request, _ string, engine, _ int, _ bool) {
	e.views[q.Entry][engine].inFlight--
}

// Tick implements Policy.
func (e *entryPolicy) Tick() {}

// lowestCost returns the engine with the lowest cost among those that take work, or -1.
// Ties are broken at random.
func (e *entryPolicy) lowestCost(views []engineView, cost func(*engineView) float64) int {
	best, ties := -1, 0
	for i := range views {
		if !views[i].takesWork(e.run.now) {
			continue
		}
		switch {
		case best < 0 || cost(&views[i]) < cost(&views[best]):
			best, ties = i, 1
		case cost(&views[i]) == cost(&views[best]):
			ties++
			if e.run.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func pickRoundRobin(e *entryPolicy, _ *Request, views []engineView) int {
	for range views {
		e.lastPicked++
		if i := e.lastPicked % len(views); views[i].takesWork(e.run.now) {
			return i
		}
	}
	return -1
}

func pickLeastInFlight(e *entryPolicy, _ *Request, views []engineView) int {
	return e.lowestCost(views, func(v *engineView) float64 { return float64(v.inFlight) })
}

// pickTwoChoices draws two engines at random and picks the one with fewer generations as
// reported.
func pickTwoChoices(e *entryPolicy, _ *Request, views []engineView) int {
	load := func(i int) int { return views[i].report.Running + views[i].report.Waiting }
	a, b := e.run.rng.IntN(len(views)), e.run.rng.IntN(len(views))
	if !views[a].takesWork(e.run.now) || views[b].takesWork(e.run.now) && load(b) < load(a) {
		a = b
	}
	if !views[a].takesWork(e.run.now) {
		return pickRoundRobin(e, nil, views)
	}
	return a
}

// memoryCost returns the fraction of an engine's memory in use: as reported, plus an
// estimate for the generations that wait inside the engine, plus the prompts that this
// entry sent since the report.
func memoryCost(v *engineView) float64 {
	waiting := float64(v.report.Waiting) * waitingMemory
	return (float64(v.report.Used+v.unreportedTokens) + waiting) / float64(v.report.Capacity)
}

// waitingMemory is the memory, in tokens, that a baseline assumes for each generation
// that waits inside an engine.
const waitingMemory = 300

func pickLeastMemory(e *entryPolicy, _ *Request, views []engineView) int {
	return e.lowestCost(views, memoryCost)
}

// pickPrefix prefers the engine that has the prompt's prefix cached, unless its memory is
// fuller than that of the emptiest engine by more than the tolerance. The index is built
// from the engines' cache events, as in the router described in the paper on llm-d's
// cache-aware routing.
func pickPrefix(e *entryPolicy, q *Request, views []engineView) int {
	const tolerance = 0.1
	best := pickLeastMemory(e, q, views)
	if best < 0 || len(q.Prefix) == 0 {
		return best
	}
	i, ok := e.blockEngine[q.Prefix[len(q.Prefix)-1]]
	if !ok || !views[i].takesWork(e.run.now) {
		return best
	}
	if memoryCost(&views[i]) > memoryCost(&views[best])+tolerance {
		return best
	}
	return i
}

// Baselines returns the policies that an operator would otherwise run.
func Baselines() []Maker {
	return []Maker{
		entryMaker("round_robin", pickRoundRobin),
		entryMaker("least_in_flight", pickLeastInFlight),
		entryMaker("two_choices", pickTwoChoices),
		entryMaker("least_memory", pickLeastMemory),
		entryMaker("prefix", pickPrefix),
		Watermark(),
	}
}
