package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
)

const (
	// usableMemory is the mean fraction of the upstreams' memory in use while requests wait.
	usableMemory = 0.75
	// retryMin and retryMax bound the Retry-After of refusals.
	retryMin = time.Second
	retryMax = 5 * time.Minute
	// firstTokenMargin is the time allowed between a grant and its first token in addition to
	// the prefill. It covers messages, the rest of the previous prompt and a slower upstream.
	firstTokenMargin = 250 * time.Millisecond
	// maxRefusedCallers is the maximum number of records of refused requests.
	maxRefusedCallers = 16_384
	// refusedCallerTTL is how long such a record is kept after the end of the Retry-After.
	refusedCallerTTL = 10 * time.Second
)

// drainRate returns the cost that the pool completes per second: tokens of memory times output
// tokens a second for engines, calls a second for plain services.
func (h *Home) drainRate(now time.Time) float64 {
	return max(h.meter.rate(h.guessedDrain(now)), 1)
}

// guessedDrain returns the drain rate that is assumed before it is measured.
func (h *Home) guessedDrain(now time.Time) float64 {
	guess := 0.0
	for _, u := range h.upstreams {
		switch {
		case !u.takesWork(now):
		case h.settings.Engine:
			guess += float64(u.report.Capacity) * usableMemory / u.tokenTimeOrDefault()
		default:
			guess += float64(u.report.MaxBatch)
		}
	}
	return guess
}

// predictWait returns the expected wait of a request: until the work ahead of it has drained,
// while cheaper work continues to arrive. With Settings.Predict it is 0 for a request that can
// still meet its deadline: such a request waits until the deadline at most and is then reconsidered.
func (h *Home) predictWait(now, since time.Time, req *Request, cost float64) time.Duration {
	if h.queue.len() == 0 {
		return 0
	}
	key := h.queue.keyOf(req, since, cost)
	if h.settings.Predict && req.FirstTarget > 0 {
		if h.missesDeadline(now, since, req) {
			return h.lateWait(now, &queuedRequest{req: *req, key: key.Add(lateKeyDelay), cost: cost})
		}
		return 0
	}
	rate := h.drainRate(now)
	left := max(rate-h.meter.cheaperRate(cost), rate*minShare)
	ahead := h.queue.costAhead(key) + cost
	return seconds(ahead / left * h.meter.correction())
}

// tooLong reports whether a request is refused because its predicted wait exceeds the maximum.
func (h *Home) tooLong(wait, maxWait time.Duration) bool {
	return wait > maxWait && !h.settings.Without.Has(mechanism.EarlyRefusal)
}

// lateWait returns the expected wait of a late request behind the timely ones: until the late
// work ahead of it has drained, limited by memory or by prefill, whichever takes longer.
func (h *Home) lateWait(now time.Time, q *queuedRequest) time.Duration {
	if h.defers(&q.req) {
		return h.lateWaitOfRank(now, q)
	}
	rate := h.drainRate(now)
	left := h.meter.lateRate(rate)
	cost, prompts := h.queue.lateAhead(q)
	prefill := h.prefillRate(now) * left / rate
	return seconds(max((cost+q.cost)/left, (prompts+float64(q.req.Prompt))/max(prefill, 1)))
}

// limitedWait returns how long a request waits if every upstream that takes it states a rate limit:
// until the requests ahead have been started at these rates. It is 0 if an upstream has no limit.
func (h *Home) limitedWait(now time.Time, req *Request, ahead int) time.Duration {
	var limiters []*ratelimit.Bucket
	for _, u := range h.upstreams {
		if !u.takesWork(now) || !u.allowed(req, nil) {
			continue
		}
		if !u.limiter.Limit().Stated {
			return 0
		}
		limiters = append(limiters, &u.limiter)
	}
	if len(limiters) == 0 {
		return 0
	}
	return ratelimit.Wait(now, ahead+1, limiters)
}

// prefillRate returns the total prefill throughput of the pool in tokens a second.
func (h *Home) prefillRate(now time.Time) float64 {
	sum := 0.0
	for _, u := range h.upstreams {
		if u.takesWork(now) {
			sum += u.expectedRate()
		}
	}
	return sum
}

