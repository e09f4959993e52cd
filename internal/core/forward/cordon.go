package forward

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// cordonRetryAfter is the Retry-After if all upstreams are cordoned. It is not known in advance
// when operators will lift a cordon.
const cordonRetryAfter = 2 * time.Second

// resumeTimeout is how long after a cordon became known a moved generation may still resume at
// an upstream in the cordoned data centre.
const resumeTimeout = time.Second

// SetCordons puts newer cordons in force and ignores older ones. It reports whether the set of
// cordoned data centres changed or became known.
func (g *Gate) SetCordons(now time.Time, s cordon.Set) bool {
	if s.Version <= g.cordons.Version {
		return false
	}
	changed := !g.cordons.Known() || !g.cordons.Same(s)
	for _, dc := range g.cordons.Lifted(s) {
		g.liftedAt[dc] = now
	}
	for _, dc := range s.Lifted(g.cordons) {
		g.cordonedAt[dc] = now
	}
	g.cordons = s
	return changed
}

// Cordons returns the cordons in force.
func (g *Gate) Cordons() cordon.Set { return g.cordons }

// CordonsLifted returns the time when the cordon of each data centre was last lifted.
func (g *Gate) CordonsLifted() map[string]time.Time { return g.liftedAt }

// maySend reports whether a call may be sent to an upstream: the upstream takes new work, its software
// may run the call, and the call may use its data centre.
func (g *Gate) maySend(c *Call, u *roster.Upstream) bool {
	return u.TakesWork() && g.admits(c, u.Entry) && g.mayUse(c, u.DataCentre)
}

// mayUse reports whether a call may use a data centre: it is not cordoned and in an allowed
// region.
func (g *Gate) mayUse(c *Call, dataCentre string) bool {
	return !g.cordons.Has(dataCentre) && g.inRegion(c, dataCentre)
}

// unavailableReason returns why a call can use none of its service's data centres. It returns ""
// if the call can use one of them, or if no data centre of the service is known.
func (g *Gate) unavailableReason(c *Call) Reason {
	if g.cordons.Empty() && len(c.Regions) == 0 {
		return ""
	}
	why := Reason("")
	for _, dc := range g.dataCentres(c.Service) {
		switch {
		case g.mayUse(c, dc):
			return ""
		case g.inRegion(c, dc):
			why = Cordoned
		case why == "":
			why = OtherRegions
		}
	}
	return why
}

// DataCentreOf returns an upstream's data centre, or "" if the upstream is not known.
func (g *Gate) DataCentreOf(id string) string {
	if u := g.roster.Find(id); u != nil {
		return u.DataCentre
	}
	if u := g.unlisted[id]; u != nil {
		return u.DataCentre
	}
	return ""
}

// dataCentres lists the known data centres of a service's upstreams.
func (g *Gate) dataCentres(service string) []string {
	layout, _ := g.roster.Layout()
	var out []string
	for dc := range layout[service] {
		out = append(out, dc)
	}
	for _, u := range g.roster.UpstreamsOf(service) {
		if !slices.Contains(out, u.DataCentre) {
			out = append(out, u.DataCentre)
		}
	}
	return out
}

// MayMove reports whether a call's generation may be moved to the upstream of an entry: its software
// may go on with what the present upstream has written, it is not known to leave and has not asked this
// instance for a pause, and the call may use its data centre. A generation whose stream could not go on is not stopped.
func (g *Gate) MayMove(now time.Time, c *Call, to roster.Entry) bool {
	if !c.positionKnown() || !c.memoryFits(to) || !g.admits(c, to) || !g.mayUse(c, to.DataCentre) {
		return false
	}
	u := g.roster.Find(to.ID)
	return u == nil || u.TakesWork() && !g.paused(now, u.Run())
}

// mayResumeAt reports whether a call's moved generation may resume at an upstream.
func (g *Gate) mayResumeAt(now time.Time, c *Call, u *roster.Upstream) bool {
	if g.paused(now, u.Run()) || !g.admits(c, u.Entry) {
		return false
	}
	return !g.cordons.Has(u.DataCentre) || now.Sub(g.cordonedAt[u.DataCentre]) < resumeTimeout
}

// retryAfterFor returns the Retry-After for a refusal: cordonRetryAfter for Cordoned, else
// retryAfter.
func retryAfterFor(why Reason, retryAfter time.Duration) time.Duration {
	if why == Cordoned {
		return cordonRetryAfter
	}
	return retryAfter
}
