package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

const (
	// usable is the mean fraction of the upstreams' memory in use while work waits.
	usable = 0.75
	// retryMin and retryMax bound the Retry-After of refusals.
	retryMin = time.Second
	retryMax = 5 * time.Minute
	// readMargin is the time allowed between a grant and its first token beside the prefill:
	// messages, the rest of the previous prompt, a slower upstream.
	readMargin = 250 * time.Millisecond
	// maxPromises bounds the number of promises.
	maxPromises = 16_384
	// promiseTTL is how long a promise is kept after its time.
	promiseTTL = 10 * time.Second
)

// drainRate returns the cost that the pool completes per second: memory times tokens a second.
func (h *Home) drainRate(now time.Time) float64 {
	guess := 0.0
	for _, u := range h.upstreams {
		switch {
		case !u.takesWork(now):
		case h.settings.Engine:
			guess += float64(u.report.Capacity) * usable / u.timePerToken()
		default:
			guess += float64(u.report.MaxBatch)
		}
	}
	return max(h.meter.rate(guess), 1)
}

// predictWait returns the expected wait of an ask: until the work ahead of it has drained,
// while cheaper work continues to arrive. An ask with a target that it can still meet waits
// until its deadline at most before it is reconsidered.
func (h *Home) predictWait(now, since time.Time, ask *Ask, cost float64) time.Duration {
	if h.queue.len() == 0 {
		return 0
	}
	key := h.queue.keyOf(ask, since, cost)
	if h.settings.Predict && ask.FirstTarget > 0 {
		if h.misses(now, since, ask) {
			return h.lateWait(now, &queued{ask: *ask, key: key.Add(lateBehind), cost: cost})
		}
		return 0
	}
	rate := h.drainRate(now)
	left := max(rate-h.meter.cheaper(cost), rate*minShare)
	ahead := h.queue.ahead(key) + cost
	return seconds(ahead / left * h.meter.doubt())
}

// tooLong reports whether an ask is refused because its wait would be in vain.
func (h *Home) tooLong(wait, patience time.Duration) bool {
	return wait > patience && !h.settings.Without.Has(mechanism.EarlyRefusal)
}

// lateWait returns the expected wait of a late ask behind the timely ones, by memory or by
// prefill.
func (h *Home) lateWait(now time.Time, q *queued) time.Duration {
	rate := h.drainRate(now)
	left := h.meter.lateRate(rate)
	cost, prompts := h.queue.lateAhead(q)
	reading := h.readRate(now) * left / rate
	return seconds(max((cost+q.cost)/left, (prompts+float64(q.ask.Prompt))/max(reading, 1)))
}

// readRate returns the pool's prefill throughput in tokens a second.
func (h *Home) readRate(now time.Time) float64 {
	sum := 0.0
	for _, u := range h.upstreams {
		if u.takesWork(now) {
			sum += u.believed.rate
		}
	}
	return sum
}

// misses reports whether a queued ask can no longer meet its deadline.
func (h *Home) misses(now, since time.Time, ask *Ask) bool {
	if ask.FirstTarget == 0 {
		return false
	}
	first := now.Add(readMargin + seconds(float64(ask.Prompt)/h.typicalRate()))
	return first.After(since.Add(ask.FirstTarget))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// refuse refuses an ask with a Retry-After: when the queue and the work of callers who were
// told to return earlier have drained.
func (h *Home) refuse(now, since time.Time, ask *Ask, cost float64) Decision {
	rate, ahead := h.drainRate(now), h.queue.cost
	if h.settings.Predict && ask.FirstTarget > 0 {
		// Those who can be on time still go first: it gets what they leave.
		rate, ahead = h.meter.lateRate(rate), h.queue.lateCost
	}
	after := seconds((ahead + h.promises.cost) / rate)
	after = min(max(after, retryMin), retryMax)
	h.promises.add(now, since, ask, after, cost)
	return Decision{Attempt: ask.Attempt, Kind: Refused, Reason: ReasonQueueFull, RetryAfter: after}
}

// promise is the Retry-After given to a refused caller.
type promise struct {
	print uint64
	// since is when the caller first asked, at when it was told to return.
	since, at time.Time
	cost      float64
}

// promises holds the promises by fingerprint. A caller who returns as told takes the place of
// its first ask.
type promises struct {
	byPrint map[uint64]*promise
	order   []*promise
	cost    float64
}

func newPromises() promises { return promises{byPrint: map[uint64]*promise{}} }

func (p *promises) add(now, since time.Time, ask *Ask, after time.Duration, cost float64) {
	if ask.Fingerprint == 0 || p.byPrint[ask.Fingerprint] != nil || len(p.byPrint) >= maxPromises {
		return
	}
	made := &promise{print: ask.Fingerprint, since: since, at: now.Add(after), cost: cost}
	p.byPrint[ask.Fingerprint] = made
	p.order = append(p.order, made)
	p.cost += cost
}

// redeem returns the time from which an ask counts as waiting: that of its first refusal if
// the caller returned as told.
func (p *promises) redeem(now time.Time, ask *Ask) time.Time {
	made := p.byPrint[ask.Fingerprint]
	if made == nil || now.Before(made.at) {
		return now
	}
	p.drop(made)
	return made.since
}

func (p *promises) drop(made *promise) {
	if p.byPrint[made.print] != made {
		return
	}
	delete(p.byPrint, made.print)
	p.cost = max(p.cost-made.cost, 0)
}

// forget drops the promises whose callers did not return.
func (p *promises) forget(now time.Time) {
	for len(p.order) > 0 {
		made := p.order[0]
		live := p.byPrint[made.print] == made
		if live && now.Sub(made.at) < promiseTTL {
			return
		}
		p.drop(made)
		p.order = p.order[1:]
	}
}
