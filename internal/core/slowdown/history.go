package slowdown

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// historyLen is the number of statements of a history and historyStep the time for which a later
	// one replaces the last, so that a history spans at least 1.6 s. Prompts are computed and decode
	// intervals measured in less.
	historyLen  = 32
	historyStep = 50 * time.Millisecond
)

// History is a State that also answers how slow the upstream was in the recent past, so that what was
// measured then can be corrected. The zero value has no statement.
type History struct {
	State
	// marks is a ring of the latest statements; count is the number of all.
	marks [historyLen]mark
	count int
}

// mark is a statement and the mean after it.
type mark struct {
	at           time.Time
	factor, mean float64
}

// Observe records a statement as State.Observe does, and reports whether it was taken.
func (h *History) Observe(at time.Time, factor float64) bool {
	last := h.State.at
	h.State.Observe(at, factor)
	if h.State.at.Equal(last) {
		return false
	}
	m := mark{at: at, factor: h.factor, mean: h.mean}
	if h.count > 0 && at.Sub(h.mark(0).at) < historyStep {
		m.at = h.mark(0).at
		h.count--
	}
	h.marks[h.count%historyLen] = m
	h.count++
	return true
}

// mark returns the i-th latest statement.
func (h *History) mark(i int) *mark { return &h.marks[(h.count-1-i)%historyLen] }

// span is a part of the past and the mean factor expected in it.
type span struct {
	seconds, factor float64
}

// spans appends the parts of the time between two moments, latest first, to buf. The factor between
// two statements is assumed to be that of the nearer one, returning to the mean with the distance.
func (h *History) spans(buf []span, from, to time.Time) []span {
	n := min(h.count, historyLen)
	for i := 0; i < n && to.After(from); i++ {
		m, begin := h.mark(i), from
		if i+1 < n {
			prev := h.mark(i + 1).at
			begin = prev.Add(m.at.Sub(prev) / 2)
		}
		if begin.Before(from) {
			begin = from
		}
		if begin.Before(to) {
			buf = append(buf, m.span(begin, to))
			to = begin
		}
	}
	return buf
}

// span returns the mean factor between two moments as expected from one statement.
func (m *mark) span(from, to time.Time) span {
	length := to.Sub(from).Seconds()
	excess := (m.factor - m.mean) * (m.nearness(to) - m.nearness(from))
	return span{seconds: length, factor: m.mean + excess/length}
}

// nearness is the integral of exp(-d/spellTime), with the distance d from the statement, from the
// statement to a moment, in seconds.
func (m *mark) nearness(t time.Time) float64 {
	d := t.Sub(m.at).Seconds() / spellTime.Seconds()
	return math.Copysign(spellTime.Seconds()*(1-math.Exp(-math.Abs(d))), d)
}

// Mean returns the factor by which work that was done between two moments took longer than usual:
// the inverse of the mean speed.
func (h *History) Mean(from, to time.Time) float64 {
	var buf [historyLen]span
	work, total := 0.0, 0.0
	for _, s := range h.spans(buf[:0], from, to) {
		total += s.seconds
		work += s.seconds / s.factor
	}
	if work == 0 {
		return Usual
	}
	return total / work
}

// Quartile returns the lower quartile of the factors between two moments, weighed by the work that was
// done at each. It corrects the lower quartile of measured intervals.
func (h *History) Quartile(from, to time.Time) float64 {
	var buf [historyLen]span
	spans := h.spans(buf[:0], from, to)
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.factor, b.factor) })
	work := 0.0
	for _, s := range spans {
		work += s.seconds / s.factor
	}
	before := 0.0
	for _, s := range spans {
		if before += s.seconds / s.factor; before >= work/4 {
			return s.factor
		}
	}
	return Usual
}
