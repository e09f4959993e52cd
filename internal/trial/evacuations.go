package trial

import (
	"maps"
	"slices"

	"mulberrylug.example/mulberrylug/internal/core/placement"
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
