package forward

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward/admission"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

const (
	// reportTTL is how long an upstream's reported load is used. Older reports are less accurate
	// than this instance's own count.
	reportTTL = admission.MaxReportAge
	// failurePenalty is the score of a failure rate of 1, in calls in progress: twice the slots
	// of a small upstream.
	failurePenalty = 12.0
	// remotePenalty breaks ties in favour of upstreams in this data centre.
	remotePenalty = 0.25
	// triedPenalty keeps retries away from upstreams that the call was already sent to.
	triedPenalty = 1000.0
	// coldPenalty keeps calls away from cold upstreams while other upstreams have little load.
	coldPenalty = 2.0
	// tokensPerCall is the number of tokens that counts as much as one plain call in progress.
	tokensPerCall = 1000.0
	// bytesPerCall is the size in bytes of a body that counts as much as one plain call in progress:
	// a quarter of the largest bodies. A usual body, below 64 KB, counts less than the random part.
	bytesPerCall = 1 << 20
	// unknownBodyBytes is the assumed size in bytes of a body of unknown length, which is sent as it
	// arrives.
	unknownBodyBytes = 64 << 10
	// outputWeight is the cost of one output token, in prompt tokens.
	outputWeight = 3
)

// candidates lists the upstreams that this instance chooses from. If the service is divided
// into groups, these are a few groups of its data centre, which bounds the number of
// connections and the size of the list.
func (g *Gate) candidates(service string) []*roster.Upstream {
	layout, _ := g.roster.Layout()
	if layout[service] == nil {
		return g.roster.UpstreamsOf(service)
	}
	var out []*roster.Upstream
	for _, group := range g.ownGroups(layout, service) {
		out = append(out, g.roster.UpstreamsIn(group)...)
	}
	return out
}

// OwnGroups lists the groups, over all divided services, that this instance chooses from.
func (g *Gate) OwnGroups() []roster.Group {
	layout, _ := g.roster.Layout()
	var out []roster.Group
	for service := range layout {
		out = append(out, g.ownGroups(layout, service)...)
	}
	return out
}

// ownGroups lists the groups of one service that this instance chooses from: groups of its data
// centre, or of others if that is cordoned, and groups of each other region that requests may be
// restricted to.
func (g *Gate) ownGroups(layout roster.Layout, service string) []roster.Group {
	open := func(dc string) bool { return !g.cordons.Has(dc) }
	out := layout.GroupsFor(service, g.options.DataCentre, g.options.Name, open)
	if g.table == nil {
		return out
	}
	own := g.options.Regions[g.options.DataCentre]
	for _, region := range g.table.Regions() {
		if region == own {
			continue
		}
		for _, group := range layout.GroupsFor(service, "", g.options.Name, func(dc string) bool { return open(dc) && g.options.Regions[dc] == region }) {
			if !slices.Contains(out, group) {
				out = append(out, group)
			}
		}
	}
	return out
}

// Choice is how the upstream of an attempt was chosen if upstreams of a plain service state their speed.
// The zero value is a choice without such statements.
type Choice struct {
	// Factor is how many times as long as usual the call was expected to take at the chosen upstream.
	Factor float64
	// Spread is set if the upstream was not the best one by all reports, but by what this instance
	// itself has sent.
	Spread bool
}

// choose returns the upstream with the lowest score for a call, or nil if no upstream accepts
// it at present.
func (g *Gate) choose(now time.Time, c *Call) *roster.Upstream {
	c.choice, c.serviceTime = Choice{}, 0
	stated := g.usesSpeeds(c)
	if stated {
		c.serviceTime = g.serviceTime(c.Service)
	}
	best := g.lowest(now, c, g.score)
	switch {
	case best == nil:
		return g.fallbackUpstream(now, c)
	case stated:
		return g.spread(now, c, best)
	}
	return best
}

// usesSpeeds reports whether a call is one of a plain service of which an upstream states its speed.
func (g *Gate) usesSpeeds(c *Call) bool {
	return len(g.speeds) > 0 && g.isPlain(c) && slices.ContainsFunc(g.candidates(c.Service), func(u *roster.Upstream) bool { return g.statesSpeed(u.Run()) })
}

// lowest returns the upstream with the lowest score among those that accept a call at present, or nil.
func (g *Gate) lowest(now time.Time, c *Call, score func(time.Time, *Call, *roster.Upstream) float64) *roster.Upstream {
	var best *roster.Upstream
	minScore := 0.0
	for _, u := range g.candidates(c.Service) {
		if !g.available(now, c, u) {
			continue
		}
		if s := score(now, c, u); best == nil || s < minScore {
			best, minScore = u, s
		}
	}
	return best
}

