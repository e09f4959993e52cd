package forward

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
)

const (
	// reportFresh is how long an upstream's reported load is used. Older reports are worse
	// than this instance's own count.
	reportFresh = 400 * time.Millisecond
	// failurePenalty is the load that a failure rate of 1 counts as: twice the slots of a
	// small upstream.
	failurePenalty = 12.0
	// farPenalty breaks ties in favour of this data centre.
	farPenalty = 0.25
	// repeatPenalty keeps retries away from upstreams that failed the call.
	repeatPenalty = 1000.0
	// coldPenalty keeps calls away from cold upstreams while others have little load.
	coldPenalty = 2.0
	// generationUnit is the number of tokens that counts like one plain call in progress.
	generationUnit = 1000.0
	// outputWeight is the cost of an output token in prompt tokens.
	outputWeight = 3
)

// candidates lists the upstreams that this instance chooses from. For divided services these
// are a few groups in its data centre, which bounds connections and the size of the list.
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

// OwnGroups lists the groups of divided services that this instance chooses from.
func (g *Gate) OwnGroups() []roster.Group {
	layout, _ := g.roster.Layout()
	var out []roster.Group
	for service := range layout {
		out = append(out, g.ownGroups(layout, service)...)
	}
	return out
}

// ownGroups lists those of one service: groups of this data centre, or of others if it is
// cordoned, and of each other region that requests may be restricted to.
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

// choose returns the upstream with the least load for a call, or nil.
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

// anyUpstream returns an upstream that is skipped after a failed dial: trying it is better
// than refusing.
func (g *Gate) anyUpstream(now time.Time, c *Call) *roster.Upstream {
	for _, u := range g.roster.Of(c.Service) {
		if g.takes(c, u) && !slices.Contains(c.tried, u) && !g.coldOpenAt(now, u).After(now) {
			return u
		}
	}
	return nil
}

// score estimates the load at an upstream in plain calls in progress.
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
	return score + g.rng.Float64()/10
}

// tokens estimates the work of a generation in prompt tokens.
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
