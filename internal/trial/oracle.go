package trial

import (
	"slices"

	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// oracle is a policy that knows the length of every response in advance. It has one queue,
// serves the request with the least work first, and sends a request only to an engine whose
// memory will never overflow. No real policy can do as well: the oracle is the upper bound
// for the gain from estimates of output length.
type oracle struct {
	run *Run
	// queue is ordered by Request.work.
	queue []*Request
	// inFlight holds, for each engine, the attempts that have not ended, by attempt id.
	inFlight []map[string]*Request
}

// Oracle returns the policy that knows every response's length in advance.
func Oracle() Maker {
	return Maker{Name: "oracle", Make: func(r *Run) Policy {
		o := &oracle{run: r}
		for range r.engines {
			o.inFlight = append(o.inFlight, map[string]*Request{})
		}
		return o
	}}
}

// work returns the request's memory use over its generation, in tokens times steps.
func (q *Request) work() int { return q.Output * (q.Prompt + q.Output/2) }

// Arrive implements Policy.
func (o *oracle) Arrive(q *Request) {
	i, _ := slices.BinarySearchFunc(o.queue, q, func(a, b *Request) int { return a.work() - b.work() })
	o.queue = slices.Insert(o.queue, i, q)
	o.dispatchQueued()
}

// Report implements Policy.
func (o *oracle) Report(_ int, _ placement.Report) {}

// Ended implements Policy.
func (o *oracle) Ended(_ *Request, id string, engine, _ int, _ bool) {
	delete(o.inFlight[engine], id)
	o.dispatchQueued()
}

// Tick implements Policy.
func (o *oracle) Tick() { o.dispatchQueued() }

// dispatchQueued sends requests from the head of the queue until one fits nowhere.
func (o *oracle) dispatchQueued() {
	for len(o.queue) > 0 {
		i := o.choose(o.queue[0])
		if i < 0 {
			return
		}
		q := o.queue[0]
		o.queue = o.queue[1:]
		id := q.nextAttempt()
		o.inFlight[i][id] = q
		o.run.dispatch(q, id, i, 0)
	}
}

// choose returns the engine with the lowest peak memory among those that will not overflow,
// or -1. An empty engine accepts a request of any size.
func (o *oracle) choose(q *Request) int {
	best, bestPeak := -1, 0
	for i, e := range o.run.engines {
		if e.leaving || e.dead || len(o.inFlight[i]) >= e.spec.MaxBatch {
			continue
		}
		peak := o.peakMemory(i, q)
		if peak > e.spec.Capacity && len(o.inFlight[i]) > 0 {
			continue
		}
		if best < 0 || peak < bestPeak {
			best, bestPeak = i, peak
		}
	}
	return best
}

// remaining holds the number of tokens that a generation is still to produce, and the memory
// that it takes at present, in tokens.
type remaining struct{ tokens, memory int }

// peakMemory returns the maximum memory that an engine will need if it also takes q. All
// generations grow by one token per step, so each local maximum is where one of them ends.
func (o *oracle) peakMemory(engine int, q *Request) int {
	gens := []remaining{{q.Output, q.Prompt}}
	for id, r := range o.inFlight[engine] {
		tokens := 0
		if g := o.run.live[id]; g != nil {
			tokens = g.tokens
		}
		gens = append(gens, remaining{r.Output - tokens, r.Prompt + tokens})
	}
	slices.SortFunc(gens, func(a, b remaining) int { return b.tokens - a.tokens })
	maximum, memory := 0, 0
	for i, l := range gens {
		memory += l.memory
		maximum = max(maximum, memory+l.tokens*(i+1))
	}
	return maximum
}
