package forward

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

const (
	// reportFresh is how long an upstream's own count of its work is used.
	// Later it says less than this instance's own count.
	reportFresh = 400 * time.Millisecond
	// failurePenalty weighs an upstream's failure rate against its load: one
	// that fails every call counts as if it had this many more in progress.
	// At twice the slots of a small service, six, it gets work only when the
	// others are full.
	failurePenalty = 12.0
	// farPenalty breaks ties in favour of the own data centre: a quarter of
	// a call in progress, as a hop between data centres takes 1.4 ms and a
	// call some tens.
	farPenalty = 0.25
	// repeatPenalty keeps a retry away from upstreams that failed this call,
	// whatever their load.
	repeatPenalty = 1000.0
	// coldPenalty keeps work from an upstream that is still slow, while others
	// have fewer than this many calls in progress.
	coldPenalty = 2.0
	// sameSitePenalty keeps a retry away from the data centre where the call has failed,
	// and dialPenalty a call from upstreams to which no connection is open.
	sameSitePenalty = 1.0
	dialPenalty     = 0.2
	// generationUnit is the number of tokens that weighs like one plain call
	// in progress, so that one scale serves both kinds of upstream.
	generationUnit = 1000.0
	// outputWeight is how many prompt tokens one output token is worth: an
	// engine makes a token of each running answer in 7 ms, in which it would
	// read 98 prompt tokens, and a full batch of 24 or more shares that.
	outputWeight = 3
)

// candidates lists the upstreams that this instance chooses from by itself. Of a
// service with hundreds, each instance uses some in its data centre: fewer
// connections, fewer bytes of the list, and a choice that costs the same.
func (g *Gate) candidates(service string) []*roster.Upstream {
	layout, _ := g.roster.Layout()
	if layout[service] == nil {
		return g.roster.Of(service)
	}
	var out []*roster.Upstream
	for _, group := range g.ownGroups(layout, service) {
		out = append(out, g.roster.In(group)...)
	}
	return out
}

// OwnGroups lists the groups of divided services that this instance chooses from by
// itself.
func (g *Gate) OwnGroups() []roster.Group {
	layout, _ := g.roster.Layout()
	var out []roster.Group
	for service := range layout {
		out = append(out, g.ownGroups(layout, service)...)
	}
	return out
}

// ownGroups lists those of one service: of this data centre unless it is cordoned, and of
// each other region that requests may be confined to.
func (g *Gate) ownGroups(layout roster.Layout, service string) []roster.Group {
	open := func(dc string) bool { return !g.cordons.Has(dc) }
	out := layout.Own(service, g.options.DataCentre, g.options.Name, open)
	if g.table == nil {
		return out
	}
	own := g.options.Regions[g.options.DataCentre]
	for _, region := range g.table.Regions() {
		if region == own {
			continue
		}
		for _, group := range layout.Own(service, "", g.options.Name, func(dc string) bool { return open(dc) && g.options.Regions[dc] == region }) {
			if !slices.Contains(out, group) {
				out = append(out, group)
			}
		}
	}
	return out
}

// choose returns the upstream with the least work for a call, or nil.
func (g *Gate) choose(now time.Time, c *Call) *roster.Upstream {
	var best *roster.Upstream
	least := 0.0
	for _, u := range g.candidates(c.Service) {
		if !g.takes(c, u) || g.load(u).resting(now) || g.coldOpenAt(now, u).After(now) {
			continue
		}
		score := g.score(now, c, u)
		if best == nil || score < least {
			best, least = u, score
		}
	}
	if best == nil {
		return g.anyUpstream(now, c)
	}
	return best
}

// anyUpstream returns an upstream that rests after a failed dial, if nothing
// else is there: trying it beats a certain refusal.
func (g *Gate) anyUpstream(now time.Time, c *Call) *roster.Upstream {
	for _, u := range g.roster.Of(c.Service) {
		if g.takes(c, u) && !slices.Contains(c.tried, u) && !g.coldOpenAt(now, u).After(now) {
			return u
		}
	}
	return nil
}

// score estimates how long a call would wait at an upstream, in plain calls in
// progress.
func (g *Gate) score(now time.Time, c *Call, u *roster.Upstream) float64 {
	l := g.load(u)
	score := float64(l.calls) + float64(l.tokens)/generationUnit
	if now.Sub(l.reported) < reportFresh {
		score = max(score, float64(l.report.Running)) + float64(l.report.Waiting)
	}
	score += failurePenalty * l.Rate(now)
	if u.DataCentre != g.options.DataCentre {
		score += farPenalty
	}
	if now.Before(g.ColdUntil(u)) {
		score += coldPenalty
	}
	if slices.Contains(c.tried, u) {
		score += repeatPenalty
	}
	if g.options.Ways.Has(mechanism.RetryElsewhere) && slices.ContainsFunc(c.tried, func(t *roster.Upstream) bool { return t.DataCentre == u.DataCentre }) {
		score += sameSitePenalty
	}
	if g.options.Ways.Has(mechanism.ConnectionsWarm) && !g.options.Open(u.Address) {
		score += dialPenalty
	}
	return score + g.rng.Float64()/10
}

// tokens estimates the work of a generation, in prompt tokens.
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
