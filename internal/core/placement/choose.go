package placement

import (
	"math"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// printSpread is how many different upstreams may run one fingerprint at once:
// a request that crashes upstreams takes no more than these with it before its
// strikes are known, however many callers send it at the same time.
const printSpread = 2

// readAhead is how many seconds of prompts an upstream may have to read when it gets
// another one. What waits, waits at the home: it goes to the upstream that is free
// first, may be ordered by when it is due, and takes no memory meanwhile. A prompt must
// only be there before the last one has been read.
const readAhead = 0.1

// readAheadNow returns the same, or what never holds a prompt back.
func readAheadNow(without mechanism.Set) float64 {
	if without.Has(mechanism.WaitAtHome) {
		return math.Inf(1)
	}
	return readAhead
}

// readAheadTarget is the part of its target that an ask may spend behind unread prompts.
const readAheadTarget = 0.2

// readAheadFor returns how many seconds of prompts an upstream may have to read when it gets
// an ask that has waited for some time.
func (h *Home) readAheadFor(p *prospect, waited time.Duration) float64 {
	if !h.settings.Ways.Has(mechanism.ReadAheadTarget) {
		return h.readAhead
	}
	return max(h.readAhead, readAheadTarget*p.target-waited.Seconds())
}

// summary is what the choice among many upstreams looks at. The summaries lie
// side by side in memory, in the upstreams' order: with 870 upstreams, reading
// each one's full record for every decision would take most of its time.
type summary struct {
	// free is the part of the memory that the forecast leaves free.
	free float64
	// prompts were not yet computed at promptsAt.
	prompts   float64
	promptsAt int64
	// freshUntil is when the last report is too old for new work; it lies in
	// the past for an upstream that is leaving. In nanoseconds, as promptsAt.
	freshUntil int64
	// reader is set if the upstream reads the prompts of short answers.
	reader bool
	// openAt is when the upstream may be given more work, in nanoseconds.
	openAt int64
	// slots is how many more generations its batch takes.
	slots    int
	grants   int
	suspects int
	// dataCentre is where the upstream stands, penalty what speaks against it.
	dataCentre string
	penalty    float64
	// pace and rate are the upstream's speed, running what prompts delay there.
	pace    float64
	rate    float64
	running float64
	// unread prompt tokens lay there at unreadSince, firstPrompt of them in the one
	// that is read first.
	unread      float64
	firstPrompt float64
	unreadSince int64
}

// summarize brings an upstream's summary up to date.
func (h *Home) summarize(u *upstream) {
	s := &h.summaries[u.index]
	s.free = 1 - (u.peak+u.foreign+u.copies)/float64(max(u.report.Capacity, 1))
	s.prompts, s.promptsAt = u.prompts, u.promptsAt.UnixNano()
	s.freshUntil = u.reported.Add(reportMaxAge).UnixNano()
	if u.report.Leaving || u.cordoned {
		s.freshUntil = 0
	}
	s.openAt, s.reader = 0, u.reader
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

// takesWork tells whether new work may be placed at all.
func (u *upstream) takesWork(now time.Time) bool {
	return !u.report.Leaving && !u.cordoned && now.Sub(u.reported) < reportMaxAge
}

// choose returns the upstream that an ask should run on now, or nil.
// waited is for how long the ask has.
func (h *Home) choose(now time.Time, ask *Ask, waited time.Duration) *upstream {
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
		if unread := s.unreadAt(at); unread > 0 && unread > h.readAheadFor(&p, waited)*s.rate {
			continue
		}
		if h.apart.keepsFrom(s, &p, waited) {
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

// allowed tells whether the ask may run on the upstream, by its own exclusions
// and the spread of its fingerprint.
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

// printsOn returns grants on the upstreams to which a fingerprint is confined,
// or nil if it may run on another one yet.
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

// score is higher for better upstreams: by the cost that is predicted, or else by the
// part of the memory that the forecast leaves free, less what the prompts that wait
// there will slow down.
func (h *Home) score(at int64, s *summary, p *prospect) float64 {
	switch {
	case !h.settings.Engine:
		return -float64(s.grants)
	case h.settings.Predict:
		return -s.cost(at, p)
	}
	rate := h.settings.PromptRate
	left := s.prompts - float64(at-s.promptsAt)*(rate/1e9)
	return s.free - s.penalty - max(left, 0)/(rate/promptWeight)
}

// promptWeight is how much a second of waiting prompts weighs, as a part of the
// memory, when upstreams are compared: 20,000 tokens weigh as much as all of it.
const promptWeight = promptRate / 20_000.0

// hasRoom tells whether the forecast leaves room for a generation, and a part of the
// memory besides. One that is alone always has room: it could wait nowhere else for
// more.
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
