package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
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
	// maxPromises bounds the number of promises.
	maxPromises = 16_384
	// promiseTTL is how long a promise is kept after the time at which the caller should return.
	promiseTTL = 10 * time.Second
)

// drainRate returns the cost that the pool completes per second: tokens of memory times output
// tokens a second for engines, calls a second for plain services.
func (h *Home) drainRate(now time.Time) float64 {
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
	return max(h.meter.rate(guess), 1)
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
	rate := h.drainRate(now)
	left := h.meter.lateRate(rate)
	cost, prompts := h.queue.lateAhead(q)
	prefill := h.prefillRate(now) * left / rate
	return seconds(max((cost+q.cost)/left, (prompts+float64(q.req.Prompt))/max(prefill, 1)))
}

// prefillRate returns the total prefill throughput of the pool in tokens a second.
func (h *Home) prefillRate(now time.Time) float64 {
	sum := 0.0
	for _, u := range h.upstreams {
		if u.takesWork(now) {
			sum += u.assumedSpeed.rate
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
	after := seconds((ahead + h.promises.cost) / rate)
	after = min(max(after, retryMin), retryMax)
	h.promises.add(now, since, req, after, cost)
	return Decision{Attempt: req.Attempt, Kind: Refused, Reason: ReasonQueueFull, RetryAfter: after}
}

// promise is the record of a refused request: a caller that sends it again after its Retry-After
// is queued as if it had waited since its first request.
type promise struct {
	fingerprint uint64
	// firstSent is when the caller first sent the request, returnAt is the end of the
	// Retry-After.
	firstSent, returnAt time.Time
	cost                float64
}

// promises holds the promises that callers have not yet redeemed.
type promises struct {
	byFingerprint map[uint64]*promise
	// order lists the promises, oldest first. It may include redeemed ones.
	order []*promise
	// cost is the sum of the costs of the promises.
	cost float64
}

func newPromises() promises { return promises{byFingerprint: map[uint64]*promise{}} }

func (p *promises) add(now, since time.Time, req *Request, after time.Duration, cost float64) {
	if req.Fingerprint == 0 || p.byFingerprint[req.Fingerprint] != nil || len(p.byFingerprint) >= maxPromises {
		return
	}
	pr := &promise{fingerprint: req.Fingerprint, firstSent: since, returnAt: now.Add(after), cost: cost}
	p.byFingerprint[req.Fingerprint] = pr
	p.order = append(p.order, pr)
	p.cost += cost
}

// redeem returns the time from which a request counts as waiting: the time of the caller's first
// request if it was refused then and has returned after the Retry-After, now otherwise.
func (p *promises) redeem(now time.Time, req *Request) time.Time {
	pr := p.byFingerprint[req.Fingerprint]
	if pr == nil || now.Before(pr.returnAt) {
		return now
	}
	p.drop(pr)
	return pr.firstSent
}

func (p *promises) drop(pr *promise) {
	if p.byFingerprint[pr.fingerprint] != pr {
		return
	}
	delete(p.byFingerprint, pr.fingerprint)
	p.cost = max(p.cost-pr.cost, 0)
}

// expire drops the promises whose callers did not return.
func (p *promises) expire(now time.Time) {
	for len(p.order) > 0 {
		pr := p.order[0]
		live := p.byFingerprint[pr.fingerprint] == pr
		if live && now.Sub(pr.returnAt) < promiseTTL {
			return
		}
		p.drop(pr)
		p.order = p.order[1:]
	}
}
