package trial

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// EngineSpec sizes one simulated engine. Memory and prompts are in tokens.
type EngineSpec struct {
	// Capacity is the memory for generations.
	Capacity int
	// MaxBatch is the maximum number of generations in the batch.
	MaxBatch int
	// Chunk is the maximum number of prompt tokens that one step computes.
	Chunk int
	// The duration of a step is Base, plus PerDecode for each generation that decodes, plus
	// PerPrompt for each prompt token.
	Base      time.Duration
	PerDecode time.Duration
	PerPrompt time.Duration
}

// generation is one attempt on a simulated engine.
type generation struct {
	req           *Request
	id            string
	engine        int
	arrivalNumber int
	// priority orders the engine's queue; lower values run first.
	priority int
	// tokens is the number of tokens produced.
	tokens int
	// prefill is the number of tokens that are still to be computed before the next token
	// is produced: the prompt, or the prompt and all tokens produced after a preemption.
	prefill int
	// lastTokenAt is when the latest token was produced, 0 before the first.
	lastTokenAt time.Duration
	longestGap  time.Duration
	// firstTokenWait is how long the caller waited for the first token; firstTokenAt is when
	// that token was produced.
	firstTokenWait time.Duration
	firstTokenAt   time.Duration
	// gaps holds the latest intervals between tokens, up to maxKeptGaps.
	gaps []time.Duration
	// abandoned is set once the generation's entry has died: the engine continues, but no
	// caller receives the tokens.
	abandoned bool
	// copiedTokens is the size of the copy, complete or in progress, at the engine with the
	// index copyEngine; 0 without a copy.
	copiedTokens int
	copyEngine   int
}

// memory returns the memory that the generation takes, in tokens.
func (g *generation) memory() int { return g.req.Prompt + g.tokens }

// engine simulates a model engine in virtual time. It uses continuous batching, mixes
// prompt chunks and decodes in a step, caches prompt prefixes, and preempts the youngest
// generation of the lowest priority when its memory is full.
type engine struct {
	run     *Run
	index   int
	name    string
	spec    EngineSpec
	running []*generation
	waiting []*generation
	// used is the memory in use, in tokens.
	used int
	// busy is set while a step runs.
	busy    bool
	leaving bool
	// leavingKnownAt is when the policy was notified that the engine leaves; 0 before.
	leavingKnownAt time.Duration
	// failing is set while the engine fails a fraction of its requests. The duration of the
	// engine's steps is multiplied by slowFactor; 0 counts as 1.
	failing    bool
	slowFactor float64
	// lasting is the factor by which the engine is always slower, spell that of the present slow
	// spell; 0 counts as 1.
	lasting, spell float64
	dead           bool
	// linkBusyUntil is when the copies on the engine's link are complete.
	linkBusyUntil time.Duration

	arrivals    int
	preemptions int64
	cache       *prefixCache
}

func newEngine(r *Run, index int, name string, spec EngineSpec) *engine {
	return &engine{run: r, index: index, name: name, spec: spec, cache: newPrefixCache(spec.Capacity / cacheDivisor)}
}

// submit queues an attempt and starts the engine if it was idle.
func (e *engine) submit(g *generation) {
	e.arrivals++
	g.arrivalNumber = e.arrivals
	g.prefill = max(1, g.req.Prompt-e.cache.Hit(g.req.Prefix))
	e.waiting = append(e.waiting, g)
	if !e.busy {
		e.step()
	}
}

// step runs one step of the batch and schedules the next one.
func (e *engine) step() {
	if e.dead {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	start := e.run.now
	decodes, prompt := e.compute()
	step := e.spec.Base + time.Duration(decodes)*e.spec.PerDecode + time.Duration(prompt)*e.spec.PerPrompt
	if e.slowFactor > 0 {
		step = time.Duration(float64(step) * e.slowFactor)
	}
	step = time.Duration(float64(step) * e.slowdown())
	end := start + step
	e.emit(start, end)
	e.run.at(end, e.step)
}

// admit moves waiting generations into the batch, in the order of before, while there is
// room.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.MaxBatch {
		next := 0
		for i, g := range e.waiting {
			if g.before(e.waiting[next]) {
				next = i
			}
		}
		g := e.waiting[next]
		if e.used+g.memory() > e.spec.Capacity {
			return
		}
		e.waiting = append(e.waiting[:next], e.waiting[next+1:]...)
		e.running = append(e.running, g)
		e.used += g.memory()
	}
}

// before reports whether g comes before o in the engine's queue: by the lower priority
// value, then by arrival.
func (g *generation) before(o *generation) bool {
	if g.priority != o.priority {
		return g.priority < o.priority
	}
	return g.arrivalNumber < o.arrivalNumber
}

