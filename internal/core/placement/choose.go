package placement

import (
	"math"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// printSpread is the number of upstreams that may run one fingerprint at a time. It bounds the
// damage of a request that crashes engines before its strikes are known, however many callers
// send it.
const printSpread = 2

// readAhead is the backlog, in seconds of prefill, up to which an upstream gets another
// prompt. Requests wait at the home instead, where they can be reordered, take the first free
// upstream and hold no memory.
const readAhead = 0.1

// readAheadNow returns readAhead, or no bound if WaitAtHome is disabled.
func readAheadNow(without mechanism.Set) float64 {
	if without.Has(mechanism.WaitAtHome) {
		return math.Inf(1)
	}
	return readAhead
}

// summary is the part of an upstream's record that a placement reads. The summaries are
// contiguous: with hundreds of upstreams, reading the full records would dominate the cost of
// a decision.
type summary struct {
	// free is the fraction of the memory that the forecast leaves free.
	free float64
	// prompts is the number of prompt tokens not computed by promptsAt.
	prompts   float64
	promptsAt int64
	// freshUntil is when the last report expires, in nanoseconds; in the past for an upstream
	// that is leaving.
	freshUntil int64
	// openAt is when the upstream accepts the next request, in nanoseconds.
	openAt int64
	// slots is the number of free places in the batch.
	slots    int
	grants   int
	suspects int
	// dataCentre is the upstream's location, penalty the deduction from its score.
	dataCentre string
	penalty    float64
	// pace and rate are the upstream's speed, running the worth of the answers that a prefill
	// delays.
	pace    float64
	rate    float64
	running float64
	// unread is the number of prompt tokens to compute at unreadSince, firstPrompt that of the
	// first prompt among them.
	unread      float64
	firstPrompt float64
	unreadSince int64
}

// summarize updates an upstream's summary.
func (h *Home) summarize(u *upstream) {
	s := &h.summaries[u.index]
	s.free = 1 - (u.peak+u.foreign+u.copies)/float64(max(u.report.Capacity, 1))
	s.prompts, s.promptsAt = u.prompts, u.promptsAt.UnixNano()
	s.freshUntil = u.reported.Add(reportMaxAge).UnixNano()
	if u.report.Leaving || u.cordoned {
		s.freshUntil = 0
	}
	s.openAt = 0
	if at := u.starts.OpenAt(); !at.IsZero() {
		s.openAt = at.UnixNano()
	}
	s.dataCentre, s.penalty = u.report.DataCentre, u.report.Penalty
	s.grants = len(u.grants)
	s.slots = u.report.MaxBatch - s.grants
	s.suspects = u.suspects
	if h.settings.Predict {
		s.pace, s.rate, s.running = u.believed.pace, u.believed.rate, u.running
		s.unread, s.unreadSince = float64(u.backlog.tokens), u.backlog.since.UnixNano()
		s.firstPrompt = s.unread / float64(max(u.backlog.count, 1))
	}
}

// takesWork reports whether the upstream accepts new work.
func (u *upstream) takesWork(now time.Time) bool {
	return !u.report.Leaving && !u.cordoned && now.Sub(u.reported) < reportMaxAge
}

// choose returns the upstream for an ask, or nil.
func (h *Home) choose(now time.Time, ask *Ask) *upstream {
	var need footprint
	if h.settings.Engine {
		c := h.lengths.curve(h.settings.Service, ask)
		need = footprintOf(c, ask.Prompt, 0, ask.MaxOutput)
	}
	var p prospect
	if h.settings.Predict {
		p = h.prospect(ask)
	}
	keep := h.forMoves
	if p.output < longLeft {
		keep = 0 // gone before a notice has passed
	}
	only := h.printsOn(ask.Fingerprint)
	at := now.UnixNano()
	best, bestScore := -1, 0.0
	for i := range h.summaries {
		s := &h.summaries[i]
		if at >= s.freshUntil || at < s.openAt || s.slots <= 0 || ask.Suspect && s.suspects > 0 {
			continue
		}
		if h.settings.Engine && s.grants > 0 && s.free <= h.tuning.reserve {
			continue // full already, whatever the ask needs
		}
		if unread := s.unreadAt(at); unread > 0 && unread > h.readAhead*s.rate {
			continue
		}
		score := h.score(at, s, &p)
		if best >= 0 && score <= bestScore {
			continue
		}
		if u := h.upstreams[i]; u.allowed(ask, only) && h.hasRoom(u, &need, keep) {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return nil
	}
	return h.upstreams[best]
}

// allowed reports whether an ask may run on an upstream by its exclusions and the spread of
// its fingerprint.
func (u *upstream) allowed(ask *Ask, only []*grant) bool {
	if slices.Contains(ask.Exclude, u.name) || !ask.mayRunIn(u.report.DataCentre) {
		return false
	}
	return len(only) == 0 || slices.ContainsFunc(only, func(g *grant) bool { return g.upstream == u })
}

// mayRunIn reports whether a request may run in a data centre.
func (a *Ask) mayRunIn(dataCentre string) bool {
	return len(a.DataCentres) == 0 || slices.Contains(a.DataCentres, dataCentre)
}

// printsOn returns grants on the upstreams to which a fingerprint is confined, or nil if it
// may spread further.
func (h *Home) printsOn(fingerprint uint64) []*grant {
	list := h.prints[fingerprint]
	if len(list) < printSpread {
		return nil
	}
	first := list[0].upstream
	if slices.ContainsFunc(list, func(g *grant) bool { return g.upstream != first }) {
		return list
	}
	return nil
}

// score rates an upstream, higher is better: by predicted cost, or by the free memory less the
// delay of its backlog.
func (h *Home) score(at int64, s *summary, p *prospect) float64 {
	switch {
	case !h.settings.Engine:
		return -float64(s.grants)
	case h.settings.Predict && !h.settings.Ways.Has(mechanism.ChoiceMemory):
		return -s.cost(at, p)
	}
	rate := h.settings.PromptRate
	left := s.prompts - float64(at-s.promptsAt)*(rate/1e9)
	return s.free - s.penalty - max(left, 0)/(rate/promptWeight)
}

// promptWeight is the weight of a second of backlog as a fraction of the memory.
const promptWeight = promptRate / 20_000.0

// hasRoom reports whether the forecast leaves room for a generation plus a fraction of the
// memory. An idle upstream always has room: waiting elsewhere would not help.
func (h *Home) hasRoom(u *upstream, need *footprint, besides float64) bool {
	if !h.settings.Engine || len(u.grants) == 0 && u.foreign == 0 && u.copies == 0 {
		return true
	}
	if len(u.grants) > 0 && (u.report.Waiting > 0 || u.spt > h.tuning.gap) {
		// The forecast was wrong, as generations wait that were preempted, or
		// tokens come too slowly already: new work would make both worse.
		return false
	}
	limit := float64(u.report.Capacity)*(1-h.tuning.reserve-besides) - u.foreign - u.copies
	return u.need.fits(need, h.z, limit)
}
