package core

import (
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
)

// setCordons applies the cordons of the version in force to the pools whose home this instance is.
func (i *Instance) setCordons(now time.Time, s cordon.Set) {
	before := i.cordons
	i.cordons = s
	if before.Same(s) {
		return
	}
	i.emit(Log{Event: "cordons_changed", Pairs: []any{
		"cordoned", strings.Join(s.DataCentres, ","), "lifted", strings.Join(before.Lifted(s), ","), "number", s.Version,
	}})
	for _, name := range i.poolNames {
		h := i.pools[name]
		i.sendDecisions(now, h, h.home.SetCordons(now, s))
	}
}

// cordoned reports whether an upstream's data centre is cordoned.
func (i *Instance) cordoned(upstream string) bool {
	u := i.version.Upstream(upstream)
	return u != nil && i.cordons.Has(u.DataCentre)
}

// Cordons returns the cordons in force.
func (i *Instance) Cordons() cordon.Set { return i.cordons }

// allowedPools returns the pools in regions that both the service and the organisation allow.
func (i *Instance) allowedPools(pools []*config.Pool, r *request) []*config.Pool {
	return slices.DeleteFunc(slices.Clone(pools), func(p *config.Pool) bool {
		return !r.service.AllowsRegion(p.Region) || !r.org.AllowsRegion(p.Region)
	})
}
