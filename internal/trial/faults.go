package trial

import "time"

// Failing makes engines fail a part of what they are given, with good health.
type Failing struct {
	// First is when the first ones begin, Every how often others do; Every 0
	// means that none fails. For is how long each goes on.
	First time.Duration
	Every time.Duration
	For   time.Duration
	// Count is how many fail together, Share the part of the requests that they
	// fail, After how long they take to do so.
	Count int
	Share float64
	After time.Duration
}

// Crashes make engines end without notice, and others join.
type Crashes struct {
	// First is when the first ones crash, Every how often others do; Every 0
	// means that none does. Count is how many crash together.
	First time.Duration
	Every time.Duration
	Count int
	// Replace is how long after the crash another engine joins.
	Replace time.Duration
}

// turnFailing makes some engines fail for a while.
func (r *Run) turnFailing() {
	f := r.work.Failing
	for range f.Count {
		e := r.anyLiving()
		if e == nil {
			break
		}
		e.failing = true
		r.after(f.For, func() { e.failing = false })
	}
	if r.now+f.Every < r.work.Length {
		r.after(f.Every, r.turnFailing)
	}
}

// fails reports whether a request fails at an engine, and ends it then. A draft may
// not be run again, so that it is lost.
func (r *Run) fails(g *generation) bool {
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

// crash ends some engines without notice; policies hear of it at once.
func (r *Run) crash() {
	c := r.work.Crashes
	for range c.Count {
		e := r.anyLiving()
		if e == nil {
			break
		}
		e.leaving = true
		e.reclaim(LostCrash)
		if p, ok := r.policy.(leaver); ok {
			p.Leaves(e.index)
		}
		r.after(c.Replace, func() { r.join(e.spec) })
	}
	if r.now+c.Every < r.work.Length {
		r.after(c.Every, r.crash)
	}
}
