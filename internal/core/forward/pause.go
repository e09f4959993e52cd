package forward

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// maxPausedRetryAfter bounds the Retry-After while all upstreams of a service have asked this instance
// for a pause: they may accept requests of other instances.
const maxPausedRetryAfter = time.Second

// pause is a time for which an upstream that turned a request away wants nothing from this instance.
// It binds every path that sends to the upstream, and no other instance.
type pause struct {
	until time.Time
	// sent counts the requests that were sent to the upstream meanwhile.
	sent int
}

// ObservePause records that an upstream has turned a request away and wants nothing from this
// instance for a duration. It returns the number of requests that were sent to it in an earlier pause
// that has not ended. A shorter pause does not end a longer one.
func (g *Gate) ObservePause(now time.Time, u *roster.Upstream, d time.Duration) (sent int) {
	p := g.pauses[u.Run()]
	if p == nil || !now.Before(p.until) {
		p = &pause{}
		g.pauses[u.Run()] = p
	}
	if until := now.Add(d); until.After(p.until) {
		p.until = until
	}
	return p.sent
}

// paused reports whether an upstream wants nothing from this instance at present.
func (g *Gate) paused(now time.Time, run roster.Run) bool {
	p := g.pauses[run]
	return p != nil && now.Before(p.until)
}

// MayProbe reports whether an upstream may be probed: it has not asked this instance for a pause.
func (g *Gate) MayProbe(now time.Time, u *roster.Upstream) bool { return !g.paused(now, u.Run()) }

// dropPauses drops the pauses that have ended, and those of upstreams that are gone.
func (g *Gate) dropPauses(now time.Time) {
	for run, p := range g.pauses {
		u := g.roster.Find(run.ID)
		if !now.Before(p.until) || u != nil && u.Run() != run {
			delete(g.pauses, run)
		}
	}
}

// pausedOf lists the ids of the upstreams that want nothing from this instance at present.
func (g *Gate) pausedOf(now time.Time) []string {
	var ids []string
	for run := range g.pauses {
		if g.paused(now, run) {
			ids = append(ids, run.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// pausedRetryAfter returns the Retry-After of a call for which every upstream that takes it has asked
// this instance for a pause, or 0 if that is not the case. Callers must not all return together.
func (g *Gate) pausedRetryAfter(now time.Time, c *Call) time.Duration {
	var first time.Time
	for _, u := range g.candidates(c.Service) {
		switch {
		case !g.maySend(c, u):
		case !g.paused(now, u.Run()):
			return 0
		case first.IsZero() || g.pauses[u.Run()].until.Before(first):
			first = g.pauses[u.Run()].until
		}
	}
	if first.IsZero() {
		return 0
	}
	wait := min(max(first.Sub(now), briefRetryAfter), maxPausedRetryAfter)
	return wait + time.Duration(g.rng.Float64()*float64(wait)/2)
}
