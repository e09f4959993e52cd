package trial

import (
	"time"
)

// Callers describes callers with a time limit.
type Callers struct {
	// Retries makes a refused caller send its request again, once: after the Retry-After, but after
	// at most a third of the time that it has left. A caller that gets no first token for a time
	// leaves.
	Retries bool
}

// Surge is a period of a higher arrival rate.
type Surge struct {
	At  time.Duration
	For time.Duration
	// Factor multiplies the rate.
	Factor float64
}

func (s Surge) has(at time.Duration) bool { return at >= s.At && at < s.At+s.For }

const (
	// maxWaitTargets is the MaxWait that entries state, in multiples of the target.
	maxWaitTargets = 3
	// silenceTargets and minSilence bound the time that a caller waits for the first token: the
	// longer of minSilence and this multiple of the target.
	silenceTargets = 4
	minSilence     = 2 * time.Second
	// retryShare is the largest part of its time left after which a caller retries.
	retryShare = 3
)

// CallerLeft is the fate of a request whose caller left without a first token.
const CallerLeft Fate = "caller_left"

// CallerRecord is what a caller with a time limit experienced.
type CallerRecord struct {
	// Org is the kind of request, Account the organisation.
	Org, Account string
	// Value is the size of the request in prompt tokens.
	Value  float64
	Target time.Duration
	// First is the time from the first send to the first token, FirstOfAttempt that from the last
	// send; 0 without a first token.
	First, FirstOfAttempt time.Duration
	// Held is the longest time that the home took to grant or refuse an attempt.
	Held time.Duration
	// Refusals is the number of refusals. RefusedLate is the number of those that were not immediate.
	Refusals, RefusedLate int
	// HadTurn is set if the first refusal gave the caller a turn.
	HadTurn bool
	Fate    Fate
}

// InTime reports whether the response is complete and the first token of the last attempt met the
// target.
func (c CallerRecord) InTime() bool { return c.Done() && c.FirstOfAttempt <= c.Target }

// Done reports whether the response is complete.
func (c CallerRecord) Done() bool {
	return c.Fate == InTime || c.Fate == LateFirst || c.Fate == LatePause
}

// callerObserver is a policy that is notified if a caller leaves while its attempt waits or runs.
type callerObserver interface {
	CallerLeft(q *Request, id string)
}

// timeLeft returns the time until the caller's time limit.
func (r *Run) timeLeft(q *Request) time.Duration { return q.At + q.timeout - r.now }

// refuseCaller handles a refusal of a caller with a time limit.
func (r *Run) refuseCaller(q *Request, retryAfter time.Duration) {
	q.record.Refusals++
	if r.now-q.lastSent > 4*hop {
		q.record.RefusedLate++
	}
	if q.returnCount > 0 {
		r.end(q, TurnedAway)
		return
	}
	q.returnCount++
	r.measure.result.Returned++
	r.after(min(retryAfter, r.timeLeft(q)/retryShare), func() {
		q.lastSent = r.now
		q.Entry = r.rng.IntN(r.work.Entries)
		r.after(hop, func() { r.policy.Arrive(q) })
		r.awaitFirstToken(q)
	})
}

// awaitFirstToken makes a caller leave if the attempt that it sends now has no first token in time.
func (r *Run) awaitFirstToken(q *Request) {
	sent, count := r.now, q.returnCount
	patience := min(max(minSilence, silenceTargets*q.FirstTarget), r.timeLeft(q))
	r.after(patience, func() {
		if q.lastSent == sent && q.returnCount == count && r.openRequests[q] && q.record.First == 0 {
			r.leaveCaller(q)
		}
	})
}

// leaveCaller ends a request whose caller left.
func (r *Run) leaveCaller(q *Request) {
	q.record.Held = max(q.record.Held, r.waitedAtHome(q))
	for id, g := range r.live {
		if g.req == q {
			g.abandoned = true
			delete(r.live, id)
			r.engines[g.engine].discard(g)
		}
	}
	if p, ok := r.policy.(callerObserver); ok {
		p.CallerLeft(q, q.attemptID())
	}
	r.end(q, CallerLeft)
}

// waitedAtHome returns how long the request has waited for the decision that it still waits for.
func (r *Run) waitedAtHome(q *Request) time.Duration {
	for _, g := range r.live {
		if g.req == q {
			return 0
		}
	}
	return r.now - q.lastSent
}

// recordEnd adds the record of a request that has ended.
func (r *Run) recordEnd(q *Request, f Fate) {
	if !r.work.Callers.Retries {
		return
	}
	q.record.Org, q.record.Account, q.record.Target = q.Org, q.Account, q.FirstTarget
	q.record.Value, q.record.Fate = float64(q.Prompt+outputTokenValue*q.Output), f
	r.measure.result.Callers = append(r.measure.result.Callers, q.record)
}
