package trial

import (
	"maps"
	"slices"
	"time"
)

// Slowing makes engines slow for a while. Only the interval between their tokens shows that
// they are slow.
type Slowing struct {
	// First is when the first engines become slow. Every is the interval at which other
	// engines become slow; if Every is 0, no engine does. For is how long each engine stays
	// slow.
	First time.Duration
	Every time.Duration
	For   time.Duration
	// Count is how many engines become slow at the same time. The duration of their steps is
	// multiplied by Factor.
	Count  int
	Factor float64
}

// Shutdown ends all instances at the same time; the requests that run then are lost.
type Shutdown struct {
	// At is the time from the start of the run to the shutdown; if At is 0, there is no
	// shutdown.
	At time.Duration
	// Down is how long no instance serves. Requests that arrive meanwhile wait until the
	// instances serve again.
	Down time.Duration
}

// EntryLoss makes some instances lose power at the same time. Their generations continue on
// the engines, without a caller, until the instances are back. Their callers switch to other
// instances; lost requests that may be repeated are sent again all at the same time.
type EntryLoss struct {
	// At is the time from the start of the run to the loss; if At is 0, there is no loss.
	// Share is the fraction of the instances that are lost.
	At    time.Duration
	Share float64
	// Down is how long these instances are down.
	Down time.Duration
}

const (
	// dialTimeout is how long a caller waits for an instance without power before it tries
	// another one.
	dialTimeout = time.Second
	// lossDetectTime is how long callers are still sent to an instance that has lost power.
	lossDetectTime = 2 * time.Second
)

// restarter is a policy whose state can be lost. Restart clears the state and returns the
// requests that were waiting for a decision.
type restarter interface{ Restart() []*Request }

// HomeLoss makes the home of the policy lose its state, as if its instance failed and another one took
// over. The entries and the generations are not affected.
type HomeLoss struct {
	// At is when the home fails; 0 means never. For Down, which entries need to notice it, requests
	// get no decision.
	At   time.Duration
	Down time.Duration
}

// loseHome replaces the policy's home by one without state. The requests that waited there are sent
// again once their entries have noticed it.
func (r *Run) loseHome() {
	p, ok := r.policy.(restarter)
	if !ok {
		return
	}
	for _, q := range p.Restart() {
		r.after(r.work.HomeLoss.Down, func() { r.policy.Arrive(q) })
	}
}

// startSlowing makes Slowing.Count engines slow for a while and schedules the next ones.
func (r *Run) startSlowing() {
	s := r.work.Slowing
	for range s.Count {
		e := r.randomLiveEngine()
		if e == nil {
			break
		}
		e.slowFactor = s.Factor
		r.after(s.For, func() { e.slowFactor = 0 })
	}
	if r.now+s.Every < r.work.Length {
		r.after(s.Every, r.startSlowing)
	}
}

// arrive passes a request to the policy. During a shutdown the request waits until the
// instances serve again; if its entry is down, it goes to another instance.
func (r *Run) arrive(q *Request) {
	shutdown := r.work.Shutdown
	if shutdown.At > 0 && r.now >= shutdown.At && r.now < shutdown.At+shutdown.Down {
		r.at(shutdown.At+shutdown.Down, func() { r.policy.Arrive(q) })
		return
	}
	if l := r.work.HomeLoss; l.At > 0 && r.now >= l.At && r.now < l.At+l.Down {
		r.at(l.At+l.Down, func() { r.policy.Arrive(q) })
		return
	}
	if r.entryDown(q.Entry) {
		q.Entry = r.rng.IntN(r.firstLostEntry())
		if r.now < r.work.EntryLoss.At+lossDetectTime {
			r.after(dialTimeout, func() { r.policy.Arrive(q) })
			return
		}
	}
	r.policy.Arrive(q)
}

// firstLostEntry returns the index of the first instance that is lost by EntryLoss; all
// instances with a higher index are lost too.
func (r *Run) firstLostEntry() int {
	return max(r.work.Entries-int(r.work.EntryLoss.Share*float64(r.work.Entries)), 1)
}

// entryDown reports whether an instance is without power at present.
func (r *Run) entryDown(entry int) bool {
	l := r.work.EntryLoss
	return l.At > 0 && r.now >= l.At && r.now < l.At+l.Down && entry >= r.firstLostEntry()
}

// shutDown ends all instances: all attempts and the policy's state are lost.
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

// loseEntries ends the instances that are lost by EntryLoss. The engines continue the
// generations of these instances until the instances are back.
func (r *Run) loseEntries() {
	for _, id := range slices.Sorted(maps.Keys(r.live)) {
		g := r.live[id]
		if !r.entryDown(g.req.Entry) {
			continue
		}
		r.abandon(g, LostEntry)
		r.after(r.work.EntryLoss.Down, func() { r.engines[g.engine].discard(g) })
		if r.mayRepeat(g.req) {
			r.after(hop, func() { r.arrive(g.req) })
		}
	}
}

// abandon ends an attempt for its caller; the engine is not notified. If the entry was lost
// and the request may be repeated, the request stays open.
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
