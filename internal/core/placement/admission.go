package placement

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

const (
	// heldTargets and maxHeld bound the wait of an attempt at the home. Callers abandon a silent
	// stream after four targets, and need time for another attempt.
	heldTargets = 3
	maxHeld     = 8 * time.Second
	// returnedSlack multiplies the wait from which a caller that has returned is refused by a prediction.
	// Predictions are off by up to a factor of two while engines come and go, and it does not return again.
	returnedSlack = 2
)

// MaxHeld returns how long an attempt with a target for its first token may wait at the home.
func MaxHeld(target time.Duration) time.Duration { return min(heldTargets*target, maxHeld) }

// defers reports whether a request is refused with a turn if it cannot be in time.
func (h *Home) defers(req *Request) bool {
	return h.settings.Predict && req.FirstTarget > 0 && !h.settings.Without.Has(mechanism.Deferrals)
}

// maxWait returns how long an attempt may wait in the queue.
func (h *Home) maxWait(req *Request) time.Duration {
	if !h.defers(req) {
		return req.MaxWait
	}
	return min(req.MaxWait, MaxHeld(req.FirstTarget))
}

// outlook is the predicted course of a request that joins the queue.
type outlook struct {
	rank int
	// count is the number of the requests that are served first.
	count int
	// rate is the work per second that reaches the rank.
	rate work
	// wait is the time until the grant, first the time until the first token.
	wait, first time.Duration
}

// outlookOf predicts the course of a request that arrives now.
func (h *Home) outlookOf(now time.Time, req *Request) outlook {
	o := outlook{rank: h.queue.rankOf(req)}
	o.rate = h.rateOf(now, o.rank)
	o.wait, o.count = h.feasibleWait(now, req, o.rank, o.rate)
	o.wait = max(o.wait, h.limitedWait(now, req, o.count))
	o.first = o.wait + firstTokenMargin + seconds(float64(req.Prompt)/h.poolPrefillRate())
	return o
}

// feasibleWait returns how long a request that arrives now waits for the timely requests before it, at a
// rate of work, and their number. One of these that cannot be in time itself is served after this
// request, so that it is left out: in a lasting overload the queue is full of them, and otherwise all
// newcomers would seem hopeless.
func (h *Home) feasibleWait(now time.Time, req *Request, rank int, rate work) (wait time.Duration, count int) {
	for _, q := range h.queue.servedBefore(req.Org, rank, h.queue.keyOf(req, now, 0)) {
		first := now.Add(wait + firstTokenMargin + seconds(float64(q.req.Prompt)/h.poolPrefillRate()))
		if q.hasTurn() || !first.After(q.firstSent.Add(q.req.FirstTarget)) {
			wait += workOf(&q.req, q.cost).time(rate)
			count++
		}
	}
	return wait, count
}

// servedBefore returns the timely requests that are served before one of an organisation and a rank with
// a key, in their order. In the same rank, another organisation is served first as far as fairness
// permits.
func (q *queue) servedBefore(org string, rank int, key time.Time) []*queuedRequest {
	all := q.timelyBefore(rank, key)
	limit := q.clock + q.slack
	if o := q.orgs[org]; o != nil {
		limit = max(q.clock, o.served) + q.slack
	}
	for _, item := range all {
		if item.rank == rank && item.req.Org == org {
			limit += item.cost
		}
	}
	served := map[string]float64{}
	return slices.DeleteFunc(all, func(item *queuedRequest) bool {
		name := item.req.Org
		if item.rank < rank || name == org {
			return false
		}
		served[name] += item.cost
		return q.orgs[name].served+served[name] > limit
	})
}

// timelyBefore returns the timely requests before one of a rank with a key, in their order apart from
// fairness.
func (q *queue) timelyBefore(rank int, key time.Time) []*queuedRequest {
	var out []*queuedRequest
	for _, l := range q.waiting {
		if l.rank > rank {
			continue
		}
		for _, item := range l.requests {
			if !item.late && (l.rank < rank || !item.key.After(key)) {
				out = append(out, item)
			}
		}
	}
	slices.SortFunc(out, inOrder)
	return out
}

// rateOf returns the work per second that reaches a rank: what it and more urgent ranks get, without the
// more urgent work that continues to arrive, but at least its share.
func (h *Home) rateOf(now time.Time, rank int) work {
	supply := h.prefillRate(now)
	var urgent work
	for r := range rank {
		urgent.add(h.flow.arrivals(r), 1)
	}
	all := h.flow.rate(rank, supply, work{cost: h.guessedDrain(now), prompts: supply})
	return all.minus(urgent, rankShare, 1)
}

// admit queues a request that has a target, or refuses it. A newcomer is refused if its first token is
// predicted to be late, and any request if it would wait longer than it may. A caller that has returned
// after a refusal keeps its place by when it first sent the request; one that had a turn is not refused by
// a prediction again.
func (h *Home) admit(now time.Time, req Request, cost float64) []Decision {
	caller := h.refusedCallers.takeTurn(now, &req)
	o := h.outlookOf(now, &req)
	since := now
	if caller != nil {
		since = caller.firstSent
	}
	tooLate := caller == nil && o.first > req.FirstTarget
	if caller == nil || !caller.hasTurn {
		tooLate = tooLate || h.predictWait(now, since, &req, cost) > caller.slack()*h.maxWait(&req)
	}
	if tooLate && !h.settings.Without.Has(mechanism.EarlyRefusal) {
		return []Decision{h.deferRequest(now, since, &req, cost, o, caller)}
	}
	q := h.queue.push(req, since, cost)
	q.arrived, q.maxWait, q.caller = now, h.maxWait(&req), caller
	out := h.drainQueue(now)
	if h.queue.byAttempt[req.Attempt] != nil {
		out = append(out, h.position(q))
	}
	for k := range out {
		if caller != nil && out[k].Attempt == req.Attempt {
			out[k].Turn, out[k].Rank = true, req.Rank
		}
	}
	return out
}

// slack returns the factor by which a predicted wait may exceed what a request may wait. c is nil for a
// newcomer.
func (c *refusedCaller) slack() time.Duration {
	if c == nil {
		return 1
	}
	return returnedSlack
}

// lateWaitOfRank returns the expected wait of a late request behind the timely ones of its rank and the
// late ones before it.
func (h *Home) lateWaitOfRank(now time.Time, q *queuedRequest) time.Duration {
	rank := h.queue.rankOf(&q.req)
	rate := h.rateOf(now, rank).minus(h.flow.arrivals(rank), minTurnShare, 1)
	var ahead work
	ahead.cost, ahead.prompts = h.queue.lateAhead(q)
	ahead.add(workOf(&q.req, q.cost), 1)
	return ahead.time(rate)
}

// refuseHopeless refuses the late requests that are predicted to reach their maximum wait, by the work of
// the late requests before them that remain.
func (h *Home) refuseHopeless(now time.Time) (out []Decision) {
	if h.queue.lateCount == 0 || h.settings.Without.Has(mechanism.EarlyRefusal) {
		return nil
	}
	for _, q := range h.queue.late() {
		if !h.defers(&q.req) || q.hasTurn() || now.Sub(q.arrived)+h.lateWait(now, q) <= q.caller.slack()*q.maxWait {
			continue
		}
		h.queue.remove(q)
		out = append(out, h.refuseQueued(now, q))
	}
	return out
}
