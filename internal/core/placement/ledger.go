package placement

import (
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/pace"
)

// upstream is the home's record of one upstream.
type upstream struct {
	name string
	// index is its position in Home.upstreams.
	index    int
	report   Report
	reported time.Time
	grants   []*grant
	// suspects counts the grants of suspected requests.
	suspects int
	// need is the forecast over all grants, foreign the memory of generations that this home
	// did not grant.
	need    footprint
	foreign float64
	// copies is the memory held by copies from which nothing runs yet.
	copies float64
	// peak is the highest need over all horizons.
	peak float64
	// spt is the measured time per token in seconds; 0 if unknown.
	spt float64
	// prompts is the number of granted prompt tokens not computed by promptsAt.
	prompts   float64
	promptsAt time.Time
	// speed is the measured speed, believed the one used for decisions.
	speed    speed
	believed speed
	backlog  backlog
	starts   pace.Starts
	// cordoned is set while the data centre is cordoned.
	cordoned bool
	// running is the worth of the long answers running here, in prompt tokens.
	running float64
}

// grant is an attempt that runs or may run.
type grant struct {
	ask      Ask
	upstream *upstream
	index    int
	at       time.Time
	// seen is when the entry last asked for or announced the attempt.
	seen time.Time
	// tokens is the number produced by known.
	tokens int
	known  time.Time
	// still is set when the attempt made no progress between two sightings.
	still bool
	// elsewhere is the upstream that the entry reports since elsewhereAt, if it is another
	// one.
	elsewhere   string
	elsewhereAt time.Time
	// begun is set once the prompt was computed; alone if the upstream had no other unread
	// prompt when it was granted.
	begun    bool
	alone    bool
	priority int
	need     footprint
}

const (
	// firstSpt is the initial estimate of the time per token, in seconds.
	firstSpt = 0.02
	// sptFade is the weight of one measurement in the mean.
	sptFade = 0.05
	// promptRate is the default prefill throughput in tokens a second.
	promptRate = 15_000
	// maxExtrapolation bounds the extrapolation of a grant's tokens.
	maxExtrapolation = 3 * time.Second
	// minSightingInterval is the shortest interval between sightings from which a speed is
	// measured.
	minSightingInterval = 500 * time.Millisecond
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
}

func (h *Home) renumber(from int) {
	for i, u := range h.upstreams[from:] {
		u.index = from + i
	}
}

// hold adds a grant to the ledger.
func (h *Home) hold(g *grant) {
	u := g.upstream
	h.granted[g.ask.Attempt] = g
	g.index = len(u.grants)
	u.grants = append(u.grants, g)
	if g.ask.Suspect {
		u.suspects++
	}
	if g.ask.Fingerprint != 0 {
		h.prints[g.ask.Fingerprint] = append(h.prints[g.ask.Fingerprint], g)
	}
	u.backlog.add(g)
	h.forecast(g.known, g)
	u.need.add(&g.need)
	h.weigh(u)
}

// release removes a grant from the ledger.
func (h *Home) release(g *grant) {
	u := g.upstream
	delete(h.granted, g.ask.Attempt)
	last := len(u.grants) - 1
	u.grants[g.index] = u.grants[last]
	u.grants[g.index].index = g.index
	u.grants[last] = nil
	u.grants = u.grants[:last]
	if g.ask.Suspect {
		u.suspects--
	}
	h.dropPrint(g)
	u.backlog.drop(g)
	u.need.subtract(&g.need)
	h.weigh(u)
}

func (h *Home) dropPrint(g *grant) {
	list := h.prints[g.ask.Fingerprint]
	i := slices.Index(list, g)
	if i < 0 {
		return
	}
	if len(list) == 1 {
		delete(h.prints, g.ask.Fingerprint)
		return
	}
	h.prints[g.ask.Fingerprint] = slices.Delete(list, i, i+1)
}

// weigh recomputes an upstream's peak.
func (h *Home) weigh(u *upstream) {
	u.peak = u.need.peak(h.z)
	h.summarize(u)
}