// spread returns best, or the upstream that this instance would choose by its own calls alone. Many
// instances hear that an upstream is fast or empty at the same time. If all of them chose it, it would
// be neither. Each therefore follows the reports with a probability in proportion to the time that the
// call takes otherwise.
func (g *Gate) spread(now time.Time, c *Call, best *roster.Upstream) *roster.Upstream {
	chosen, spread := best, false
	if own := g.lowest(now, c, g.ownScore); own != best {
		slow, fast := g.relativeTime(now, c, own), g.relativeTime(now, c, best)
		if spread = g.rng.Float64()*(slow+fast) < fast; spread {
			chosen = own
		}
	}
	c.choice = Choice{Factor: g.factorOver(now, chosen.Run(), c.serviceTime), Spread: spread}
	return chosen
}

// relativeTime predicts how long a call takes at an upstream, in service times. Without a fresh report
// it is taken to start immediately.
func (g *Gate) relativeTime(now time.Time, c *Call, u *roster.Upstream) float64 {
	load := g.loadOf(now, u)
	if !load.Fresh() {
		load = admission.Load{Slots: 1}
	}
	return load.Rounds() * g.factorOver(now, u.Run(), c.serviceTime)
}

// available reports whether an upstream accepts a call at present. A rate-limited upstream also
// requires a permit.
func (g *Gate) available(now time.Time, c *Call, u *roster.Upstream) bool {
	return g.maySend(c, u) && !g.load(u).inBackoff(now) && g.wantsCalls(now, c, u) && !g.permitRefused(now, c, u)
}

// wantsCalls reports whether neither its start, a pause nor a full queue of an upstream keeps calls away
// from it now.
func (g *Gate) wantsCalls(now time.Time, c *Call, u *roster.Upstream) bool {
	return !g.coldAllowedAt(now, u).After(now) && !g.paused(now, u.Run()) && !g.fullUntil(c, u).After(now)
}

// fallbackUpstream returns an upstream that is in backoff after a failed dial, or nil: trying it
// is better than refusing the call.
func (g *Gate) fallbackUpstream(now time.Time, c *Call) *roster.Upstream {
	for _, u := range g.roster.UpstreamsOf(c.Service) {
		if g.maySend(c, u) && !slices.Contains(c.tried, u) && g.wantsCalls(now, c, u) && !g.permitRefused(now, c, u) {
			return u
		}
	}
	return nil
}

// score estimates the load of an upstream, in plain calls in progress. Penalties add to it; the
// lowest score is chosen.
func (g *Gate) score(now time.Time, c *Call, u *roster.Upstream) float64 {
	l := g.load(u)
	calls := l.ownCalls()
	if now.Sub(l.reportedAt) < reportTTL {
		calls = max(calls, float64(l.report.Running)) + float64(l.report.Waiting)
	}
	return calls + g.excess(now, c, u, calls) + g.penalty(now, c, u)
}

// ownScore is like score, but counts only this instance's own calls.
func (g *Gate) ownScore(now time.Time, c *Call, u *roster.Upstream) float64 {
	return g.load(u).ownCalls() + g.penalty(now, c, u)
}

// ownCalls returns the load of this instance's own attempts, in plain calls in progress.
func (l *load) ownCalls() float64 { return float64(l.attempts) + float64(l.tokens)/tokensPerCall }

// excess returns by how much more than usual one more call takes on an upstream with a number of calls
// in progress, in plain calls. Generations last for many slow spells, so that it is 0 for them.
func (g *Gate) excess(now time.Time, c *Call, u *roster.Upstream, calls float64) float64 {
	if !g.isPlain(c) || !g.statesSpeed(u.Run()) {
		return 0
	}
	return (calls + 1) * (g.factorOver(now, u.Run(), c.serviceTime) - slowdown.Usual)
}

// penalty is the part of the score that does not depend on the number of calls, with a random part that
// breaks ties.
func (g *Gate) penalty(now time.Time, c *Call, u *roster.Upstream) float64 {
	l := g.load(u)
	score := failurePenalty*l.Rate(now) + float64(l.bodyBytes)/bytesPerCall
	if u.DataCentre != g.options.DataCentre {
		score += remotePenalty
	}
	if now.Before(g.ColdUntil(u)) {
		score += coldPenalty
	}
	if g.limits[u.Run()] != nil {
		score += limitedPenalty
	}
	if slices.Contains(c.tried, u) {
		score += triedPenalty
	}
	return score + g.rng.Float64()/10
}

// bodyBytes returns the size of a call's body in bytes.
func (c *Call) bodyBytes() int64 {
	if c.Length < 0 {
		return unknownBodyBytes
	}
	return c.Length
}

// tokens estimates the remaining work of a generation, in prompt tokens; 0 for plain calls.
func (c *Call) tokens() int {
	if !c.Route.Generation {
		return 0
	}
	output := c.Hint
	if output <= 0 || c.MaxOutput > 0 && output > c.MaxOutput {
		output = c.MaxOutput
	}
	return c.PromptTokens + outputWeight*max(output-c.Events, 0)
}
