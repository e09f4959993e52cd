package trial

import (
	"maps"
	"slices"
	"time"
)

// Slowing makes engines slow for a while, without any sign but their pace.
type Slowing struct {
	// First is when the first ones begin, Every how often others do; Every 0
	// means that none does. For is how long each stays slow.
	First time.Duration
	Every time.Duration
	For   time.Duration
	// Count is how many become slow together, Factor multiplies their times.
	Count  int
	Factor float64
}

// Shutdown ends all instances at a moment: what runs then is lost.
type Shutdown struct {
	// At 0 means that there is none.
	At time.Duration
	// Down is how long no instance serves; callers wait for so long.
	Down time.Duration
}

// EntryLoss makes some instances lose power at a moment. What they ran goes on at
// the engines, for nobody, until they are back; their callers go elsewhere, all at
// once.
type EntryLoss struct {
	// At 0 means that there is none. Share is the part of the instances.
	At    time.Duration
	Share float64
	// Down is how long they are gone.
	Down time.Duration
}

// dialTimeout is how long a caller waits for an instance that is dark before it
// tries another one, noticed how long callers go on to be sent there.
const (
	dialTimeout = time.Second
	noticed     = 2 * time.Second
)

// restarter is a policy that can lose all that it knows. It returns the requests
// that it held.
type restarter interface{ Restart() []*Request }

// turnSlow makes some engines slow for a while.
func (r *Run) turnSlow() {
	s := r.work.Slowing
	for range s.Count {
		e := r.anyLiving()
		if e == nil {
			break
		}
		e.slow = s.Factor
		r.after(s.For, func() { e.slow = 0 })
	}
	if r.now+s.Every < r.work.Length {
		r.after(s.Every, r.turnSlow)
	}
}

// arrive takes a request in, at another instance than its caller's own if that is
// gone.
func (r *Run) arrive(q *Request) {
	down := r.work.Shutdown
	if down.At > 0 && r.now >= down.At && r.now < down.At+down.Down {
		r.at(down.At+down.Down, func() { r.policy.Arrive(q) })
		return
	}
	if r.gone(q.Entry) {
		q.Entry = r.rng.IntN(r.firstLost())
		if r.now < r.work.EntryLoss.At+noticed {
			r.after(dialTimeout, func() { r.policy.Arrive(q) })
			return
		}
	}
	r.policy.Arrive(q)
}

// firstLost is the first of the instances that are lost.
func (r *Run) firstLost() int {
	return max(r.work.Entries-int(r.work.EntryLoss.Share*float64(r.work.Entries)), 1)
}

// gone reports whether an instance has lost power.
func (r *Run) gone(entry int) bool {
	l := r.work.EntryLoss
	return l.At > 0 && r.now >= l.At && r.now < l.At+l.Down && entry >= r.firstLost()
}

// shutDown ends all instances.
func (r *Run) shutDown() {
	for _, id := range slices.Sorted(maps.Keys(r.live)) {
		g := r.live[id]
		r.abandon(g, LostShutdown)
		r.engines[g.engine].discard(g)
	}
	if p, ok := r.policy.(restarter); ok {
		for _, q := range p.Restart() {
			r.measure.result.Partial++
			r.end(q, LostShutdown)
		}
	}
}

// loseEntries ends some instances.
func (r *Run) loseEntries() {
	for _, id := range slices.Sorted(maps.Keys(r.live)) {
		g := r.live[id]
		if !r.gone(g.req.Entry) {
			continue
		}
		r.abandon(g, LostEntry)
		r.after(r.work.EntryLoss.Down, func() { r.engines[g.engine].discard(g) })
		if r.mayRepeat(g.req) {
			r.after(hop, func() { r.arrive(g.req) })
		}
	}
}

// abandon ends an attempt for its caller, while its engine does not know.
func (r *Run) abandon(g *generation, f Fate) {
	g.abandoned = true
	delete(r.live, g.id)
	r.dropCopy(g)
	if f == LostEntry && r.mayRepeat(g.req) {
		return
	}
	r.measure.result.Partial++
	r.end(g.req, f)
}
