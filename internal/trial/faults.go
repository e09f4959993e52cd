package trial

import "time"

// Failing makes engines fail a fraction of their requests while their health checks pass.
type Failing struct {
	// First is when the first engines begin to fail. Every is the interval at which other
	// engines begin to fail; if Every is 0, no engine fails. For is how long each engine
	// keeps failing.
	First time.Duration
	Every time.Duration
	For   time.Duration
	// Count is how many engines begin to fail at the same time, Share the fraction of their
	// requests that fail, and After the delay from receipt of a request to its failure.
	Count int
	Share float64
	After time.Duration
}

// Crashes makes engines end without notice, and other engines join.
type Crashes struct {
	// First is when the first engines crash. Every is the interval at which other engines
	// crash; if Every is 0, no engine crashes. Count is how many crash at the same time.
	First time.Duration
	Every time.Duration
	Count int
	// Replace is the delay from the crash until another engine joins.
	Replace time.Duration
}

// startFailing makes Failing.Count engines fail for a while and schedules the next ones.
func (r *Run) startFailing() {
	f := r.work.Failing
	for range f.Count {
		e := r.randomLiveEngine()
		if e == nil {
			break
		}
		e.failing = true
		r.after(f.For, func() { e.failing = false })
	}
	if r.now+f.Every < r.work.Length {
		r.after(f.Every, r.startFailing)
	}
}

// failIfChosen reports whether a generation fails on its engine, and if so schedules its
// failure. A failed generation is not run again: the request is lost.
func (r *Run) failIfChosen(g *generation) bool {
	f := r.work.Failing
	if !r.engines[g.engine].failing || r.rng.Float64() >= f.Share {
		return false
	}
	r.after(f.After, func() {
		if r.live[g.id] != g {
			return
		}
		delete(r.live, g.id)
		r.measure.result.Partial++
		r.policy.Ended(g.req, g.id, g.engine, 0, false)
		r.end(g.req, LostFailing)
	})
	return true
}

// crashEngines kills Crashes.Count engines without notice, notifies the policy immediately,
// and schedules the engines that replace them and the next crash.
func (r *Run) crashEngines() {
	c := r.work.Crashes
	for range c.Count {
		e := r.randomLiveEngine()
		if e == nil {
			break
		}
		e.leaving = true
		e.kill(LostCrash)
		if p, ok := r.policy.(departureObserver); ok {
			p.Leaves(e.index)
		}
		r.after(c.Replace, func() { r.join(e.spec) })
	}
	if r.now+c.Every < r.work.Length {
		r.after(c.Every, r.crashEngines)
	}
}
