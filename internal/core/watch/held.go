package watch

import "time"

// Held holds the queries of other instances while there is nothing new for them. M is the type of the
// queries. It is not safe for concurrent use.
type Held[M any] struct {
	timing Timing
	// waiting holds the query of each instance by name. A newer query replaces an older one.
	waiting map[string]HeldQuery[M]
	// reported holds, by name, the confirmation in the last response to each instance.
	reported map[string]time.Time
}

// HeldQuery is a query that waits for a response.
type HeldQuery[M any] struct {
	From    string
	Message M
	// Arrived is the time at which the query arrived.
	Arrived time.Time
	// until is the end of the hold, and confirmed the last confirmation as the query arrived.
	until, confirmed time.Time
}

// NewHeld returns an empty set of held queries.
func NewHeld[M any](t Timing) *Held[M] {
	return &Held[M]{timing: t, waiting: map[string]HeldQuery[M]{}, reported: map[string]time.Time{}}
}

// SetTiming replaces the time limits.
func (h *Held[M]) SetTiming(t Timing) { h.timing = t }

// HasNews reports whether a query should be responded to immediately because its sender has not been notified of
// the last confirmation, which is recent.
func (h *Held[M]) HasNews(now time.Time, from string, confirmed time.Time) bool {
	return now.Sub(confirmed) < h.timing.SourceOverdue && confirmed.Sub(h.reported[from]) >= h.timing.ReadInterval/2
}

// Told records the confirmation in a response to an instance.
func (h *Held[M]) Told(to string, confirmed time.Time) { h.reported[to] = confirmed }

// Add holds a query for at most the given time; 0 means Timing.Hold. confirmed is the time as of which
// this instance's state was last confirmed.
func (h *Held[M]) Add(now time.Time, from string, m M, hold time.Duration, confirmed time.Time) {
	if hold <= 0 || hold > h.timing.Hold {
		hold = h.timing.Hold
	}
	h.waiting[from] = HeldQuery[M]{From: from, Message: m, Arrived: now, until: now.Add(hold), confirmed: confirmed}
}

// Waiting returns all held queries.
func (h *Held[M]) Waiting() []HeldQuery[M] {
	out := make([]HeldQuery[M], 0, len(h.waiting))
	for _, q := range h.waiting {
		out = append(out, q)
	}
	return out
}

// IsDue reports whether a query must be responded to although there is no update: its hold has ended, or
// the reader has confirmed the state again. confirmed is the last confirmation. Smaller steps of
// that time are not reported, as there may be many of them in a second.
func (h *Held[M]) IsDue(now time.Time, q HeldQuery[M], confirmed time.Time) bool {
	return !now.Before(q.until) || confirmed.Sub(q.confirmed) >= h.timing.ReadInterval/2
}

// Remove removes a query unless a newer one has replaced it, and reports whether it was still held.
func (h *Held[M]) Remove(q HeldQuery[M]) bool {
	if current, ok := h.waiting[q.From]; !ok || !current.Arrived.Equal(q.Arrived) {
		return false
	}
	delete(h.waiting, q.From)
	return true
}
