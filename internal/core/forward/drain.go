package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/status"
)

const (
	// longWork is how many service times longer than predicted a call of a plain service may take for a
	// drain to count on it. Work times have a long tail, and a call that is still running at the end of the
	// drain gets 504 although it may have run.
	longWork = 8
	// beyondLongest is how many times longer than the longest recent call of its service a call may take. The mean
	// shows little of long calls where most are short. Of exponential times, 1.5 loses a tenth of the calls that the
	// mean alone loses; twice loses fewer still, and refuses a quarter more callers while all instances drain.
	beyondLongest = 1.5
	// leastDrainTime is the time before the end of a drain from which nothing is sent to an upstream. It
	// covers delays of the processor and of the links.
	leastDrainTime = 250 * time.Millisecond
)

// Drain makes the gate refuse new streams, and whatever can't end before the process does, at end. A later
// end than before is ignored: the platform counts the grace period from the signal to stop, with the
// settings of that time.
func (g *Gate) Drain(end time.Time) {
	if !g.Draining() || end.Before(g.drainEnd) {
		g.drainEnd = end
	}
}

// Draining reports whether the instance is draining.
func (g *Gate) Draining() bool { return !g.drainEnd.IsZero() }

// DrainOver reports whether the requests in progress must get their final answer now.
func (g *Gate) DrainOver(now time.Time) bool { return g.Draining() && !now.Before(g.drainEnd) }

// timeLeft returns how long a call may still take, by its deadline and the end of a drain.
func (g *Gate) timeLeft(now time.Time, c *Call) time.Duration {
	left := c.Deadline.Sub(now)
	if g.Draining() {
		left = min(left, g.drainEnd.Sub(now))
	}
	return left
}

// refuseInDrain returns the refusal of a call that is not running and can't end before the process does,
// and whether there is one. A call that has run before, or that goes on with a stream, is not refused while
// a further attempt may still answer it.
func (g *Gate) refuseInDrain(now time.Time, c *Call) (Step, bool) {
	if !g.Draining() || g.endsInDrain(now, c) {
		return Step{}, false
	}
	return g.refuse(c, Draining, g.drainRetryAfter()), true
}

// MustGiveUp reports whether a call that waits for a grant or a permit can no longer end before the process
// does.
func (g *Gate) MustGiveUp(now time.Time, c *Call) bool {
	return g.Draining() && c.current == nil && len(c.resumeTargets) == 0 && !g.endsInDrain(now, c)
}

// GiveUp ends a call that waited for a grant or a permit.
func (g *Gate) GiveUp(c *Call) Step { return g.refuse(c, Draining, g.drainRetryAfter()) }

// endsInDrain reports whether a call that is sent now is expected to end before the drain does.
func (g *Gate) endsInDrain(now time.Time, c *Call) bool {
	left := g.drainEnd.Sub(now)
	switch {
	case left < leastDrainTime:
		return false
	case !now.Add(left).Before(c.Deadline):
		return true // it is answered by its deadline
	case c.Route.Kind == route.Stream || c.Route.Generation:
		return c.mayHaveRun // nothing is lost by another attempt
	}
	expected := g.expectedTime(now, c)
	return expected > 0 && expected <= left
}

// mayRetryAt reports whether a call may be sent again at a later time: an attempt is not given up for one
// that can't end in a drain.
func (g *Gate) mayRetryAt(then time.Time, c *Call) bool {
	return !g.Draining() || g.endsInDrain(then, c)
}

// expectedTime returns how long a call of a plain service takes at most that is sent now, but for rare
// ones; 0 if that is not known.
func (g *Gate) expectedTime(now time.Time, c *Call) (longest time.Duration) {
	mean, seen := g.serviceTime(c.Service), g.longestTime(c.Service)
	if mean == 0 || !g.isPlain(c) {
		return 0
	}
	for _, u := range g.takers(now, c) {
		candidate := g.candidate(now, u, mean)
		work := time.Duration(max(longWork*float64(mean), beyondLongest*float64(seen)) * candidate.Factor)
		longest = max(longest, candidate.Predict(mean)+work)
	}
	return longest
}

// drainRetryAfter returns the Retry-After of a refusal in a drain. If no other instance is ready, callers
// wait until one may have started.
func (g *Gate) drainRetryAfter() time.Duration {
	if g.alone {
		return startupRetryAfter
	}
	return briefRetryAfter
}

// endWithProcess ends a call because the process ends. One that was sent and has no response gets 504: it
// may have run, and no caller gets another statement.
func (g *Gate) endWithProcess(now time.Time, c *Call, headerDelivered bool) Step {
	if a := c.current; a != nil {
		c.current, c.mayHaveRun = nil, true
		g.recordOutcome(now, c, a, Cancelled)
	}
	step := g.failCall(c, Draining, g.drainRetryAfter(), headerDelivered)
	if step.Refuse != nil && c.mayHaveRun {
		step.Refuse.Status = status.GatewayTimeout
	}
	return step
}
