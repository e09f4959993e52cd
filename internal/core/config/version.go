package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// maxPoolUpstreams is the maximum number of upstreams in a pool that spans a region. A service
// with more upstreams in a region has one pool for each data centre of the region, which limits
// the load of one home.
const maxPoolUpstreams = 16

// Version is one applied version of the configuration, with the lookups that requests need. It
// is immutable; each request keeps the version that it started with.
type Version struct {
	Number int64
	Hash   string
	Config *Config

	orgByKey  map[string]*Organisation
	orgs      map[string]*Organisation
	services  map[string]*Service
	byModel   map[string]*Service
	models    map[string]*Model
	upstreams map[string]*Upstream
	regionOf  map[string]string
	pools     map[string]*Pool
	poolOf    map[string]string
}

// Pool is a set of upstreams of one service on which one home places work.
type Pool struct {
	Name       string
	Service    string
	Region     string
	DataCentre string // empty if the pool spans its region
	Upstreams  []string
}

// Compile builds the lookups of a version of the configuration.
func Compile(number int64, hash string, cfg *Config) *Version {
	v := &Version{
		Number: number, Hash: hash, Config: cfg,
		orgByKey: map[string]*Organisation{}, orgs: map[string]*Organisation{},
		services: map[string]*Service{}, byModel: map[string]*Service{},
		models: map[string]*Model{}, upstreams: map[string]*Upstream{},
		regionOf: map[string]string{}, pools: map[string]*Pool{}, poolOf: map[string]string{},
	}
	for i := range cfg.Organisations {
		o := &cfg.Organisations[i]
		v.orgs[o.Name] = o
		for _, k := range o.KeySHA256 {
			v.orgByKey[k] = o
		}
	}
	for i := range cfg.Models {
		v.models[cfg.Models[i].Name] = &cfg.Models[i]
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		v.services[s.Name] = s
		if s.Kind == KindEngine {
			v.byModel[s.Model] = s
		}
	}
	for region, dcs := range cfg.Deployment.Regions {
		for _, dc := range dcs {
			v.regionOf[dc] = region
		}
	}
	v.compilePools()
	return v
}

// compilePools assigns the upstreams to pools.
func (v *Version) compilePools() {
	perRegion := map[string]int{}
	for i := range v.Config.Upstreams {
		u := &v.Config.Upstreams[i]
		v.upstreams[u.Name] = u
		perRegion[u.Service+"@"+v.regionOf[u.DataCentre]]++
	}
	for _, u := range v.Config.Upstreams {
		region := v.regionOf[u.DataCentre]
		p := Pool{Name: u.Service + "@" + region, Service: u.Service, Region: region}
		if perRegion[p.Name] > maxPoolUpstreams {
			p.Name, p.DataCentre = u.Service+"@"+u.DataCentre, u.DataCentre
		}
		if v.pools[p.Name] == nil {
			v.pools[p.Name] = &p
		}
		v.pools[p.Name].Upstreams = append(v.pools[p.Name].Upstreams, u.Name)
		v.poolOf[u.Name] = p.Name
	}
}

// HashKey returns the digest by which an API key appears in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKey returns the organisation that an API key belongs to, or nil.
func (v *Version) OrganisationByKey(key string) *Organisation { return v.orgByKey[HashKey(key)] }

// Organisation returns the organisation with the given name, or nil.
func (v *Version) Organisation(name string) *Organisation { return v.orgs[name] }

// Service returns the service with the given name, or nil.
func (v *Version) Service(name string) *Service { return v.services[name] }

// ServiceForModel returns the engine service that serves a model, or nil.
func (v *Version) ServiceForModel(model string) *Service { return v.byModel[model] }

// Model returns the model with the given name, or nil.
func (v *Version) Model(name string) *Model { return v.models[name] }

// Upstream returns the upstream with the given name, or nil.
func (v *Version) Upstream(name string) *Upstream { return v.upstreams[name] }

// Region returns the region of a data centre, or "" if it has none.
func (v *Version) Region(dataCentre string) string { return v.regionOf[dataCentre] }

// Pool returns the pool with the given name, or nil.
func (v *Version) Pool(name string) *Pool { return v.pools[name] }

// PoolOf returns the name of the pool that an upstream belongs to, or "".
func (v *Version) PoolOf(upstream string) string { return v.poolOf[upstream] }

// PoolsFor returns the pools of a service: those in the given data centre first, then those in
// its region, then the others.
func (v *Version) PoolsFor(service, dataCentre string) []*Pool {
	var near, region, far []*Pool
	for _, name := range sortedKeys(v.pools) {
		p := v.pools[name]
		switch {
		case p.Service != service:
		case p.DataCentre == dataCentre:
			near = append(near, p)
		case p.Region == v.regionOf[dataCentre]:
			region = append(region, p)
		default:
			far = append(far, p)
		}
	}
	return append(append(near, region...), far...)
}

// Renumbered returns a copy of the version with another number.
func (v *Version) Renumbered(number int64) *Version {
	c := *v
	c.Number = number
	return &c
}

// AllowsRegion reports whether the service's requests may run in a region.
func (s *Service) AllowsRegion(region string) bool { return allowsRegion(s.AllowedRegions, region) }

// AllowsRegion reports whether the organisation's requests may run in a region.
func (o *Organisation) AllowsRegion(region string) bool {
	return allowsRegion(o.AllowedRegions, region)
}

// allowsRegion reports whether a list of allowed regions, where empty stands for all, contains
// a region.
func allowsRegion(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// Allows reports whether the organisation may call a service.
func (o *Organisation) Allows(service string) bool {
	for _, s := range o.Services {
		if s == service {
			return true
		}
	}
	return false
}

// PeriodLength returns the duration of the accounting period.
func (l Limits) PeriodLength() time.Duration {
	const day = 24 * time.Hour
	switch l.Period {
	case "hour":
		return time.Hour
	case "month":
		return 30 * day
	default:
		return day
	}
}
