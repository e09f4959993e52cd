package pool

import (
	"cmp"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

const (
	// evacuationTimeout is how long after the first notice an unlisted upstream is kept while
	// generations may still run there.
	evacuationTimeout = 6 * time.Second
	// minNotice is how long after its notice a leaving upstream is assumed to serve if it does not
	// state how long.
	minNotice = 1500 * time.Millisecond
	// orderSlack is added to twice the expected duration of a copy to get the timeout of a move
	// order.
	orderSlack = 400 * time.Millisecond
	// maxTries is the maximum number of move orders for one generation. Orders that found no
	// running generation or no room do not count.
	maxTries = 2
	// fullBackoff is how long a destination without room is skipped, whatever memory the
	// forecast shows as free: it may hold copies from which no generation was continued.
	fullBackoff = 400 * time.Millisecond
	// prefillRetry is the delay before the retry of a move that found no running generation, as
	// prompts cannot be moved during prefill.
	prefillRetry = 100 * time.Millisecond
	// minRemainingTime is the expected remaining duration below which a generation that ends
	// before its upstream stops is not moved.
	minRemainingTime = 150 * time.Millisecond
	// outputValue is the value of an output token in prompt tokens: engines take ten times as
	// long to decode it as to prefill a prompt token.
	outputValue = 10
)

// evacuation is the state of moving the generations off a leaving upstream. They are moved one at
// a time: copies share the upstream's link, and the final part of a copy, during which the
// generation's stream pauses, must not queue behind another copy.
type evacuation struct {
	upstream *roster.Upstream
	// stopsAt is when the upstream is expected to stop.
	stopsAt time.Time
	// order is the move in progress; nil if there is none.
	order *order
	// tries counts the moves ordered for each attempt.
	tries map[string]int
	// retryAt holds when the move of an attempt that could not be moved yet is retried.
	retryAt map[string]time.Time
}

// order is a move that an entry was ordered to make.
type order struct {
	attempt string
	number  int64
	// to is the destination upstream.
	to string
	// tokens is the size of the copy in tokens of memory.
	tokens int
	// deadline is when the order is given up.
	deadline time.Time
	sentAt   time.Time
}

// abandonedCopy is a copy that may be unused and cannot be freed. It occupies memory until it
// expires.
type abandonedCopy struct {
	upstream string
	tokens   int
	until    time.Time
}

// abandonCopy records that an order ended without confirmation of whether its copy is used.
func (h *Home) abandonCopy(now time.Time, o *order) {
	h.abandoned = append(h.abandoned, abandonedCopy{upstream: o.to, tokens: o.tokens, until: now.Add(h.engine.CopyTTL)})
}

// expireCopies releases the memory of expired copies.
func (h *Home) expireCopies(now time.Time) {
	h.abandoned = slices.DeleteFunc(h.abandoned, func(a abandonedCopy) bool {
		if now.Before(a.until) {
			return false
		}
		h.placement.ReleaseCopy(a.upstream, a.tokens)
		return true
	})
}

func newEvacuation(u *roster.Upstream, now time.Time) *evacuation {
	since := u.LeavingSince
	if since.IsZero() {
		since = now
	}
	return &evacuation{upstream: u, stopsAt: since.Add(minNotice), tries: map[string]int{}, retryAt: map[string]time.Time{}}
}

// evacuate gives up expired orders and sends the next order of each evacuation.
func (h *Home) evacuate(now time.Time) {
	if !h.engine.Moves {
		return
	}
	for _, id := range h.evacuating() {
		e := h.evacuations[id]
		if e.order != nil && now.After(e.order.deadline) {
			h.note("move_given_up", "request", e.order.attempt, "from", id, "to", e.order.to, "after", now.Sub(e.order.sentAt))
			h.abandonCopy(now, e.order)
			e.order = nil
		}
		if e.order == nil {
			h.orderNext(now, e)
		}
	}
}

// evacuating returns the sorted ids of the upstreams that are being evacuated.
func (h *Home) evacuating() []string {
	ids := make([]string, 0, len(h.evacuations))
	for id := range h.evacuations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// orderNext orders the move of the first movable generation for which a destination has room.
func (h *Home) orderNext(now time.Time, e *evacuation) {
	for _, p := range h.movable(now, e) {
		to := h.placement.Destination(now, p.Request.Attempt,
			func(name string) bool { return h.sameDataCentre(e.upstream.ID, name) },
			func(name string) bool {
				return !h.sameSoftware(e.upstream, name) || h.isDestination(name) || now.Before(h.fullUntil[name])
			})
		if to == "" {
			continue
		}
		h.sendOrder(now, e, p, to)
		return
	}
}

// movable returns the generations of an evacuation that can be moved now. Those that will not end
// before the upstream stops come first. Otherwise, the more valuable ones come first.
func (h *Home) movable(now time.Time, e *evacuation) []placement.RunningGeneration {
	var out []placement.RunningGeneration
	for _, p := range h.placement.Generations(now, e.upstream.ID) {
		if !p.Prefilled || e.tries[p.Request.Attempt] >= maxTries || h.entries[p.Request.Attempt] == "" || now.Before(e.retryAt[p.Request.Attempt]) {
			continue
		}
		if p.Tokens > 0 && remainingTime(p) < minRemainingTime && now.Add(minRemainingTime).Before(e.stopsAt) {
			continue
		}
		out = append(out, p)
	}
	endsInTime := func(p placement.RunningGeneration) int {
		if now.Add(remainingTime(p)).Before(e.stopsAt) {
			return 1
		}
		return 0
	}
	if h.without.Has(mechanism.MoveOrder) {
		return out
	}
	slices.SortStableFunc(out, func(a, b placement.RunningGeneration) int {
		return cmp.Or(cmp.Compare(endsInTime(a), endsInTime(b)), cmp.Compare(value(b), value(a)))
	})
	return out
}

// remainingTime returns the expected remaining duration of a generation.
func remainingTime(p placement.RunningGeneration) time.Duration {
	return time.Duration(p.Remaining * float64(p.TokenTime))
}

// value returns the work that the loss of a generation would waste, in prompt tokens.
func value(p placement.RunningGeneration) float64 {
	return float64(p.Request.Prompt) + outputValue*(float64(p.Tokens)+p.Remaining)
}

// sameDataCentre reports whether two upstreams are known to be in the same data centre.
func (h *Home) sameDataCentre(a, b string) bool {
	ua, ub := h.upstreams[a], h.upstreams[b]
	return ua != nil && ub != nil && ua.DataCentre == ub.DataCentre
}

// sameSoftware reports whether an upstream may go on with the generations of another one: its software can
// use what that has written.
func (h *Home) sameSoftware(from *roster.Upstream, to string) bool {
	u := h.upstreams[to]
	return u != nil && from.Entry.Origin().Admits(u.Entry)
}

// isDestination reports whether an upstream is the destination of a move in progress.
func (h *Home) isDestination(name string) bool {
	for _, e := range h.evacuations {
		if e.order != nil && e.order.to == name {
			return true
		}
	}
	return false
}

// sendOrder orders the entry of a generation to move it.
func (h *Home) sendOrder(now time.Time, e *evacuation, p placement.RunningGeneration, to string) {
	h.lastOrder++
	e.tries[p.Request.Attempt]++
	e.order = &order{
		attempt: p.Request.Attempt, number: h.lastOrder, to: to, tokens: p.Request.Prompt + p.Tokens, sentAt: now,
		deadline: now.Add(2*h.copyTime(p, e.upstream.ID, to) + orderSlack),
	}
	h.placement.HoldCopy(to, e.order.tokens)
	h.placement.CountStart(now, to)
	h.send(h.entries[p.Request.Attempt], msg.MoveOrder{
		Pool: h.service, Attempt: p.Request.Attempt, Number: h.lastOrder,
		From: e.upstream.ID, To: to, ToAddress: h.upstreams[to].Address, ToDataCentre: h.upstreams[to].DataCentre, ToSoftware: h.upstreams[to].Software,
	})
	h.note("move_ordered", "request", p.Request.Attempt, "entry", h.entries[p.Request.Attempt], "from", e.upstream.ID, "to", to, "software", softwareName(e.upstream), "to_software", softwareName(h.upstreams[to]),
		"tokens", p.Request.Prompt+p.Tokens, "left", int(p.Remaining), "try", e.tries[p.Request.Attempt], "since_notice", now.Sub(e.upstream.LeavingSince))
}

// softwareName returns the software version of an upstream as it is logged.
func softwareName(u *roster.Upstream) string {
	if u == nil || u.Software == "" {
		return "unknown"
	}
	return u.Software
}

// copyTime estimates the duration of a copy. A copy between data centres takes twice as long.
func (h *Home) copyTime(p placement.RunningGeneration, from, to string) time.Duration {
	bits := float64(p.Request.Prompt+p.Tokens) * h.engine.TokenBytes * 8
	t := time.Duration(bits / (max(h.engine.LinkMbps, 1) * 1e6) * float64(time.Second))
	if !h.sameDataCentre(from, to) {
		t *= 2
	}
	return t
}

// OnMoveResult processes an entry's report of the outcome of a move order.
func (h *Home) OnMoveResult(now time.Time, m msg.MoveResult) {
	for id, e := range h.evacuations {
		if e.order == nil || e.order.number != m.Number {
			continue
		}
		h.note("move_ended", "request", m.Attempt, "from", id, "to", e.order.to, "software", softwareName(e.upstream), "to_software", softwareName(h.upstreams[e.order.to]), "outcome", m.Outcome, "after", now.Sub(e.order.sentAt))
		if m.Outcome == msg.MoveFailed {
			h.abandonCopy(now, e.order)
		} else {
			h.placement.ReleaseCopy(e.order.to, e.order.tokens)
		}
		switch m.Outcome {
		case msg.MoveDone:
			h.placement.Move(m.Attempt, e.order.to)
		case msg.MoveNoRun:
			e.tries[m.Attempt]--
			e.retryAt[m.Attempt] = now.Add(prefillRetry)
		case msg.MoveNoRoom:
			// The generation continues where it is and can be moved later.
			e.tries[m.Attempt]--
			h.fullUntil[e.order.to] = now.Add(fullBackoff)
		}
		e.order = nil
	}
	h.evacuate(now)
}
