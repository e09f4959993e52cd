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
	// soon is the Retry-After of refusals whose cause other instances do not share, or that
	// passes within moments.
	soon = 100 * time.Millisecond
	// outageLater is the Retry-After while no instance can accept keys. Callers honour at most
	// a third of their timeout, so that bookings can still return.
	outageLater = 2 * time.Second
	// restartSoon is the Retry-After of an instance that has just started. After a full
	// restart the first configuration arrives within half a second.
	restartSoon = 500 * time.Millisecond
	// crashedLater is the Retry-After of requests that crash upstreams.
	crashedLater = crashMemory
)

// Admit accepts a request or refuses it. An accepted one continues with Start.
func (g *Gate) Admit(now time.Time, r Request) (*Call, *Refusal) {
	if g.table == nil {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: NoConfig, RetryAfter: restartSoon}
	}
	if !g.cordons.Known() {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: NoCordons, RetryAfter: restartSoon}
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
	if refusal := confine(c, org); refusal != nil {
		return nil, refusal
	}
	if most := g.table.Limits.MaxBodyBytes; most > 0 && r.Length > most {
		return nil, &Refusal{Status: status.ContentTooLarge, Reason: TooLarge}
	}
	if g.suspects.Judge(now, r.Print) == suspect.Refused {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: Crashes, RetryAfter: crashedLater}
	}
	if g.draining && rt.Kind == route.Stream {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: Draining, RetryAfter: soon}
	}
	c.Service = rt.Pick(g.rng.Float64())
	if g.table.Service(c.Service) == nil {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: NoService, RetryAfter: restartSoon}
	}
	c.Deadline = now.Add(timeoutOf(rt.Timeout, r.Timeout))
	g.budget(c.Service).request(now)
	return c, nil
}

// timeoutOf returns the time limit of a request.
func timeoutOf(timeout, caller time.Duration) time.Duration {
	p := timeout
	if p <= 0 || caller > 0 && caller < p {
		p = caller
	}
	if p <= 0 {
		p = defaultTimeout
	}
	return p
}

// confine sets the regions that a call is restricted to.
func confine(c *Call, org *route.Organisation) *Refusal {
	var allowed []string
	if org != nil {
		allowed = org.Regions
	}
	ok := false
	if c.Regions, ok = restrict(c.Route.Regions, allowed); !ok {
		return &Refusal{Status: status.ServiceUnavailable, Reason: NoRegion, RetryAfter: restartSoon}
	}
	return nil
}

// deny returns a refusal that is final only if the configuration is recent: a newer version may
// have the route or key that this one lacks.
func (g *Gate) deny(now time.Time, final Refusal) *Refusal {
	if g.options.ConfigGoodFor == 0 || now.Sub(g.confirmed) <= g.options.ConfigGoodFor {
		return &final
	}
	return &Refusal{Status: status.ServiceUnavailable, Reason: StaleConfig, RetryAfter: g.confirmedLater()}
}

// confirmedLater returns the Retry-After while the configuration is not confirmed.
func (g *Gate) confirmedLater() time.Duration {
	if g.alone {
		return outageLater
	}
	return soon
}

// authenticate returns the organisation that owns the request's key. Without a recent
// confirmation of the configuration the answer is a temporary refusal rather than an unknown
// key: the key may be valid.
func (g *Gate) authenticate(now time.Time, c *Call) (*route.Organisation, *Refusal) {
	if !g.KeysGood(now) {
		return nil, &Refusal{Status: status.ServiceUnavailable, Reason: StaleKeys, RetryAfter: g.confirmedLater()}
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
