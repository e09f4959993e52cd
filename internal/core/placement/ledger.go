package placement

import (
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/pace"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// upstream is the home's record of one upstream.
type upstream struct {
	name string
	// index is the position in Home.upstreams.
	index      int
	report     Report
	reportedAt time.Time
	grants     []*grant
	// suspects is the number of grants with Request.Suspect set.
	suspects int
	// need is the memory forecast of all grants. unknownMemory is the memory in tokens held by
	// generations that are not in this home's ledger.
	need          footprint
	unknownMemory float64
	// copyMemory is the memory in tokens held by copies from which no generation runs yet.
	copyMemory float64
	// peak is the highest need over all horizons, in tokens.
	peak float64
	// tokenTime is the measured usual time per token in seconds; 0 if unknown.
	tokenTime float64
	// slowdown is what this run of the upstream has stated about its speed.
	slowdown slowdown.History
	// pendingTokens is the estimated number of granted prompt tokens that were not yet computed
	// at pendingAt.
	pendingTokens float64
	pendingAt     time.Time
	// assumedSpeed is the speed used for decisions: measuredSpeed, or an estimate while that is
	// unknown or outdated.
	measuredSpeed speed
	assumedSpeed  speed
	backlog       backlog
	starts        pace.Starts
	// limiter paces the grants of an upstream that states a rate limit.
	limiter ratelimit.Bucket
	// cordoned is set while the data centre is cordoned.
	cordoned bool
	// runningValue is the value of the running generations that a prefill delays, in prompt
	// tokens.
	runningValue float64
}

// grant is the permission to run an attempt on an upstream; the attempt may already run.
type grant struct {
	req      Request
	upstream *upstream
	// index is the position in upstream.grants.
	index     int
	grantedAt time.Time
	// lastSeen is when the entry last requested or announced the attempt.
	lastSeen time.Time
	// tokens is the number of output tokens at tokensKnownAt.
	tokens        int
	tokensKnownAt time.Time
	// stalled is set when the attempt made no progress between two announcements.
	stalled bool
	// otherUpstream is the upstream on which the entry announces the attempt since otherSince,
	// if it differs from upstream; "" otherwise.
	otherUpstream string
	otherSince    time.Time
	// prefilled is set once the prompt was computed. soloPrefill is set if the upstream had no
	// other prompt to compute when this one was granted.
	prefilled   bool
	soloPrefill bool
	priority    int
	need        footprint
}

const (
	// initialTokenTime is the initial estimate of the time per token, in seconds.
	initialTokenTime = 0.02
	// tokenTimeWeight is the weight of one measurement in the moving average of the time per
	// token.
	tokenTimeWeight = 0.05
	// defaultPrefillRate is the default prefill throughput in tokens a second.
	defaultPrefillRate = 15_000
	// maxExtrapolation is how far a grant's number of tokens is extrapolated.
	maxExtrapolation = 3 * time.Second
	// minProgressInterval is the minimum interval between two announcements from which a speed
	// is measured.
	minProgressInterval = 500 * time.Millisecond
)

func (h *Home) addUpstream(name string) *upstream {
	u := &upstream{name: name}
	h.byName[name] = u
	i, _ := slices.BinarySearchFunc(h.upstreams, name, byUpstreamName)
	h.upstreams = slices.Insert(h.upstreams, i, u)
	h.summaries = slices.Insert(h.summaries, i, summary{})
	h.renumber(i)
	return u
}

func byUpstreamName(u *upstream, name string) int { return strings.Compare(u.name, name) }

func (h *Home) dropUpstream(u *upstream) {
	delete(h.byName, u.name)
	h.upstreams = slices.Delete(h.upstreams, u.index, u.index+1)
	h.summaries = slices.Delete(h.summaries, u.index, u.index+1)
	h.renumber(u.index)
	if h.relativeSpeed != 0 {
		h.updatePoolSlowdown()
	}
}

// renumber updates the upstreams' indexes after an insertion or a deletion.
func (h *Home) renumber(from int) {
	for i, u := range h.upstreams[from:] {
		u.index = from + i
	}
}

// addGrant adds a grant to the ledger.
func (h *Home) addGrant(g *grant) {
	u := g.upstream
	h.granted[g.req.Attempt] = g
	g.index = len(u.grants)
	u.grants = append(u.grants, g)
	if g.req.Suspect {
		u.suspects++
	}
	if g.req.Fingerprint != 0 {
		h.byFingerprint[g.req.Fingerprint] = append(h.byFingerprint[g.req.Fingerprint], g)
	}
	u.backlog.add(g)
	h.forecastNeed(g.tokensKnownAt, g)
	u.need.add(&g.need)
	h.updatePeak(u)
}

// release removes a grant from the ledger.
func (h *Home) release(g *grant) {
	u := g.upstream
	delete(h.granted, g.req.Attempt)
	last := len(u.grants) - 1
	u.grants[g.index] = u.grants[last]
	u.grants[g.index].index = g.index
	u.grants[last] = nil
	u.grants = u.grants[:last]
	if g.req.Suspect {
		u.suspects--
	}
	h.dropFingerprint(g)
	u.backlog.remove(g)
	u.need.subtract(&g.need)
	h.updatePeak(u)
}

func (h *Home) dropFingerprint(g *grant) {
	list := h.byFingerprint[g.req.Fingerprint]
	i := slices.Index(list, g)
	if i < 0 {
		return
	}
	if len(list) == 1 {
		delete(h.byFingerprint, g.req.Fingerprint)
		return
	}
	h.byFingerprint[g.req.Fingerprint] = slices.Delete(list, i, i+1)
}

// updatePeak recomputes an upstream's peak and summary.
func (h *Home) updatePeak(u *upstream) {
	u.peak = u.need.peak(h.z)
	h.summarize(u)
}

// refreshForecasts recomputes the forecasts of an upstream's grants and their sums.
func (h *Home) refreshForecasts(now time.Time, u *upstream) {
	u.backlog.expire(now, u.grants)
	u.need, u.runningValue, u.assumedSpeed = footprint{}, 0, h.speedAt(now, u)
	for _, g := range u.grants {
		h.forecastNeed(now, g)
		u.need.add(&g.need)
		u.runningValue += h.delayedValue(now, g)
	}
	h.updatePeak(u)
}

// forecastNeed forecasts a grant's memory.
func (h *Home) forecastNeed(now time.Time, g *grant) {
	if !h.settings.Engine {
		return
	}
	c := h.lengths.curve(h.settings.Service, &g.req)
	g.need = footprintOf(c, g.req.Prompt, g.tokensAt(now), g.req.MaxOutput)
}

// tokensAt extrapolates the number of output tokens from the last announcement.
func (g *grant) tokensAt(now time.Time) int {
	if g.stalled {
		return g.tokens
	}
	since := min(now.Sub(g.tokensKnownAt), maxExtrapolation)
	more := int(since.Seconds() / g.upstream.tokenTimeOrDefault())
	return min(g.tokens+max(more, 0), max(g.req.MaxOutput-1, g.tokens))
}

// tokenTimeOrDefault returns the expected time per token in seconds.
func (u *upstream) tokenTimeOrDefault() float64 {
	usual := u.tokenTime
	if usual == 0 {
		usual = initialTokenTime
	}
	return usual * u.meanSlowdown()
}

// recordProgress records an announced number of output tokens and measures the upstream's time
// per token. It ignores an announcement with fewer tokens than are known, as it is older, and
// one within minProgressInterval of the last.
func (g *grant) recordProgress(now time.Time, tokens int) {
	if tokens < g.tokens {
		return
	}
	since := now.Sub(g.tokensKnownAt)
	if since < minProgressInterval {
		return
	}
	if g.tokens > 0 && tokens > g.tokens {
		g.upstream.recordTokenTime(since.Seconds() / g.upstream.slowdown.Mean(g.tokensKnownAt, now) / float64(tokens-g.tokens))
	}
	g.stalled = g.tokens > 0 && tokens == g.tokens
	g.tokens, g.tokensKnownAt = tokens, now
}

func (u *upstream) recordTokenTime(seconds float64) {
	if u.tokenTime == 0 {
		u.tokenTime = seconds
	}
	u.tokenTime += tokenTimeWeight * (seconds - u.tokenTime)
}

// countStart counts a request to the upstream against its limits.
func (u *upstream) countStart(now time.Time) {
	u.starts.Note(now)
	u.limiter.Take(now)
}

// addPending adds prompt tokens that the upstream must compute, at a rate in tokens a second.
func (u *upstream) addPending(now time.Time, tokens int, rate float64) {
	left := max(u.pendingTokens-rate*now.Sub(u.pendingAt).Seconds(), 0)
	u.pendingTokens, u.pendingAt = left+float64(tokens), now
}

// reconcile compares a report with the ledger and updates unknownMemory. Reported generations
// that are neither in the ledger nor ended recently belong to another home or started before a
// takeover; their memory counts as used.
func (h *Home) reconcile(now time.Time, u *upstream) {
	knownTokens, unknownGens := 0, 0
	for _, l := range u.report.Gens {
		g := h.granted[l.Attempt]
		switch {
		case g != nil:
			knownTokens += g.req.Prompt + l.Tokens
		case !h.ended.has(l.Attempt):
			unknownGens++
		}
	}
	u.unknownMemory = 0
	if unknownGens > 0 {
		u.unknownMemory = float64(max(u.report.Used-knownTokens, 0))
	}
}

// HoldCopy records that a copy of a running generation holds memory, in tokens, on an upstream
// until ReleaseCopy.
func (h *Home) HoldCopy(name string, tokens int) { h.addCopy(name, float64(tokens)) }

// ReleaseCopy undoes HoldCopy.
func (h *Home) ReleaseCopy(name string, tokens int) { h.addCopy(name, -float64(tokens)) }

func (h *Home) addCopy(name string, tokens float64) {
	if u := h.byName[name]; u != nil && !h.settings.Without.Has(mechanism.CopyMemory) {
		u.copyMemory = max(u.copyMemory+tokens, 0)
		h.summarize(u)
	}
}

// endedTTL is how long ended attempts are kept, as reports and announcements may still
// list them.
const endedTTL = 5 * time.Second

// endedAttempts holds the attempts that ended recently.
type endedAttempts struct {
	endedAt map[string]time.Time
	// order lists the attempts in order of their end.
	order []string
}

func newEndedAttempts() endedAttempts { return endedAttempts{endedAt: map[string]time.Time{}} }

func (r *endedAttempts) add(now time.Time, attempt string) {
	r.endedAt[attempt] = now
	r.order = append(r.order, attempt)
}

func (r *endedAttempts) has(attempt string) bool {
	_, ok := r.endedAt[attempt]
	return ok
}

func (r *endedAttempts) expire(now time.Time) {
	n := 0
	for n < len(r.order) && now.Sub(r.endedAt[r.order[n]]) > endedTTL {
		delete(r.endedAt, r.order[n])
		n++
	}
	r.order = r.order[n:]
}