// compute distributes the step's prompt tokens over the generations in prefill and preempts
// until there is memory for one token of each generation that decodes, or only one generation
// is left in the batch. It returns the number of decodes and prompt tokens in the step.
func (e *engine) compute() (decodes, prompt int) {
	budget := e.spec.Chunk
	for _, g := range e.running {
		if g.prefill > 0 {
			n := min(budget, g.prefill)
			g.prefill -= n
			budget -= n
		}
		if g.prefill == 0 {
			decodes++
		}
	}
	for e.used+decodes > e.spec.Capacity && len(e.running) > 1 {
		if e.preempt().prefill == 0 {
			decodes--
		}
	}
	return decodes, e.spec.Chunk - budget
}

// preempt returns the youngest generation of the lowest priority to the queue; its computed
// state is lost. The result is a copy of the generation before the preemption.
func (e *engine) preempt() *generation {
	worst := 0
	for i, g := range e.running {
		if e.running[worst].before(g) {
			worst = i
		}
	}
	g := e.running[worst]
	e.running = append(e.running[:worst], e.running[worst+1:]...)
	e.used -= g.memory()
	e.preemptions++
	preempted := *g
	g.prefill = g.memory()
	e.waiting = append(e.waiting, g)
	return &preempted
}

// emit produces, at the end of the step, one token for each generation that has completed
// its prefill.
func (e *engine) emit(start, end time.Duration) {
	stepGaps := int64(0) // gaps that are exactly as long as the step
	keep := e.running[:0]
	for _, g := range e.running {
		if g.prefill > 0 {
			keep = append(keep, g)
			continue
		}
		if g.lastTokenAt == start {
			stepGaps++
			g.longestGap = max(g.longestGap, end-start)
			g.recordGap(end - start)
		} else {
			if g.lastTokenAt == 0 {
				e.run.notifyFirstToken(g)
			}
			e.run.measure.recordToken(g, end)
		}
		g.lastTokenAt = end
		g.tokens++
		e.used++
		if g.tokens < g.req.Output {
			keep = append(keep, g)
			continue
		}
		e.finish(g, end)
	}
	clear(e.running[len(keep):])
	e.running = keep
	e.run.measure.recordStepGaps(end-start, stepGaps)
}

// finish removes a complete generation and stores its prefix in the cache.
func (e *engine) finish(g *generation, end time.Duration) {
	e.used -= g.memory()
	e.cache.store(e.run.now, g.req.Prefix)
	e.run.at(end, func() { e.run.finished(g) })
}

// kill ends the engine immediately; its running and waiting generations are lost with the given
// fate.
func (e *engine) kill(f Fate) {
	e.dead = true
	lost := append(e.running, e.waiting...)
	e.running, e.waiting, e.used = nil, nil, 0
	for _, g := range lost {
		e.run.dropCopy(g)
		e.run.endLost(g, f)
	}
}

// maxKeptGaps is the number of latest gaps from which pace is computed.
const maxKeptGaps = 64

func (g *generation) recordGap(gap time.Duration) {
	if len(g.gaps) == maxKeptGaps {
		g.gaps = g.gaps[1:]
	}
	g.gaps = append(g.gaps, gap)
}

// pace returns the undisturbed interval between tokens as the entry measures it: the lower
// quartile of the latest gaps, 0 while there are fewer than half of maxKeptGaps.
func (g *generation) pace() time.Duration {
	if len(g.gaps) < maxKeptGaps/2 {
		return 0
	}
	sorted := slices.Clone(g.gaps)
	slices.Sort(sorted)
	return sorted[len(sorted)/4]
}

// discard drops a running or waiting generation whose connection is closed.
func (e *engine) discard(g *generation) {
	e.remove(g)
	if i := slices.Index(e.waiting, g); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

// report returns the engine's load at this moment.
func (e *engine) report() placement.Report {
	r := placement.Report{
		Upstream: e.name, Boot: e.name, Leaving: e.leaving, Capacity: e.spec.Capacity, Used: e.used,
		MaxBatch: e.spec.MaxBatch, Running: len(e.running), Waiting: len(e.waiting), Preemptions: e.preemptions,
		Gens: make([]placement.GenLoad, 0, len(e.running)+len(e.waiting)),
	}
	if s := e.run.work.Spells; s.Share > 0 || len(s.Lasting) > 0 {
		r.Slowdown.Factor = e.slowdown()
	}
	for _, list := range [][]*generation{e.running, e.waiting} {
		for _, g := range list {
			r.Gens = append(r.Gens, placement.GenLoad{Attempt: g.id, Tokens: g.tokens})
		}
	}
	return r
}
