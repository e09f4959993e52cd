package trial

import (
	"maps"
	"slices"

	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// Moving selects how a policy without a home treats the generations of a leaving engine.
type Moving string

// Values of Moving.
const (
	// Stay leaves the generations on the engine; they are lost when it ends.
	Stay Moving = "stay"
	// AllAtOnce makes every entry copy all its generations at the same time.
	AllAtOnce Moving = "all_at_once"
)

// entryMover is a policy without a home. Each entry places requests by its own tokens in
// flight or by the engines' reports, and may move generations off a leaving engine.
type entryMover struct {
	run    *Run
	moving Moving
	// useReports selects placement by the engines' delayed reports instead of ownTokens.
	useReports bool
	// ownTokens holds, for each entry, the weight of its requests in flight by engine.
	ownTokens []map[int]int
	reports   map[int]placement.Report
	leaving   map[int]bool
}

// Alone returns a policy in which each entry places by its own tokens in flight.
func Alone(m Moving) Maker {
	return Maker{Name: "alone_" + string(m), Make: func(r *Run) Policy { return newEntryMover(r, m, false) }}
}

// Herd returns a policy in which each entry places by the load that the engines report. The
// entries then tend to choose the same engine (herding).
func Herd(m Moving) Maker {
	return Maker{Name: "herd_" + string(m), Make: func(r *Run) Policy { return newEntryMover(r, m, true) }}
}

func newEntryMover(r *Run, m Moving, reported bool) *entryMover {
	a := &entryMover{run: r, moving: m, useReports: reported, reports: map[int]placement.Report{}, leaving: map[int]bool{}}
	for range r.work.Entries {
		a.ownTokens = append(a.ownTokens, map[int]int{})
	}
	return a
}

// Arrive implements Policy.
func (a *entryMover) Arrive(q *Request) {
	i := a.choose(q.Entry, -1)
	if i < 0 {
		a.run.after(placementRetryInterval, func() { a.Arrive(q) })
		return
	}
	a.ownTokens[q.Entry][i] += weight(q)
	a.run.dispatch(q, q.nextAttempt(), i, 0)
}

// weight returns the cost that a request adds to an engine, in prompt tokens.
func weight(q *Request) int { return q.Prompt + 3*q.Expected }

// choose returns the live engine with the lowest cost for an entry, or -1. It ignores the
// engine with the index except.
func (a *entryMover) choose(entry, except int) int {
	var live []int
	for i, e := range a.run.engines {
		if !a.leaving[i] && !e.dead && i != except {
			live = append(live, i)
		}
	}
	a.run.rng.Shuffle(len(live), func(x, y int) { live[x], live[y] = live[y], live[x] })
	best, lowest := -1, 0
	for _, i := range live {
		cost := a.ownTokens[entry][i]
		if a.useReports {
			cost = a.reports[i].Used + 4000*a.reports[i].Waiting
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// Report implements Policy.
func (a *entryMover) Report(engine int, r placement.Report) { a.reports[engine] = r }

// Ended implements Policy.
func (a *entryMover) Ended(q *Request, _ string, engine, _ int, _ bool) {
	a.ownTokens[q.Entry][engine] -= weight(q)
}

// Tick implements Policy.
func (a *entryMover) Tick() {}

// Joined implements departureObserver.
func (a *entryMover) Joined(int) {}

// Leaves implements departureObserver.
func (a *entryMover) Leaves(engine int) {
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
		a.run.copyGeneration(g, to, func(ok bool) {
			if ok {
				a.run.finishMove(g, func(ok bool) {
					if ok {
						a.ownTokens[g.req.Entry][engine] -= weight(g.req)
						a.ownTokens[g.req.Entry][to] += weight(g.req)
					}
				})
			}
		})
	}
}
