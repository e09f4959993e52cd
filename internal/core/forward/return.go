package forward

import (
	"math"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// A caller whose stream broke off may take it up at another instance, until it gives up. That instance needs
// to know where the stream began: from a record, or because all upstreams that can have begun it run the same
// software.
const (
	// maxReturnTime bounds for how long a caller is expected to take a stream up.
	maxReturnTime = 2 * time.Minute
	// returnSlack is added to the time that the caller waits, for the time on the way.
	returnSlack = time.Second
	// minReturnWindow is the least time before now in which a stream that is taken up now may have begun. It
	// is twice the route's time limit if that is longer: a caller may wait for longer than one try lasts.
	minReturnWindow = 10 * time.Second
	// leaveSlack is how long an upstream that is no longer listed may begin streams of instances with an
	// older list.
	leaveSlack = 10 * time.Second
	// maxProofAge is the greatest age of the list by which a stream goes on without a record. Records are shared
	// once the list is older than maxUnsharedAge, so that they arrive before they are needed.
	maxProofAge    = 3 * time.Second
	maxUnsharedAge = 2 * time.Second
)

// ReturnTime returns for how long after its first event a call's stream may be taken up; 0 if its route does not
// allow that.
func (c *Call) ReturnTime() time.Duration {
	if c.Route.Kind != route.Stream || !c.Route.Resumable {
		return 0
	}
	return min(effectiveTimeout(0, max(c.Timeout, c.Route.Timeout)), maxReturnTime) + returnSlack
}

// SoleOrigin returns the origin of all streams that the caller of a call may take up, if the list of upstreams and
// the configurations of the last time show that there is only one.
func (g *Gate) SoleOrigin(now time.Time, c *Call) (o roster.Origin, ok bool) {
	service, window := c.ReturnWindow()
	if service == "" {
		return o, false
	}
	software, ok := g.soleSoftware(now, service, window, maxProofAge)
	return roster.Origin{Service: service, Software: software}, ok
}

// CouldProveOrigin reports whether SoleOrigin would return an origin if the list were confirmed now as it is known.
func (g *Gate) CouldProveOrigin(now time.Time, c *Call) bool {
	service, window := c.ReturnWindow()
	if service == "" {
		return false
	}
	_, ok := g.soleSoftware(now, service, window, math.MaxInt64)
	return ok
}

// OriginByList returns the origin of all streams that the caller of a call may take up, if the list shows that there is
// only one. agreed is the sole software that the other instances state, which counts if this one does not know of another
// software; "" if only what this instance knows counts.
func (g *Gate) OriginByList(now time.Time, c *Call, agreed string) (o roster.Origin, ok bool) {
	own, ok := g.SoleOrigin(now, c)
	if ok {
		return own, agreed == "" || agreed == own.Software
	}
	service, _ := c.ReturnWindow()
	differs := func(u *roster.Upstream) bool { return u.Software != agreed }
	if agreed == "" || service == "" || slices.ContainsFunc(g.roster.UpstreamsOf(service), differs) {
		return o, false
	}
	return roster.Origin{Service: service, Software: agreed}, true
}

// ReturnWindow returns the only service of a call's route, and the time before now in which a stream of it that is
// taken up now may have begun. The service is "" if the route has several: a stream may have begun at any of them.
func (c *Call) ReturnWindow() (service string, window time.Duration) {
	if len(c.Route.Targets) != 1 {
		return "", 0
	}
	return c.Route.Targets[0].Service, min(max(2*c.Route.Timeout, minReturnWindow), 2*maxReturnTime) + leaveSlack
}

// SoleSoftware returns the software version of all upstreams of a service that can have begun a stream within a
// window before now, if there is only one and this instance has known that for so long.
func (g *Gate) SoleSoftware(now time.Time, service string, window time.Duration) (software string, ok bool) {
	return g.soleSoftware(now, service, window, maxProofAge)
}

// NeedsRecord reports whether other instances may need a record of a stream that began at a service: they cannot
// all conclude from the list where it did.
func (g *Gate) NeedsRecord(now time.Time, service string, window time.Duration) bool {
	_, ok := g.soleSoftware(now, service, window, maxUnsharedAge)
	return !ok
}

func (g *Gate) soleSoftware(now time.Time, service string, window, maxAge time.Duration) (software string, ok bool) {
	g.settleTargets(now)
	if g.table == nil || now.Sub(g.targetsChangedAt) < window {
		return "", false
	}
	return g.roster.SoleSoftware(now, service, window, maxAge)
}

// settleTargets records when streams were last sent to other services by a new configuration: what began before may
// have begun at a service that its route no longer uses.
func (g *Gate) settleTargets(now time.Time) {
	if g.targetsChanged {
		g.targetsChanged, g.targetsChangedAt = false, now
	}
}
