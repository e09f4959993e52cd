// Package route holds one accepted configuration of routes, services and organisations,
// prepared for lookups. It finds the route of a request and the organisation of an API key. It
// does no I/O.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is the type of a route. It determines whether requests may run more than once.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once is the kind of requests that run at most once each time that a caller sends them.
	Once Kind = "once"
	// Stream is the kind of requests whose response is a stream of events. They run at most
	// once unless the route is resumable.
	Stream Kind = "stream"
)

// Route is a rule that maps requests to services.
type Route struct {
	Name string
	// Host is compared with the request's host.
	Host string
	// Prefix is a prefix of the request's path. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits for a final response.
	Timeout time.Duration
	// Target is the latency within which a response, or the first event of a stream, is on
	// time.
	Target time.Duration
	// MaxGap is the maximum interval between events of a stream that is on time; 0 for other
	// kinds of routes.
	MaxGap time.Duration
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Targets are the services among which the route's requests are split by weight.
	Targets []Target
	// MaxAttempts is the maximum number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Generation is set if requests carry a prompt for a model engine.
	Generation bool
	// Resumable is set if a broken stream may continue on another upstream after the last event
	// that was received.
	Resumable bool
	// Regions are the regions in which requests of the route may run; empty allows all.
	Regions []string
}

// minPatience, patienceTargets and patienceGaps give the time after which callers abandon a stream that
// pauses: 2 s, four times the target or eight times the allowed interval between events, whichever is longest.
const (
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// Patience returns the time after which callers abandon a stream of the route that pauses.
func (r *Route) Patience() time.Duration {
	return max(minPatience, patienceTargets*r.Target, patienceGaps*r.MaxGap)
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is one of the services of a route with several, and its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that one upstream accepts, from all
	// instances together.
	MaxConns int
	// ColdFor is how long an upstream stays cold after it has started or become cold again.
	// ColdRate is the number of requests per second from all instances together that it accepts
	// while cold; 0 means no limit.
	ColdFor  time.Duration
	ColdRate float64
	// Engine is set for pools of model engines, otherwise nil.
	Engine *Engine
}

// Engine describes the upstreams of an engine pool.
type Engine struct {
	// Slots is the maximum batch size of one upstream, MemoryToken the capacity of its memory
	// in tokens.
	Slots       int
	MemoryToken int
	// TokenBytes is the size of one token's state in bytes, LinkMbps the bandwidth in Mbit/s at
	// which one upstream sends state to another.
	TokenBytes float64
	LinkMbps   float64
	// Moves and Backups specify which transfers of running generations the pool supports.
	Moves   bool
	Backups bool
	// CopyTTL is how long the destination keeps the copy of a generation.
	CopyTTL time.Duration
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Limits bounds the size and the duration of what callers send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation is the owner of API keys. Its rank takes precedence over that of a route.
type Organisation struct {
	Name string
	Keys []string
	// Rank is nil if the organisation has no rank of its own.
	Rank *int
	// Regions are the regions in which the organisation's requests may run; empty allows all.
	Regions []string
}

// Config is one accepted version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations is nil if the configuration has no list of them, so that no route needs a key. With an
	// empty list, all but public routes need one, and there is none.
	Organisations []Organisation
}

// Table looks up routes, services and organisations in one version of the configuration. It is
// immutable.
type Table struct {
	Version  int64
	Limits   Limits
	hosts    map[string][]*Route
	services map[string]*Service
	// leastRanks holds the most urgent rank that requests to each service may have.
	leastRanks map[string]int
	keys       map[string]*Organisation
	// keysRequired is set if the configuration has a list of organisations, even an empty one: routes that are
	// not public then need an API key.
	keysRequired bool
	// regions are all regions to which some requests are restricted; restricted holds the routes
	// that restrict requests to regions, by host.
	regions    []string
	restricted map[string][]*Route
}

// NewTable returns the lookup table of a version of the configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits, hosts: map[string][]*Route{},
		services: map[string]*Service{}, leastRanks: leastRanks(c), keys: map[string]*Organisation{},
		keysRequired: c.Organisations != nil, restricted: map[string][]*Route{},
	}
	for k := range c.Routes {
		r := &c.Routes[k]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		t.regions = append(t.regions, r.Regions...)
		if len(r.Regions) > 0 {
			t.restricted[r.Host] = append(t.restricted[r.Host], r)
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for k := range c.Services {
		t.services[c.Services[k].Name] = &c.Services[k]
	}
	for k := range c.Organisations {
		for _, key := range c.Organisations[k].Keys {
			t.keys[key] = &c.Organisations[k]
		}
		t.regions = append(t.regions, c.Organisations[k].Regions...)
	}
	slices.Sort(t.regions)
	t.regions = slices.Compact(t.regions)
	return t
}

// leastRanks returns the most urgent rank that requests to each service may have: that of one of its
// routes, or of an organisation.
func leastRanks(c Config) map[string]int {
	out := map[string]int{}
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			if least, known := out[t.Service]; !known || r.Rank < least {
				out[t.Service] = r.Rank
			}
		}
	}
	for _, o := range c.Organisations {
		if o.Rank == nil {
			continue
		}
		for service, least := range out {
			out[service] = min(least, *o.Rank)
		}
	}
	return out
}

// LeastRank returns the most urgent rank that requests to a service may have; 0 if it has no route.
func (t *Table) LeastRank(service string) int { return t.leastRanks[service] }

// Find returns the route of a host that has the longest matching prefix of the path, or nil. A
// port in the host is ignored.
func (t *Table) Find(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && t.hosts[host] == nil {
		host = host[:at]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// SameStreamTargets reports whether all streams that had a route in an older table go to the same services.
func (t *Table) SameStreamTargets(older *Table) bool {
	return t.streamTargetsIn(older) && older.streamTargetsIn(t)
}

// streamTargetsIn reports whether streams of this table's routes go to the same services in another table, or
// nowhere.
func (t *Table) streamTargetsIn(other *Table) bool {
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.Kind != Stream {
				continue
			}
			if o := other.Find(r.Host, r.Prefix); o != nil && !slices.Equal(o.Targets, r.Targets) {
				return false
			}
		}
	}
	return true
}

// RegionsOf returns the regions other than their own in which callers of a host may connect:
// those that all its restricted routes allow or, if there are none, those that any of them
// allows; nil if no route of the host is restricted.
func (t *Table) RegionsOf(host string) []string {
	var union, common []string
	for k, r := range t.restricted[host] {
		if k == 0 {
			common = slices.Clone(r.Regions)
		}
		common = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(r.Regions, region) })
		union = append(union, r.Regions...)
	}
	if len(common) > 0 {
		return common
	}
	return union
}

// Regions returns all regions to which some requests are restricted, sorted.
func (t *Table) Regions() []string { return t.regions }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// NeedsKey reports whether requests of the route need an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.keysRequired && !r.Public }

// Organisation returns the owner of an API key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// Pick returns one of the route's services, chosen by weight. draw is a random number that is
// at least 0 and less than 1.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	rest := int(draw * float64(total))
	for _, t := range r.Targets {
		if rest -= max(t.Weight, 0); rest < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}
