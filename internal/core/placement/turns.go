package placement

import "time"

const (
	// turnShare is the largest part of a rank's drain that is used for turns. The rest is for
	// newcomers that can be in time.
	turnShare = 0.5
	// minTurnShare is the part that is used for turns however much arrives.
	minTurnShare = 0.1
	// retryShare is the largest part of its time left after which a caller retries.
	retryShare = 1.0 / 3
	// minTurn is the shortest Retry-After of a turn.
	minTurn = 200 * time.Millisecond
	// spreadShare is the part of a Retry-After over which callers without a turn are spread.
	spreadShare = 0.3
	// earlyShare is the part of its Retry-After by which a caller may return early.
	earlyShare = 0.2
)

// turns holds from when on the next turn of each rank can be given.
type turns struct {
	next [rankCount]time.Time
	// given is the number of turns that were given.
	given int
}

// give gives a turn of a rank, not before earliest and not before the next turn of the rank, and reserves
// the time that the turn takes. It gives none if the turn would come after latest.
func (t *turns) give(rank int, earliest, latest time.Time, takes time.Duration) (turn time.Time, ok bool) {
	turn = earliest
	if t.next[rank].After(turn) {
		turn = t.next[rank]
	}
	if turn.After(latest) {
		return latest, false
	}
	t.next[rank] = turn.Add(takes)
	t.given++
	return turn, true
}

// deferRequest refuses a request. Its Retry-After is when its turn comes, but at most a third of the time
// that the caller has left: it returns after that time in any case. since is when the caller first sent
// the request; caller is the record of a caller that has returned, nil for a newcomer.
func (h *Home) deferRequest(now, since time.Time, req *Request, cost float64, o outlook, caller *refusedCaller) Decision {
	latest := now.Add(retryMax)
	if req.TimeLeft > 0 {
		latest = now.Add(seconds(req.TimeLeft.Seconds() * retryShare))
	}
	rate := o.rate.minus(h.flow.arrivals(o.rank), minTurnShare, turnShare)
	late := seconds((h.queue.lateCost + h.refusedCallers.cost) / h.meter.lateRate(h.drainRate(now)))
	turn, ok := h.turns.give(o.rank, now.Add(max(o.wait, late, minTurn)), latest, workOf(req, cost).time(rate))
	d := Decision{Attempt: req.Attempt, Kind: Refused, Reason: ReasonDeferred, RetryAfter: max(turn.Sub(now), minTurn)}
	if !ok {
		d.Reason, d.RetryAfter = ReasonQueueFull, spreadReturn(d.RetryAfter, req.Fingerprint)
	}
	d.Rank = req.Rank
	d.Refusal = Refusal{
		Ahead: o.count, First: o.first, Target: req.FirstTarget, Turns: h.turns.given, Returned: caller != nil,
	}
	h.refusedCallers.addTurn(now, since, req, d.RetryAfter, cost, ok)
	return d
}

// spreadReturn shortens a Retry-After by up to spreadShare of it. Without turns, callers that were refused
// together would return together.
func spreadReturn(after time.Duration, fingerprint uint64) time.Duration {
	const steps = 1024
	part := float64(fingerprint%steps) / steps
	return after - time.Duration(spreadShare*part*float64(after))
}

// addTurn records a refused caller, which replaces the record of an earlier refusal.
func (r *refusedCallers) addTurn(now, since time.Time, req *Request, after time.Duration, cost float64, hasTurn bool) {
	if c := r.byFingerprint[req.Fingerprint]; c != nil {
		r.drop(c)
	}
	r.add(now, since, req, after, cost)
	c := r.byFingerprint[req.Fingerprint]
	if c == nil {
		return
	}
	c.hasTurn = hasTurn
	if req.TimeLeft > 0 {
		c.earliest = c.returnAt.Add(-seconds(after.Seconds() * earlyShare))
	}
}

// takeTurn returns and drops the record of a caller that returns when it was asked to. It returns nil for
// any other caller.
func (r *refusedCallers) takeTurn(now time.Time, req *Request) *refusedCaller {
	c := r.byFingerprint[req.Fingerprint]
	if c == nil || now.Before(c.earliest) {
		return nil
	}
	r.drop(c)
	return c
}
