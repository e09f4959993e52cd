package engine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// accept queues a new generation. If a generation with the id exists already, accept
// returns that one.
func (e *Engine) accept(id, promptText string, prompt, maxTokens, priority int, blocks []uint64) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.gens[id]; g != nil {
		return g
	}
	e.arrivals++
	g := &generation{
		boot: e.boot,
		id:   id, prompt: prompt, length: e.length(promptText, maxTokens), priority: priority,
		arrival: e.arrivals, blocks: blocks, promptText: promptText,
	}
	g.prefill = prompt - e.cache.Hit(blocks)
	e.gens[id] = g
	e.order = append(e.order, g)
	e.records = append(e.records, g)
	return g
}

// length draws the length of a generation's output, in tokens. The prompt text is the seed, so that
// the same prompt always gets the same length.
func (e *Engine) length(promptText string, maxTokens int) int {
	h := fnv.New64a()
	h.Write([]byte(promptText))
	rng := rand.New(rand.NewPCG(h.Sum64(), 1))
	n := int(e.settings.Median * math.Exp(e.settings.Sigma*rng.NormFloat64()))
	return max(1, min(n, maxTokens))
}

// triggersCrash reports whether a prompt contains the text Settings.CrashOn.
func (e *Engine) triggersCrash(promptText string) bool {
	return e.settings.CrashOn != "" && strings.Contains(promptText, e.settings.CrashOn)
}

// step executes one decode step, unless the engine is frozen.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.frozenUntil) {
		return
	}
	if e.slow.takesStep(now) {
		e.startWaiting()
		e.decode()
	}
	e.order = filter(e.order, func(g *generation) bool { return g.state == waiting || g.state == running })
	e.recordLoad(now)
	e.changed.Broadcast()
}

// startWaiting adds waiting generations to the batch while the batch and the memory
// have room: the lowest priority number first, then by arrival.
func (e *Engine) startWaiting() {
	for {
		var next *generation
		for _, g := range e.order {
			if g.state == waiting && (next == nil || g.priority < next.priority) {
				next = g
			}
		}
		if next == nil || e.runningCount() >= e.settings.MaxBatch || e.usedTokens()+next.memory() > e.settings.Capacity {
			return
		}
		next.state = running
	}
}

// decode spends the step's prefill budget on the prompts of running generations and
// produces one token for each generation whose prompt is computed. If memory is full,
// it preempts a generation.
func (e *Engine) decode() {
	budget := e.settings.Prefill
	for _, g := range e.order {
		if g.state != running {
			continue
		}
		if g.prefill > 0 {
			n := min(budget, g.prefill)
			g.prefill -= n
			budget -= n
			continue
		}
		if e.usedTokens() >= e.settings.Capacity && e.preempt(g) {
			continue
		}
		g.tokens++
		if g.tokens >= g.length {
			g.state = finished
			e.events.add(cacheEvents(e.cache.Store(g.blocks)))
		}
	}
}

// preempt frees memory by making one running generation wait again: among the generations
// with the highest priority number, the one that arrived last. All its tokens must be
// computed again. preempt reports whether that generation is g itself.
func (e *Engine) preempt(g *generation) bool {
	victim := g
	for _, o := range e.order {
		if o.state != running {
			continue
		}
		if o.priority > victim.priority || o.priority == victim.priority && o.arrival > victim.arrival {
			victim = o
		}
	}
	victim.state = waiting
	victim.prefill = victim.memory()
	e.preemptions++
	return victim == g
}

func (e *Engine) runningCount() int {
	n := 0
	for _, g := range e.order {
		if g.state == running {
			n++
		}
	}
	return n
}

// usedTokens returns the memory that the running generations take, in tokens.
func (e *Engine) usedTokens() int {
	n := 0
	for _, g := range e.order {
		if g.state == running {
			n += g.memory()
		}
	}
	return n
}

func (e *Engine) find(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gens[id]
}

// filter returns the elements for which ok is true. It reuses the array of list.
func filter[T any](list []T, ok func(T) bool) []T {
	out := list[:0]
	for _, x := range list {
		if ok(x) {
			out = append(out, x)
		}
	}
	return out
}
