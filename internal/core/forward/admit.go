package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

const (
	// defaultTimeout applies if neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// briefRetryAfter is the Retry-After of refusals whose cause concerns this instance only
	// or passes shortly.
	briefRetryAfter = 100 * time.Millisecond
	// outageRetryAfter is the Retry-After while no instance can accept keys. Callers wait for at
	// most a third of their timeout even if the Retry-After is longer, so that time remains to
	// retry a booking.
	outageRetryAfter = 2 * time.Second
	// startupRetryAfter is the Retry-After of an instance that has just started. After a restart
	// of all instances the first configuration arrives within half a second.
	startupRetryAfter = 500 * time.Millisecond
	// crashRetryAfter is the Retry-After of requests with a part that has crashed upstreams.
	crashRetryAfter = crashRefusal
)

// Admit accepts a request or refuses it. Start returns the first step of an
// accepted call. One whose caller takes a stream up must be bound by Bind before.
func (g *Gate) Admit(now time.Time, r Request) (*Call, *Refusal) {
	if g.table == nil {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: NoConfig, RetryAfter: startupRetryAfter}
	}
	if !g.cordons.Known() {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: NoCordons, RetryAfter: startupRetryAfter}
	}
	rt := g.table.Find(r.Host, r.Path)
	if rt == nil {
		return nil, g.deny(now, Refusal{Status: status.NotFound, Reason: NoRoute})
	}
	c := &Call{Request: r, Route: rt, Rank: rt.Rank, Arrived: now, ConfigVersion: g.table.Version}
	var org *route.Organisation
	if g.table.NeedsKey(rt) {
		var refusal *Refusal
		if org, refusal = g.authenticate(now, c); refusal != nil {
			return nil, refusal
		}
	}
	if refusal := setRegions(c, org); refusal != nil {
		return nil, refusal
	}
	if maxHead := g.table.Limits.MaxHeaderBytes; maxHead > 0 && r.HeadBytes > maxHead {
		return nil, &Refusal{Status: status.HeadTooLarge, Reason: HeadTooLarge}
	}
	if maxBody := g.table.Limits.MaxBodyBytes; maxBody > 0 && max(r.Length, r.Received) > maxBody {
		return nil, &Refusal{Status: status.ContentTooLarge, Reason: TooLarge}
	}
	if g.suspects.Verdict(now, r.Fingerprint) == suspect.Refused {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: Crashes, RetryAfter: g.suspects.RefusedUntil(r.Fingerprint).Sub(now)}
	}
	if g.Draining() && rt.Kind == route.Stream {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: Draining, RetryAfter: g.drainRetryAfter()}
	}
	c.Deadline = now.Add(effectiveTimeout(rt.Timeout, r.Timeout))
	if c.TakesUp() {
		return c, nil // Bind assigns the service that began the stream
	}
	if refusal := g.assign(now, c, rt.Pick(g.rng.Float64())); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

// assign makes a service run a call, or refuses the call.
func (g *Gate) assign(now time.Time, c *Call, service string) *Refusal {
	c.Service = service
	if g.table.Service(c.Service) == nil {
		return &Refusal{Status: status.ServiceUnavailable, Reason: NoService, RetryAfter: startupRetryAfter}
	}
	c.Parts = partsAt(c.Service, c.Parts)
	if g.IsConvicted(now, c) {
		return &Refusal{Status: status.ServiceUnavailable, Reason: Crashes, RetryAfter: crashRetryAfter}
	}
	c.leastRank = g.table.LeastRank(c.Service)
	g.budget(c.Service).addRequest(now)
	return nil
}

// effectiveTimeout returns the shorter of the route's and the caller's time limit; 0 means that
// there is none.
func effectiveTimeout(ofRoute, ofCaller time.Duration) time.Duration {
	limit := ofRoute
	if limit <= 0 || ofCaller > 0 && ofCaller < limit {
		limit = ofCaller
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// setRegions sets the regions that a call is restricted to, or refuses the call if there are
// none.
func setRegions(c *Call, org *route.Organisation) *Refusal {
	var allowed []string
	if org != nil {
		allowed = org.Regions
	}
	ok := false
	if c.Regions, ok = intersectRegions(c.Route.Regions, allowed); !ok {
		return &Refusal{Status: status.ServiceUnavailable, Reason: NoRegion, RetryAfter: startupRetryAfter}
	}
	return nil
}

// deny returns the final refusal if the configuration was confirmed recently, else a temporary
// one: a newer version may have the route or key that this one lacks.
func (g *Gate) deny(now time.Time, final Refusal) *Refusal {
	if g.options.ConfigGoodFor == 0 || now.Sub(g.confirmedAt) <= g.options.ConfigGoodFor {
		return &final
	}
	return &Refusal{Status: status.ServiceUnavailable, Reason: StaleConfig, RetryAfter: g.unconfirmedRetryAfter()}
}

// unconfirmedRetryAfter returns the Retry-After while the configuration is not confirmed:
// longer if no other instance could accept the request.
func (g *Gate) unconfirmedRetryAfter() time.Duration {
	if g.alone {
		return outageRetryAfter
	}
	return briefRetryAfter
}

// authenticate returns the organisation that owns the request's key. Without a recent
// confirmation of the configuration it returns a temporary refusal, because the key may have
// been added or revoked since.
func (g *Gate) authenticate(now time.Time, c *Call) (*route.Organisation, *Refusal) {
	if !g.KeysGood(now) {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: StaleKeys, RetryAfter: g.unconfirmedRetryAfter()}
	}
	org := g.table.Organisation(c.Key)
	if org == nil {
		return nil, g.deny(now, Refusal{Status: status.Unauthorized, Reason: UnknownKey})
	}
	c.Organisation = org.Name
	if org.Rank != nil {
		c.Rank = *org.Rank
	}
	return org, nil
}
