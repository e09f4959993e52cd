package placement

import (
	"cmp"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// RunningGeneration is a generation that runs on an upstream according to the ledger.
type RunningGeneration struct {
	Request Request
	// Tokens is the number of output tokens so far. Remaining is the expected number of further
	// output tokens.
	Tokens    int
	Remaining float64
	// TokenTime is the upstream's time per token.
	TokenTime time.Duration
	// Prefilled is set once the prompt was computed. Before that the generation cannot be moved.
	Prefilled bool
}

// Generations returns the generations on an upstream, sorted by attempt.
func (h *Home) Generations(now time.Time, name string) []RunningGeneration {
	u := h.byName[name]
	if u == nil {
		return nil
	}
	out := make([]RunningGeneration, 0, len(u.grants))
	for _, g := range u.grants {
		tokens := g.tokensAt(now)
		out = append(out, RunningGeneration{
			Request: g.req, Tokens: tokens, Remaining: h.remainingTokens(g, tokens), TokenTime: seconds(u.tokenTimeOrDefault()), Prefilled: g.prefilled,
		})
	}
	slices.SortFunc(out, func(a, b RunningGeneration) int { return cmp.Compare(a.Request.Attempt, b.Request.Attempt) })
	return out
}

// HasGenerations reports whether any generation runs on an upstream according to the ledger.
func (h *Home) HasGenerations(name string) bool {
	u := h.byName[name]
	return u != nil && len(u.grants) > 0
}

// remainingTokens returns the expected number of further output tokens: by the caller's estimate
// until that is exceeded, then by learned lengths.
func (h *Home) remainingTokens(g *grant, tokens int) float64 {
	if g.req.Expected > tokens && !h.settings.Without.Has(mechanism.Hints) {
		return float64(g.req.Expected - tokens)
	}
	return h.lengths.curve(h.settings.Service, &g.req).remaining(tokens, max(g.req.MaxOutput, tokens+1))
}

// Destination returns the upstream to which a generation should move, or "" if none has room.
// Upstreams for which near returns true are preferred. Upstreams for which skip returns true are
// not considered. If none has room with the headroom of new work, one that has it by the mean of the
// forecast is taken: a shortage there may delay a generation, while one that is not moved is lost.
func (h *Home) Destination(now time.Time, attempt string, near, skip func(name string) bool) string {
	g := h.granted[attempt]
	if g == nil {
		return ""
	}
	to := h.destination(now, g, h.z, near, skip)
	if to == "" && !h.settings.Without.Has(mechanism.MoveReserve) {
		to = h.destination(now, g, 0, near, skip)
	}
	return to
}

// destination is Destination with z standard deviations of headroom.
func (h *Home) destination(now time.Time, g *grant, z float64, near, skip func(name string) bool) string {
	need := footprintOf(h.lengths.curve(h.settings.Service, &g.req), g.req.Prompt, g.tokensAt(now), g.req.MaxOutput)
	rest := h.predictRest(now, g)
	best, bestScore, bestNear := "", 0.0, false
	for i, u := range h.upstreams {
		s := &h.summaries[i]
		if u == g.upstream || !u.takesWork(now) || now.UnixNano() < s.openAt || s.slots <= 0 || !g.req.mayRunIn(u.report.DataCentre) || skip(u.name) || !h.hasRoom(u, &need, 0, z) {
			continue
		}
		score, near := h.score(now.UnixNano(), s, &rest), near(u.name)
		if best == "" || near && !bestNear || near == bestNear && score > bestScore {
			best, bestScore, bestNear = u.name, score, near
		}
	}
	return best
}

// CountStart counts a generation that moves to an upstream against the upstream's rate limit of
// starts.
func (h *Home) CountStart(now time.Time, name string) {
	if u := h.byName[name]; u != nil {
		u.countStart(now)
		h.summarize(u)
	}
}

// Move records that an attempt now runs on another upstream. It reports whether both the attempt
// and the upstream are known.
func (h *Home) Move(attempt, to string) bool {
	g, u := h.granted[attempt], h.byName[to]
	if g == nil || u == nil {
		return false
	}
	h.release(g)
	g.upstream = u
	h.addGrant(g)
	return true
}

// moveReserve is the fraction of the memory used by generations on leaving upstreams that other
// upstreams keep free of new work. With 0.5, on the assumption that the other half becomes free during
// the notice, a sixth more generations were lost while new work was queued.
const moveReserve = 1.0

// reserveForMoves updates movesReserve. Generations move to upstreams of their own software version only, so that
// room of another one is not kept for them. A generation on a leaving upstream that finds no room
// elsewhere is lost with all its work, while a new request can wait.
func (h *Home) reserveForMoves(now time.Time) {
	clear(h.movesReserve)
	if !h.settings.Predict || h.settings.Without.Has(mechanism.MoveReserve) {
		return
	}
	need, capacity := map[string]float64{}, map[string]float64{}
	for _, u := range h.upstreams {
		if !u.report.Leaving {
			if u.takesWork(now) {
				capacity[u.report.Software] += float64(u.report.Capacity)
			}
			continue
		}
		for _, g := range u.grants {
			if tokens := g.tokensAt(now); g.prefilled && h.remainingTokens(g, tokens) > longRemaining {
				need[u.report.Software] += float64(g.req.Prompt + tokens)
			}
		}
	}
	for software, tokens := range need {
		if capacity[software] > 0 {
			h.movesReserve[software] = moveReserve * tokens / capacity[software]
		}
	}
}
