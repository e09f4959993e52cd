package trial

import (
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// Leaving makes engines leave at short notice, again and again, and others join.
type Leaving struct {
	// First is when the first ones get notice, Every how often others do;
	// Every 0 means that none leaves.
	First time.Duration
	Every time.Duration
	// Count is how many leave together.
	Count int
	// Notice is the time between the notice and the end.
	Notice time.Duration
	// Replace is how long after the notice another engine joins.
	Replace time.Duration
	// NewsLag is how long the notice takes to reach the policy.
	NewsLag time.Duration
}

// Links are the engines' links for copies of running generations. Each engine
// has one, and copies on it follow each other.
type Links struct {
	// TokenBytes is the memory of one token, Mbps the bandwidth, Setup the
	// time that each copy takes besides.
	TokenBytes float64
	Mbps       float64
	Setup      time.Duration
	// DataCentres is the number of places that the engines are spread over;
	// a copy from one to another takes twice as long.
	DataCentres int
}

// leaver is a policy that hears of engines that leave and join.
type leaver interface {
	Leaves(engine int)
	Joined(engine int)
}

// depart gives the next engines notice.
func (r *Run) depart() {
	l := r.work.Leaving
	for range l.Count {
		e := r.anyLiving()
		if e == nil {
			break
		}
		e.leaving = true
		r.after(l.NewsLag, func() {
			if p, ok := r.policy.(leaver); ok {
				p.Leaves(e.index)
			}
		})
		r.after(l.Notice, func() { e.reclaim(LostLeaving) })
		r.after(l.Replace, func() { r.join(e.spec) })
	}
	if r.now+l.Every < r.work.Length {
		r.after(l.Every, r.depart)
	}
}

// anyLiving draws an engine that has no notice yet.
func (r *Run) anyLiving() *engine {
	var living []*engine
	for _, e := range r.engines {
		if !e.leaving && !e.dead {
			living = append(living, e)
		}
	}
	if len(living) == 0 {
		return nil
	}
	return living[r.rng.IntN(len(living))]
}

// join adds an engine.
func (r *Run) join(spec EngineSpec) {
	i := len(r.engines)
	e := newEngine(r, i, fmt.Sprintf("engine-%02d", i), spec)
	r.engines = append(r.engines, e)
	r.byName[e.name] = i
	r.lagged = append(r.lagged, []placement.Report(nil))
	if p, ok := r.policy.(leaver); ok {
		p.Joined(i)
	}
	r.poll(i)
}

// near reports whether two engines are in one data centre.
func (r *Run) near(a, b int) bool {
	n := max(r.work.Links.DataCentres, 1)
	return a%n == b%n
}

// transfer takes the links of two engines for so many tokens and returns when
// the last of them has arrived.
func (r *Run) transfer(from, to *engine, tokens int) time.Duration {
	l := r.work.Links
	took := l.Setup + time.Duration(float64(tokens)*l.TokenBytes*8/(l.Mbps*1e6)*float64(time.Second))
	if !r.near(from.index, to.index) {
		took *= 2
	}
	end := max(r.now, from.link, to.link) + took
	from.link, to.link = end, end
	return end
}

// copyRun copies a running generation's memory to another engine while it goes
// on. done hears whether the copy is complete.
func (r *Run) copyRun(g *generation, to int, done func(ok bool)) {
	src, dst := r.engines[g.engine], r.engines[to]
	size := g.memory()
	if g.prefill > 0 || !src.runs(g) || dst.dead || dst.used+size > dst.spec.Capacity {
		r.after(2*hop, func() { done(false) })
		return
	}
	dst.used += size
	g.copied, g.copyAt = size, to
	r.at(r.transfer(src, dst, size), func() {
		ok := !src.dead && !dst.dead && src.runs(g) && !g.abandoned
		if !ok {
			r.dropCopy(g)
		}
		done(ok)
	})
}

// copyLife is how long a copy takes memory at its destination whose source has died.
const copyLife = 5 * time.Second

// dropCopy frees the memory that a copy took, at once if its source can still be told.
func (r *Run) dropCopy(g *generation) {
	if g.copied == 0 {
		return
	}
	at, size := r.engines[g.copyAt], g.copied
	g.copied = 0
	if !r.engines[g.engine].dead {
		at.used -= size
		return
	}
	r.after(copyLife, func() { at.used -= size })
}

// finishMove stops a generation that was copied, sends what is new and lets it go
// on at the copy's place.
func (r *Run) finishMove(g *generation, done func(ok bool)) {
	src, dst := r.engines[g.engine], r.engines[g.copyAt]
	if !src.runs(g) || src.dead || dst.dead || g.abandoned {
		r.dropCopy(g)
		done(false)
		return
	}
	src.remove(g)
	rest := max(g.memory()-g.copied, 0)
	r.at(r.transfer(src, dst, rest)+2*hop, func() {
		dst.used -= g.copied
		g.copied = 0
		if dst.dead {
			r.lost(g, LostLeaving)
			done(false)
			return
		}
		g.engine = dst.index
		dst.resume(g)
		r.measure.result.Moved++
		done(true)
	})
}

// runs reports whether a generation is in the engine's batch.
func (e *engine) runs(g *generation) bool {
	for _, o := range e.running {
		if o == g {
			return true
		}
	}
	return false
}

// remove takes a generation out of the batch.
func (e *engine) remove(g *generation) {
	for i, o := range e.running {
		if o == g {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.used -= g.memory()
			return
		}
	}
}

// resume takes a generation in that goes on from its copy.
func (e *engine) resume(g *generation) {
	e.running = append(e.running, g)
	e.used += g.memory()
	g.pauses = nil
	if !e.busy {
		e.step()
	}
}
