package placement

import (
	"math"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// maxFingerprintSpread is the number of upstreams that may run requests of one fingerprint at a
// time. It bounds the number of engines that a request can crash before its strikes are known,
// however many callers send it.
const maxFingerprintSpread = 2

// maxPrefillBacklog is the backlog, in seconds of prefill, up to which an upstream is given
// another prompt. Beyond it requests wait at the home, where they can be reordered, take the
// first free upstream and hold no memory.
const maxPrefillBacklog = 0.1

// prefillBacklogLimit returns maxPrefillBacklog, or infinity if WaitAtHome is disabled.
func prefillBacklogLimit(without mechanism.Set) float64 {
	if without.Has(mechanism.WaitAtHome) {
		return math.Inf(1)
	}
	return maxPrefillBacklog
}

// summary holds the fields of an upstream that a placement decision reads. Summaries are
// contiguous in memory: with hundreds of upstreams, reading the full records would dominate the
// cost of a decision.
type summary struct {
	// free is the fraction of the memory that is free at the forecast peak.
	free float64
	// pendingTokens is the number of granted prompt tokens that were not yet computed at
	// pendingAt, which is in Unix nanoseconds.
	pendingTokens float64
	pendingAt     int64
	// freshUntil is when the last report expires, in Unix nanoseconds; 0 for an upstream that
	// is leaving or cordoned.
	freshUntil int64
	// openAt is when the upstream's rate limit accepts the next request, in Unix nanoseconds;
	// 0 means now.
	openAt int64
	// slots is the number of free places in the batch.
	slots    int
	grants   int
	suspects int
	// dataCentre is the upstream's location, penalty is Report.Penalty.
	dataCentre string
	penalty    float64
	// pace and rate are the assumed decode interval in seconds and prefill throughput in tokens
	// a second. runningValue is the value of the generations that a prefill delays.
	pace         float64
	rate         float64
	runningValue float64
	// prefillTokens is the number of prompt tokens in the backlog. firstPrompt is the estimated
	// length of the first prompt in the backlog. prefillStart is when the first prefill started, in
	// Unix nanoseconds.
	prefillTokens float64
	firstPrompt   float64
	prefillStart  int64
	// slowdown predicts how much longer than by pace and rate work takes at the moment.
	slowdown slowdown.Prediction
}

// summarize recomputes an upstream's summary.
func (h *Home) summarize(u *upstream) {
	s := &h.summaries[u.index]
	s.free = 1 - (u.peak+u.unknownMemory+u.copyMemory)/float64(max(u.report.Capacity, 1))
	s.pendingTokens, s.pendingAt = u.pendingTokens, u.pendingAt.UnixNano()
	s.freshUntil = u.reportedAt.Add(reportMaxAge).UnixNano()
	if u.report.Leaving || u.cordoned {
		s.freshUntil = 0
	}
	s.openAt = 0
	for _, at := range []time.Time{u.starts.OpenAt(), u.limiter.OpenAt()} {
		if !at.IsZero() {
			s.openAt = max(s.openAt, at.UnixNano())
		}
	}
	s.dataCentre, s.penalty = u.report.DataCentre, u.report.Penalty
	s.grants = len(u.grants)
	s.slots = u.report.MaxBatch - s.grants
	s.suspects = u.suspects
	s.slowdown = u.slowdown.Prediction()
	if h.settings.Predict {
		s.pace, s.rate, s.runningValue = u.assumedSpeed.pace, u.assumedSpeed.rate, u.runningValue
		s.prefillTokens, s.prefillStart = float64(u.backlog.tokens), u.backlog.prefillStart.UnixNano()
		s.firstPrompt = s.prefillTokens / float64(max(u.backlog.count, 1))
	}
}

// takesWork reports whether the upstream accepts new work.
func (u *upstream) takesWork(now time.Time) bool {
	return !u.report.Leaving && !u.cordoned && now.Sub(u.reportedAt) < reportMaxAge
}

// choose returns the upstream on which a request should run, or nil if none has room.
func (h *Home) choose(now time.Time, req *Request) *upstream {
	var need footprint
	if h.settings.Engine {
		c := h.lengths.curve(h.settings.Service, req)
		need = footprintOf(c, req.Prompt, 0, req.MaxOutput)
	}
	p := prediction{prompt: float64(req.Prompt)}
	if h.settings.Predict {
		p = h.predictNew(req)
	}
	reserves := p.output >= longRemaining // others end before a leaving upstream's notice expires
	restrictedTo := h.restrictedTo(req.Fingerprint)
	at := now.UnixNano()
	best, bestScore := -1, 0.0
	for i := range h.summaries {
		s := &h.summaries[i]
		if at >= s.freshUntil || at < s.openAt || s.slots <= 0 || req.Suspect && s.suspects > 0 {
			continue
		}
		if h.settings.Engine && s.grants > 0 && s.free <= h.tuning.reserve {
			continue // already full, however little memory the request needs
		}
		if pending := s.prefillTokensAt(at); pending > 0 && s.slowdown.Seconds(at, pending/s.rate) > h.prefillLimit {
			continue
		}
		score := h.score(at, s, &p)
		if best >= 0 && score <= bestScore {
			continue
		}
		u, keepFree := h.upstreams[i], 0.0
		if reserves {
			keepFree = h.movesReserve[u.report.Software]
		}
		if u.allowed(req, restrictedTo) && h.hasRoom(u, &need, keepFree, h.z) {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return nil
	}
	return h.upstreams[best]
}

// allowed reports whether a request may run on an upstream. Exclusions, data centres and the software of
// the request may forbid it. If restrictedTo is not empty, only the upstreams of these grants are
// allowed.
func (u *upstream) allowed(req *Request, restrictedTo []*grant) bool {
	if slices.Contains(req.Exclude, u.name) || !req.mayRunOn(&u.report) {
		return false
	}
	return len(restrictedTo) == 0 || slices.ContainsFunc(restrictedTo, func(g *grant) bool { return g.upstream == u })
}

// mayRunOn reports whether the data centre and the software of an upstream allow a request.
func (a *Request) mayRunOn(r *Report) bool {
	return a.mayRunIn(r.DataCentre) && (a.Software == "" || a.Software == r.Software)
}

// mayRunIn reports whether a request may run in a data centre.
func (a *Request) mayRunIn(dataCentre string) bool {
	return len(a.DataCentres) == 0 || slices.Contains(a.DataCentres, dataCentre)
}

// restrictedTo returns the grants of a fingerprint if they already run on maxFingerprintSpread
// upstreams, so that further requests must run on one of these. It returns nil if any upstream
// may run them.
func (h *Home) restrictedTo(fingerprint uint64) []*grant {
	list := h.byFingerprint[fingerprint]
	if len(list) < maxFingerprintSpread {
		return nil
	}
	first := list[0].upstream
	if slices.ContainsFunc(list, func(g *grant) bool { return g.upstream != first }) {
		return list
	}
	return nil
}

// score rates an upstream; higher is better. It is the negative predicted cost, the negative
// number of calls of a plain service with this one, times the expected slowdown, or the free memory
// minus the delay by pending prompts and by a slow spell.
func (h *Home) score(at int64, s *summary, p *prediction) float64 {
	switch {
	case !h.settings.Engine:
		return -float64(s.grants+1) * s.slowdown.At(at)
	case h.settings.Predict && !h.settings.Ways.Has(mechanism.ChoiceMemory):
		return -s.cost(at, p)
	}
	rate := h.settings.PromptRate
	if !s.slowdown.Stated() {
		left := s.pendingTokens - float64(at-s.pendingAt)*(rate/1e9)
		return s.free - s.penalty - max(left, 0)/(rate/backlogWeight)
	}
	factor := s.slowdown.At(at)
	left := s.pendingTokens - float64(at-s.pendingAt)*(rate/1e9)/factor
	delay := max(left, 0)*factor + p.prompt*(factor-s.slowdown.Mean())
	return s.free - s.penalty - delay/(rate/backlogWeight)
}

// backlogWeight is the fraction of the memory that weighs as much in a score as one second of
// pending prompts.
const backlogWeight = defaultPrefillRate / 20_000.0

// hasRoom reports whether the forecast leaves room for a generation and, in addition, keeps a
// fraction of the memory free, with z standard deviations of headroom. An idle upstream always has
// room, as no upstream will have more.
func (h *Home) hasRoom(u *upstream, need *footprint, keepFree, z float64) bool {
	if !h.settings.Engine || len(u.grants) == 0 && u.unknownMemory == 0 && u.copyMemory == 0 {
		return true
	}
	if len(u.grants) > 0 && (u.report.Waiting > 0 || u.tokenTime > h.tuning.maxTokenTime) {
		// The forecast was too low if preempted generations wait. New work would prolong
		// their wait, and slow down token output that is already too slow for its crowd. The stated
		// slowdown does not count: with it, upstreams stayed empty during their slow spells while
		// requests waited at the home and were refused.
		return false
	}
	limit := float64(u.report.Capacity)*(1-h.tuning.reserve-keepFree) - u.unknownMemory - u.copyMemory
	return u.need.fits(need, z, limit)
}
