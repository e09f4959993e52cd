// Package forward decides how an instance handles a request: whether it is accepted, which
// upstream runs it, whether it is retried, and how it is refused. It does no I/O and reads no
// clock; the caller serialises all calls.
//
// One file holds one concern: admit.go accepts requests, choose.go picks the upstream,
// cordon.go, cold.go and region.go restrict the choice, home.go deals with pool homes, retry.go
// decides after a failed attempt, budget.go limits retries, load.go tracks load, health.go
// failures, and silence.go judges silent streams.
package forward

import (
	"math/rand/v2"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

// crashMemory is how long a crash counts against the requests that were running. Requests that
// crash upstreams are repeated within seconds. A popular look-up is present at unrelated
// crashes too and must not be refused for long.
const crashMemory = 30 * time.Second

// Options configure a gate.
type Options struct {
	// Name and DataCentre are those of this instance.
	Name       string
	DataCentre string
	// KeysGoodFor is how long keys are accepted after the configuration was last confirmed; 0
	// means forever.
	KeysGoodFor time.Duration
	// ConfigGoodFor is how long after its last confirmation the configuration is trusted to
	// know every route and key; 0 means forever.
	ConfigGoodFor time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all instances together:
	// ratio x requests + slack in each window.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Without lists disabled mechanisms, for comparison.
	Without mechanism.Set
	// Seed feeds tie-breaking.
	Seed uint64
}

// Gate makes the decisions of one instance. It is not safe for concurrent use.
type Gate struct {
	options   Options
	table     *route.Table
	confirmed time.Time
	roster    *roster.Roster
	cordons   cordon.Set
	// cordoned and lifted hold when each data centre was last cordoned and uncordoned.
	cordoned, lifted map[string]time.Time
	loads            map[*roster.Upstream]*load
	// strangers holds upstreams that are not in the roster, known from grants, while calls run
	// there.
	strangers map[string]*roster.Upstream
	budgets   map[string]*budget
	suspects  *suspect.List
	instances int
	// peers are the live instances, including this one.
	peers []Peer
	// alone is set if no other instance is ready.
	alone    bool
	draining bool
	rng      *rand.Rand
}

// New returns a gate without a configuration.
func New(o Options) *Gate {
	return &Gate{
		options: o, roster: roster.New(), cordoned: map[string]time.Time{}, lifted: map[string]time.Time{}, loads: map[*roster.Upstream]*load{}, strangers: map[string]*roster.Upstream{},
		budgets: map[string]*budget{}, suspects: suspect.NewList(crashMemory),
		instances: 1, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Roster returns the list of upstreams.
func (g *Gate) Roster() *roster.Roster { return g.roster }

// Table returns the configuration in force, or nil.
func (g *Gate) Table() *route.Table { return g.table }

// Adopt puts a newer configuration in force. Older ones, from stale reads or lagging peers,
// are ignored: reverting would serve removed routes and keys.
func (g *Gate) Adopt(t *route.Table) bool {
	if g.table != nil && t.Version <= g.table.Version {
		return false
	}
	g.table = t
	return true
}

// Confirm records that the configuration was the newest at the time the confirming question
// was asked.
func (g *Gate) Confirm(asked time.Time) {
	if asked.After(g.confirmed) {
		g.confirmed = asked
	}
}

// Confirmed returns the time for which the configuration was last confirmed.
func (g *Gate) Confirmed() time.Time { return g.confirmed }

// service returns a service of the configuration in force, or nil.
func (g *Gate) service(name string) *route.Service {
	if g.table == nil {
		return nil
	}
	return g.table.Service(name)
}

// KeysGood reports whether keys may be accepted. A key may have been revoked since the last
// confirmation and must not be accepted beyond the revocation bound.
func (g *Gate) KeysGood(now time.Time) bool {
	return g.options.KeysGoodFor == 0 || now.Sub(g.confirmed) < g.options.KeysGoodFor
}

// SetInstances sets the number of instances that share the retry budget.
func (g *Gate) SetInstances(n int) { g.instances = max(n, 1) }

// Strike records that an upstream crashed while running a request with this fingerprint.
// Requests with two strikes from different crashes are refused. It reports whether the strike
// was new.
func (g *Gate) Strike(now time.Time, s suspect.Strike) bool { return g.suspects.Strike(now, s) }

// Configure updates the bounds.
func (g *Gate) Configure(o Options) {
	o.Seed, o.Name, o.DataCentre = g.options.Seed, g.options.Name, g.options.DataCentre
	o.Without = g.options.Without
	g.options = o
	g.budgets = map[string]*budget{}
}

// SetAlone sets whether no other instance is ready; refused callers then gain nothing by
// retrying elsewhere at once.
func (g *Gate) SetAlone(alone bool) { g.alone = alone }

// Drain makes the gate refuse long-running requests.
func (g *Gate) Drain() { g.draining = true }
