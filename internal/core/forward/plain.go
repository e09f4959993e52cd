package forward

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward/admission"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// isPlain reports whether a call is one of a plain service, not a stream.
func (g *Gate) isPlain(c *Call) bool {
	s := g.service(c.Service)
	return s != nil && s.Engine == nil && !c.Route.Generation && c.Route.Kind != route.Stream
}

// controlsAdmission reports whether a call is subject to admission control. A refusal must be true: one
// that may have run is not.
func (g *Gate) controlsAdmission(c *Call) bool {
	return !g.options.Without.Has(mechanism.PlainAdmission) && !c.mayHaveRun && g.isPlain(c)
}

// loadOf returns the load of an upstream for admission control; it is not fresh without a recent report.
func (g *Gate) loadOf(now time.Time, u *roster.Upstream) admission.Load {
	l := g.load(u)
	if l.reportedAt.IsZero() {
		return admission.Load{}
	}
	return admission.Load{
		Running: l.report.Running, Waiting: l.report.Waiting, Slots: l.report.Slots, Age: max(now.Sub(l.reportedAt), 0), Sent: l.sentSince,
	}
}

// serviceTime returns how long calls of a service take once they run, where work takes as long as usual;
// 0 if that is not known.
func (g *Gate) serviceTime(service string) time.Duration {
	var means []time.Duration
	for _, u := range g.candidates(service) {
		if l := g.loads[u]; l != nil {
			means = append(means, l.serviceTime.Mean())
		}
	}
	return admission.Typical(means)
}

// longestTime returns the longest service time of recent calls of a plain service; 0 if none is known.
func (g *Gate) longestTime(service string) (longest time.Duration) {
	for _, u := range g.candidates(service) {
		if l := g.loads[u]; l != nil {
			longest = max(longest, l.serviceTime.Longest())
		}
	}
	return longest
}

// refuseLate returns the refusal of a call that is predicted to be too late at every upstream that can
// take it, and whether there is one.
func (g *Gate) refuseLate(now time.Time, c *Call) (Step, bool) {
	if !g.controlsAdmission(c) || !g.allBusy(now, c) {
		return Step{}, false
	}
	mean, left := g.serviceTime(c.Service), c.Deadline.Sub(now)
	if mean == 0 {
		return Step{}, false
	}
	var list []admission.Candidate
	for _, u := range g.takers(now, c) {
		list = append(list, g.candidate(now, u, mean))
	}
	basis, refused := admission.Decide(list, mean, admission.Limit(left, c.urgency()))
	if !refused {
		return Step{}, false
	}
	c.basis = basis
	c.returnAfter = basis.RetryAfter(mean, left, g.rng.Float64())
	return g.refuse(c, ServiceFull, c.returnAfter), true
}

// allBusy reports whether a call has to wait at each upstream that accepts it at present. It is quick
// while one is idle.
func (g *Gate) allBusy(now time.Time, c *Call) bool {
	return !slices.ContainsFunc(g.candidates(c.Service), func(u *roster.Upstream) bool {
		return g.available(now, c, u) && !slices.Contains(c.tried, u) && !g.loadOf(now, u).Busy()
	})
}

// takers lists the upstreams that accept a call at present, without those that it was sent to if there
// are others.
func (g *Gate) takers(now time.Time, c *Call) []*roster.Upstream {
	var all, untried []*roster.Upstream
	for _, u := range g.candidates(c.Service) {
		if !g.available(now, c, u) {
			continue
		}
		all = append(all, u)
		if !slices.Contains(c.tried, u) {
			untried = append(untried, u)
		}
	}
	if len(untried) > 0 {
		return untried
	}
	return all
}

// candidate returns an upstream for the prediction of a call, given the service time.
func (g *Gate) candidate(now time.Time, u *roster.Upstream, mean time.Duration) admission.Candidate {
	load := g.loadOf(now, u)
	return admission.Candidate{Load: load, Factor: g.factorOver(now, u.Run(), time.Duration(load.Rounds()*float64(mean)))}
}

// noteService records the service time of a call that has ended well.
func (g *Gate) noteService(now time.Time, c *Call, a *Attempt) {
	if !g.isPlain(c) {
		return
	}
	end := now
	if !a.Responded.IsZero() {
		end = a.Responded // the caller may read slowly
	}
	g.load(a.Upstream).serviceTime.Observe(end.Sub(a.Sent), a.rounds, g.factorOver(end, a.Entry.Run(), 0))
}

// avoidFull keeps calls away for a while from an upstream that has turned one away, if it reports that
// it is full.
func (g *Gate) avoidFull(now time.Time, c *Call, a *Attempt) {
	if g.options.Without.Has(mechanism.PlainAdmission) || !g.isPlain(c) {
		return
	}
	mean := g.serviceTime(c.Service)
	drain := admission.Drain(g.candidate(now, a.Upstream, mean), mean)
	if drain == 0 {
		return
	}
	l := g.load(a.Upstream)
	l.fullAt, l.drain = now, drain
	a.AvoidedFor = admission.Avoidance(drain, c.urgency())
}

// fullUntil returns until when an upstream gets no calls of the same urgency because it was full; zero if
// it was not.
func (g *Gate) fullUntil(c *Call, u *roster.Upstream) time.Time {
	l := g.loads[u]
	if l == nil || l.drain == 0 {
		return time.Time{}
	}
	return l.fullAt.Add(admission.Avoidance(l.drain, c.urgency()))
}

// refuseFull returns the refusal of a call that no upstream takes because some of them were full, and
// whether that is the reason.
func (g *Gate) refuseFull(now time.Time, c *Call) (Step, bool) {
	c.basis, c.returnAfter = admission.Basis{}, g.fullRetryAfter(now, c)
	if c.returnAfter == 0 {
		return Step{}, false
	}
	return g.refuse(c, ServiceFull, c.returnAfter), true
}

// orAsUrgent returns the refusal of a call because of a full service. A small share of the less urgent
// calls is treated like the most urgent ones instead, so that none starves while those use all there is.
func (g *Gate) orAsUrgent(now time.Time, c *Call, refusal Step) Step {
	if c.urgency() <= 0 || g.rng.Float64() >= admission.LeastShare {
		return refusal
	}
	c.asUrgent = true
	return g.send(now, c)
}

// urgency returns the rank of a call for admission control, relative to the most urgent calls that its
// service may have: where all are equally urgent, none gives way to others.
func (c *Call) urgency() int {
	if c.asUrgent {
		return 0
	}
	return max(c.Rank-c.leastRank, 0)
}

// fullRetryAfter returns the Retry-After of a call that no upstream takes because some of them are full,
// or 0 if that is not the reason.
func (g *Gate) fullRetryAfter(now time.Time, c *Call) time.Duration {
	var first time.Time
	for _, u := range g.candidates(c.Service) {
		switch {
		case !g.maySend(c, u):
		case g.available(now, c, u):
			return 0
		case !g.fullUntil(c, u).After(now):
		case first.IsZero() || g.fullUntil(c, u).Before(first):
			first = g.fullUntil(c, u)
		}
	}
	if first.IsZero() {
		return 0
	}
	wait := first.Sub(now)
	return admission.Spread(wait, wait, c.Deadline.Sub(now), g.rng.Float64())
}
