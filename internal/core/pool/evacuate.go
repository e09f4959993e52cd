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
	// evacuationTimeout is how long after the first notice generations are still moved.
	evacuationTimeout = 6 * time.Second
	// minNotice is the assumed remaining life of a leaving upstream that does not state it.
	minNotice = 1500 * time.Millisecond
	// orderSlack is added to the expected duration of a move before its order is given up.
	orderSlack = 400 * time.Millisecond
	// maxTries is the number of failed moves of one generation.
	maxTries = 2
	// fullBackoff is how long a destination without room is skipped, whatever the forecast
	// says: it may hold copies that were not picked up.
	fullBackoff = 400 * time.Millisecond
	// prefillRetry is the delay before a move is retried that found no running generation:
	// prompts cannot be moved during prefill.
	prefillRetry = 100 * time.Millisecond
	// minRest is the minimum remaining duration of a generation worth moving.
	minRest = 150 * time.Millisecond
	// outputValue is the value of an output token in prompt tokens: decoding takes ten times
	// as long as prefill.
	outputValue = 10
)

// evacuation moves the generations off a leaving upstream, one at a time: copies share its
// link, and the final copy of a generation, during which its stream pauses, must not queue
// behind another's.
type evacuation struct {
	upstream *roster.Upstream
	// ends is when the upstream is expected to stop.
	ends  time.Time
	order *order
	tries map[string]int
	// later holds when generations that cannot be moved yet are tried again.
	later map[string]time.Time
}

// order is a move that an entry was told to make.
type order struct {
	attempt string
	number  int64
	to      string
	// tokens is the size of the copy.
	tokens int
	due    time.Time
	given  time.Time
}

// abandoned is an unused copy that could not be freed: it occupies memory until it expires.
type abandoned struct {
	upstream string
	tokens   int
	until    time.Time
}

// abandonCopy records that the fate of an order's copy is unknown.
func (h *Home) abandonCopy(now time.Time, o *order) {
	h.abandoned = append(h.abandoned, abandoned{upstream: o.to, tokens: o.tokens, until: now.Add(h.engine.CopyLife)})
}

// lapseCopies releases the memory of expired copies.
func (h *Home) lapseCopies(now time.Time) {
	h.abandoned = slices.DeleteFunc(h.abandoned, func(a abandoned) bool {
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
	return &evacuation{upstream: u, ends: since.Add(minNotice), tries: map[string]int{}, later: map[string]time.Time{}}
}

// evacuate gives the next order for each evacuation.
func (h *Home) evacuate(now time.Time) {
	if !h.engine.Moves {
		return
	}
	for _, id := range h.leaving() {
		e := h.evacuations[id]
		if e.order != nil && now.After(e.order.due) {
			h.note("move_given_up", "request", e.order.attempt, "from", id, "to", e.order.to, "after", now.Sub(e.order.given))
			h.abandonCopy(now, e.order)
			e.order = nil
		}
		if e.order == nil {
			h.next(now, e)
		}
	}
}

func (h *Home) leaving() []string {
	ids := make([]string, 0, len(h.evacuations))
	for id := range h.evacuations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// next orders the most valuable move.
func (h *Home) next(now time.Time, e *evacuation) {
	for _, p := range h.candidates(now, e) {
		to := h.placement.Destination(now, p.Ask.Attempt,
			func(name string) bool { return h.near(e.upstream.ID, name) },
			func(name string) bool { return h.receiving(name) || now.Before(h.full[name]) })
		if to == "" {
			continue
		}
		h.give(now, e, p, to)
		return
	}
}

// candidates lists the movable generations: those that will not finish in time first, then by
// value.
func (h *Home) candidates(now time.Time, e *evacuation) []placement.Placed {
	var out []placement.Placed
	for _, p := range h.placement.On(now, e.upstream.ID) {
		if !p.Begun || e.tries[p.Ask.Attempt] >= maxTries || h.entries[p.Ask.Attempt] == "" || now.Before(e.later[p.Ask.Attempt]) {
			continue
		}
		if p.Tokens > 0 && rest(p) < minRest && now.Add(minRest).Before(e.ends) {
			continue
		}
		out = append(out, p)
	}
	endsInTime := func(p placement.Placed) int {
		if now.Add(rest(p)).Before(e.ends) {
			return 1
		}
		return 0
	}
	if h.without.Has(mechanism.MoveOrder) {
		return out
	}
	slices.SortStableFunc(out, func(a, b placement.Placed) int {
		return cmp.Or(cmp.Compare(endsInTime(a), endsInTime(b)), cmp.Compare(value(b), value(a)))
	})
	return out
}

// rest is the expected remaining duration of a generation.
func rest(p placement.Placed) time.Duration {
	return time.Duration(p.Left * float64(p.TokenTime))
}

// value is what is lost with a generation, in prompt tokens.
func value(p placement.Placed) float64 {
	return float64(p.Ask.Prompt) + outputValue*(float64(p.Tokens)+p.Left)
}

func (h *Home) near(a, b string) bool {
	ua, ub := h.upstreams[a], h.upstreams[b]
	return ua != nil && ub != nil && ua.DataCentre == ub.DataCentre
}

// receiving reports whether an upstream is the destination of a move in progress.
func (h *Home) receiving(name string) bool {
	for _, e := range h.evacuations {
		if e.order != nil && e.order.to == name {
			return true
		}
	}
	return false
}

func (h *Home) give(now time.Time, e *evacuation, p placement.Placed, to string) {
	h.number++
	e.tries[p.Ask.Attempt]++
	e.order = &order{
		attempt: p.Ask.Attempt, number: h.number, to: to, tokens: p.Ask.Prompt + p.Tokens, given: now,
		due: now.Add(2*h.copyTime(p, e.upstream.ID, to) + orderSlack),
	}
	h.placement.HoldCopy(to, e.order.tokens)
	h.placement.Started(now, to)
	h.send(h.entries[p.Ask.Attempt], msg.MoveOrder{
		Pool: h.service, Attempt: p.Ask.Attempt, Number: h.number,
		From: e.upstream.ID, To: to, ToAddress: h.upstreams[to].Address, ToDataCentre: h.upstreams[to].DataCentre,
	})
	h.note("move_ordered", "request", p.Ask.Attempt, "entry", h.entries[p.Ask.Attempt], "from", e.upstream.ID, "to", to,
		"tokens", p.Ask.Prompt+p.Tokens, "left", int(p.Left), "try", e.tries[p.Ask.Attempt], "since_notice", now.Sub(e.upstream.LeavingSince))
}

// copyTime estimates the duration of a copy; links between data centres take twice as long.
func (h *Home) copyTime(p placement.Placed, from, to string) time.Duration {
	bits := float64(p.Ask.Prompt+p.Tokens) * h.engine.TokenBytes * 8
	t := time.Duration(bits / (max(h.engine.LinkMbps, 1) * 1e6) * float64(time.Second))
	if !h.near(from, to) {
		t *= 2
	}
	return t
}

// Moved processes the outcome of an order.
func (h *Home) Moved(now time.Time, m msg.Moved) {
	for id, e := range h.evacuations {
		if e.order == nil || e.order.number != m.Number {
			continue
		}
		h.note("move_ended", "request", m.Attempt, "from", id, "to", e.order.to, "outcome", m.Outcome, "after", now.Sub(e.order.given))
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
			e.later[m.Attempt] = now.Add(prefillRetry)
		case msg.MoveNoRoom:
			// The generation goes on and can be moved later.
			e.tries[m.Attempt]--
			h.full[e.order.to] = now.Add(fullBackoff)
		}
		e.order = nil
	}
	h.evacuate(now)
}