// refresh recomputes the forecasts of an upstream's grants.
func (h *Home) refresh(now time.Time, u *upstream) {
	u.backlog.forget(now, u.grants)
	u.need, u.running, u.believed = footprint{}, 0, h.speedAt(now, u)
	for _, g := range u.grants {
		h.forecast(now, g)
		u.need.add(&g.need)
		u.running += h.delayed(now, g)
	}
	h.weigh(u)
}

// forecast computes a grant's future memory.
func (h *Home) forecast(now time.Time, g *grant) {
	if !h.settings.Engine {
		return
	}
	c := h.lengths.curve(h.settings.Service, &g.ask)
	g.need = footprintOf(c, g.ask.Prompt, g.tokensAt(now), g.ask.MaxOutput)
}

// tokensAt extrapolates the number of tokens from the last sighting.
func (g *grant) tokensAt(now time.Time) int {
	if g.still {
		return g.tokens
	}
	since := min(now.Sub(g.known), maxExtrapolation)
	more := int(since.Seconds() / g.upstream.timePerToken())
	return min(g.tokens+max(more, 0), max(g.ask.MaxOutput-1, g.tokens))
}

func (u *upstream) timePerToken() float64 {
	if u.spt == 0 {
		return firstSpt
	}
	return u.spt
}

// sight records a newer number of tokens and measures the upstream's speed.
func (g *grant) sight(now time.Time, tokens int) {
	if tokens < g.tokens {
		return
	}
	since := now.Sub(g.known)
	if since < minSightingInterval {
		return
	}
	if g.tokens > 0 && tokens > g.tokens {
		g.upstream.learnSpeed(since.Seconds() / float64(tokens-g.tokens))
	}
	g.still = g.tokens > 0 && tokens == g.tokens
	g.tokens, g.known = tokens, now
}

func (u *upstream) learnSpeed(spt float64) {
	if u.spt == 0 {
		u.spt = spt
	}
	u.spt += sptFade * (spt - u.spt)
}

// addPrompt records prompt tokens to compute.
func (u *upstream) addPrompt(now time.Time, tokens int, rate float64) {
	left := max(u.prompts-rate*now.Sub(u.promptsAt).Seconds(), 0)
	u.prompts, u.promptsAt = left+float64(tokens), now
}

// reconcile compares a report with the ledger. Unknown generations that did not end recently
// belong to another home or precede a takeover; they hold memory too.
func (h *Home) reconcile(now time.Time, u *upstream) {
	known, unknown := 0, 0
	for _, l := range u.report.Gens {
		g := h.granted[l.Attempt]
		switch {
		case g != nil:
			known += g.ask.Prompt + l.Tokens
		case !h.ended.has(l.Attempt):
			unknown++
		}
	}
	u.foreign = 0
	if unknown > 0 {
		u.foreign = float64(max(u.report.Used-known, 0))
	}
}

// HoldCopy records that a copy of a running generation holds memory on an upstream, until
// ReleaseCopy or the move.
func (h *Home) HoldCopy(name string, tokens int) { h.addCopy(name, float64(tokens)) }

// ReleaseCopy undoes HoldCopy.
func (h *Home) ReleaseCopy(name string, tokens int) { h.addCopy(name, -float64(tokens)) }

func (h *Home) addCopy(name string, tokens float64) {
	if u := h.byName[name]; u != nil && !h.settings.Without.Has(mechanism.CopyMemory) {
		u.copies = max(u.copies+tokens, 0)
		h.summarize(u)
	}
}

// endedTTL is how long a report may still list an attempt after its end.
const endedTTL = 5 * time.Second

// recent holds the attempts that ended recently.
type recent struct {
	at    map[string]time.Time
	order []string
}

func newRecent() recent { return recent{at: map[string]time.Time{}} }

func (r *recent) add(now time.Time, attempt string) {
	r.at[attempt] = now
	r.order = append(r.order, attempt)
}

func (r *recent) has(attempt string) bool {
	_, ok := r.at[attempt]
	return ok
}

func (r *recent) forget(now time.Time) {
	n := 0
	for n < len(r.order) && now.Sub(r.at[r.order[n]]) > endedTTL {
		delete(r.at, r.order[n])
		n++
	}
	r.order = r.order[n:]
}
