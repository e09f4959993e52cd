package forward

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// cordonedLater is the Retry-After if all upstreams are cordoned. The end of a cordon is not
// known in advance.
const cordonedLater = 2 * time.Second

// pickUpTimeout is how long after a cordon became known a generation may continue at an
// upstream to which it was being moved.
const pickUpTimeout = time.Second

// SetCordons puts newer cordons in force and ignores older ones. It reports whether the
// cordoned data centres changed.
func (g *Gate) SetCordons(now time.Time, s cordon.Set) bool {
	if s.Version <= g.cordons.Version {
		return false
	}
	changed := !g.cordons.Known() || !g.cordons.Same(s)
	for _, dc := range g.cordons.Lifted(s) {
		g.lifted[dc] = now
	}
	for _, dc := range s.Lifted(g.cordons) {
		g.cordoned[dc] = now
	}
	g.cordons = s
	return changed
}

// Cordons returns the cordons in force.
func (g *Gate) Cordons() cordon.Set { return g.cordons }

// CordonsLifted returns when the cordon of each data centre was last lifted.
func (g *Gate) CordonsLifted() map[string]time.Time { return g.lifted }

// takes reports whether a call may be sent to an upstream.
func (g *Gate) takes(c *Call, u *roster.Upstream) bool {
	return u.TakesWork() && g.open(c, u.DataCentre)
}

// open reports whether a call may use a data centre.
func (g *Gate) open(c *Call, dataCentre string) bool {
	return !g.cordons.Has(dataCentre) && g.inRegion(c, dataCentre)
}

// closed returns why a call can use none of its service's data centres, or "" if it can, or if
// they are unknown.
func (g *Gate) closed(c *Call) Reason {
	if g.cordons.Empty() && len(c.Regions) == 0 {
		return ""
	}
	why := Reason("")
	for _, dc := range g.dataCentres(c.Service) {
		switch {
		case g.open(c, dc):
			return ""
		case g.inRegion(c, dc):
			why = Cordoned
		case why == "":
			why = OtherRegions
		}
	}
	return why
}

// dataCentres lists the known data centres of a service's upstreams.
func (g *Gate) dataCentres(service string) []string {
	layout, _ := g.roster.Layout()
	var out []string
	for dc := range layout[service] {
		out = append(out, dc)
	}
	for _, u := range g.roster.Of(service) {
		if !slices.Contains(out, u.DataCentre) {
			out = append(out, u.DataCentre)
		}
	}
	return out
}

// MayMove reports whether a generation may be moved to a data centre.
func (g *Gate) MayMove(c *Call, dataCentre string) bool { return g.open(c, dataCentre) }

// mayPickUp reports whether a moved generation may continue at an upstream.
func (g *Gate) mayPickUp(now time.Time, u *roster.Upstream) bool {
	return !g.cordons.Has(u.DataCentre) || now.Sub(g.cordoned[u.DataCentre]) < pickUpTimeout
}

// laterFor returns the Retry-After for a reason, or a default.
func laterFor(why Reason, after time.Duration) time.Duration {
	if why == Cordoned {
		return cordonedLater
	}
	return after
}