// missesDeadline reports whether a request that was first sent at since can no longer meet the
// deadline of its first token.
func (h *Home) missesDeadline(now, since time.Time, req *Request) bool {
	if req.FirstTarget == 0 {
		return false
	}
	first := now.Add(firstTokenMargin + seconds(float64(req.Prompt)/h.poolPrefillRate()))
	return first.After(since.Add(req.FirstTarget))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// refuse refuses a request. Its Retry-After is the time until both the queued work and the work of
// the callers that were refused before and are expected to return have drained.
func (h *Home) refuse(now, since time.Time, req *Request, cost float64) Decision {
	rate, ahead := h.drainRate(now), h.queue.cost
	if h.settings.Predict && req.FirstTarget > 0 {
		// Requests that can still meet their deadlines are served first: this one gets the
		// share of late requests.
		rate, ahead = h.meter.lateRate(rate), h.queue.lateCost
	}
	after := seconds((ahead + h.refusedCallers.cost) / rate)
	after = max(after, h.limitedWait(now, req, h.queue.len()+len(h.refusedCallers.byFingerprint)))
	after = min(max(after, retryMin), retryMax)
	h.refusedCallers.add(now, since, req, after, cost)
	return Decision{Attempt: req.Attempt, Kind: Refused, Reason: ReasonQueueFull, RetryAfter: after}
}

// refusedCaller is the record of a refused request. A caller that sends it again after its
// Retry-After is queued as if it had waited since its first request.
type refusedCaller struct {
	fingerprint uint64
	// firstSent is when the caller first sent the request, returnAt is the end of the
	// Retry-After.
	firstSent, returnAt time.Time
	// earliest is from when on a caller may return for its turn; any time if it is zero, as the time
	// that the caller has left is then unknown.
	earliest time.Time
	// hasTurn is set if the Retry-After is the caller's turn.
	hasTurn bool
	cost    float64
}

// refusedCallers holds the records of refused requests whose callers have not yet returned.
type refusedCallers struct {
	byFingerprint map[uint64]*refusedCaller
	// order lists the records, oldest first. It may include those of callers that have returned.
	order []*refusedCaller
	// cost is the sum of the costs of the requests in byFingerprint.
	cost float64
}

func newRefusedCallers() refusedCallers {
	return refusedCallers{byFingerprint: map[uint64]*refusedCaller{}}
}

func (r *refusedCallers) add(now, since time.Time, req *Request, after time.Duration, cost float64) {
	if req.Fingerprint == 0 || r.byFingerprint[req.Fingerprint] != nil || len(r.byFingerprint) >= maxRefusedCallers {
		return
	}
	c := &refusedCaller{fingerprint: req.Fingerprint, firstSent: since, returnAt: now.Add(after), cost: cost}
	r.byFingerprint[req.Fingerprint] = c
	r.order = append(r.order, c)
	r.cost += cost
}

// waitingSince returns the time from which a request counts as waiting: the time of the caller's
// first request if it was refused then and has returned after the Retry-After, now otherwise.
// The record of a caller that has returned is dropped.
func (r *refusedCallers) waitingSince(now time.Time, req *Request) time.Time {
	c := r.byFingerprint[req.Fingerprint]
	if c == nil || now.Before(c.returnAt) {
		return now
	}
	r.drop(c)
	return c.firstSent
}

func (r *refusedCallers) drop(c *refusedCaller) {
	if r.byFingerprint[c.fingerprint] != c {
		return
	}
	delete(r.byFingerprint, c.fingerprint)
	r.cost = max(r.cost-c.cost, 0)
}

// expire drops the records whose callers did not return in time.
func (r *refusedCallers) expire(now time.Time) {
	for len(r.order) > 0 {
		c := r.order[0]
		live := r.byFingerprint[c.fingerprint] == c
		if live && now.Sub(c.returnAt) < refusedCallerTTL {
			return
		}
		r.drop(c)
		r.order = r.order[1:]
	}
}
