package trial

import (
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// Leaving makes engines leave repeatedly, at short notice, and other engines join.
type Leaving struct {
	// First is when the first engines get notice. Every is the interval at which other
	// engines get notice; if Every is 0, no engine leaves.
	First time.Duration
	Every time.Duration
	// Count is how many engines leave at the same time.
	Count int
	// Notice is the time between the notice and the end of the engine. Up to NoticeSpread is added.
	Notice       time.Duration
	NoticeSpread time.Duration
	// Replace is the delay from the notice until another engine joins.
	Replace time.Duration
	// NewsLag is the delay until the notice reaches the policy.
	NewsLag time.Duration
}

// Links describes the engines' network links, which carry copies of running generations.
// Each engine has one link and sends or receives one copy at a time.
type Links struct {
	// TokenBytes is the memory of one token in bytes, Mbps the bandwidth of a link in megabits
	// per second, and Setup the time that each copy takes in addition to the transfer.
	TokenBytes float64
	Mbps       float64
	Setup      time.Duration
	// DataCentres is the number of data centres that the engines are spread over; a copy
	// from one to another takes twice as long. 0 counts as 1.
	DataCentres int
}

// departureObserver is a policy that is notified of engines that leave and join.
type departureObserver interface {
	Leaves(engine int)
	Joined(engine int)
}

// giveNotice gives Leaving.Count engines notice, schedules their end and replacement, and
// schedules the next notice.
func (r *Run) giveNotice() {
	l := r.work.Leaving
	for range l.Count {
		e := r.randomLiveEngine()
		if e == nil {
			break
		}
		e.leaving = true
		notice := l.Notice
		if l.NoticeSpread > 0 {
			notice += time.Duration(r.rng.Float64() * float64(l.NoticeSpread))
		}
		r.after(l.NewsLag, func() {
			e.leavingKnownAt = r.now
			if p, ok := r.policy.(departureObserver); ok {
				p.Leaves(e.index)
			}
		})
		r.after(notice, func() { e.kill(LostLeaving) })
		r.after(l.Replace, func() { r.join(e.spec) })
	}
	if r.now+l.Every < r.work.Length {
		r.after(l.Every, r.giveNotice)
	}
}

// randomLiveEngine draws a live engine that is not leaving. It returns nil if there is none.
func (r *Run) randomLiveEngine() *engine {
	var live []*engine
	for _, e := range r.engines {
		if !e.leaving && !e.dead {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[r.rng.IntN(len(live))]
}

// join adds an engine and notifies the policy.
func (r *Run) join(spec EngineSpec) {
	i := len(r.engines)
	e := newEngine(r, i, fmt.Sprintf("engine-%02d", i), spec)
	r.engines = append(r.engines, e)
	r.byName[e.name] = i
	r.delayedReports = append(r.delayedReports, []placement.Report(nil))
	if p, ok := r.policy.(departureObserver); ok {
		p.Joined(i)
	}
	r.poll(i)
	r.startSpells(e)
}

// sameDataCentre reports whether two engines are in the same data centre.
func (r *Run) sameDataCentre(a, b int) bool {
	n := max(r.work.Links.DataCentres, 1)
	return a%n == b%n
}

// transfer occupies the links of two engines with a copy of the given number of tokens and
// returns when the copy is complete.
func (r *Run) transfer(from, to *engine, tokens int) time.Duration {
	l := r.work.Links
	duration := l.Setup + time.Duration(float64(tokens)*l.TokenBytes*8/(l.Mbps*1e6)*float64(time.Second))
	if !r.sameDataCentre(from.index, to.index) {
		duration *= 2
	}
	end := max(r.now, from.linkBusyUntil, to.linkBusyUntil) + duration
	from.linkBusyUntil, to.linkBusyUntil = end, end
	return end
}

// copyGeneration copies a running generation's memory to another engine while the
// generation continues. done is called with whether the copy succeeded.
func (r *Run) copyGeneration(g *generation, to int, done func(ok bool)) {
	src, dst := r.engines[g.engine], r.engines[to]
	size := g.memory()
	if g.prefill > 0 || !src.isRunning(g) || dst.dead || dst.used+size > dst.spec.Capacity {
		r.after(2*hop, func() { done(false) })
		return
	}
	dst.used += size
	g.copiedTokens, g.copyEngine = size, to
	r.at(r.transfer(src, dst, size), func() {
		ok := !src.dead && !dst.dead && src.isRunning(g) && !g.abandoned
		if !ok {
			r.dropCopy(g)
		}
		done(ok)
	})
}

// copyTTL is how long a copy keeps its memory at the destination after the source engine
// has died.
const copyTTL = 5 * time.Second

// dropCopy frees the memory that the copy of a generation takes at its destination:
// immediately if the source engine is alive, otherwise after copyTTL.
func (r *Run) dropCopy(g *generation) {
	if g.copiedTokens == 0 {
		return
	}
	at, size := r.engines[g.copyEngine], g.copiedTokens
	g.copiedTokens = 0
	if !r.engines[g.engine].dead {
		at.used -= size
		return
	}
	r.after(copyTTL, func() { at.used -= size })
}

// finishMove stops a copied generation, transfers the tokens produced since the copy and
// resumes the generation at the destination. done is called with whether the move succeeded.
func (r *Run) finishMove(g *generation, done func(ok bool)) {
	src, dst := r.engines[g.engine], r.engines[g.copyEngine]
	if !src.isRunning(g) || src.dead || dst.dead || g.abandoned {
		r.dropCopy(g)
		done(false)
		return
	}
	src.remove(g)
	newTokens := max(g.memory()-g.copiedTokens, 0)
	r.at(r.transfer(src, dst, newTokens)+2*hop, func() {
		dst.used -= g.copiedTokens
		g.copiedTokens = 0
		if dst.dead {
			r.endLost(g, LostLeaving)
			done(false)
			return
		}
		g.engine = dst.index
		dst.resume(g)
		r.measure.result.Moved++
		done(true)
	})
}

// isRunning reports whether a generation is in the engine's batch.
func (e *engine) isRunning(g *generation) bool {
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

// resume continues a moved generation in the engine's batch. The gaps before the move are
// dropped.
func (e *engine) resume(g *generation) {
	e.running = append(e.running, g)
	e.used += g.memory()
	g.gaps = nil
	if !e.busy {
		e.step()
	}
}
