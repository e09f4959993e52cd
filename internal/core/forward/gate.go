// Package forward decides what happens to a request on its way through an
// instance: whether it may pass, which upstream runs it, whether it is tried
// again, and what the caller hears when it can't be served. It does no I/O and
// reads no clock; the caller serialises all calls.
//
// One file holds one concern: admit.go lets requests in, choose.go picks the
// upstream, cordon.go and region.go tell where a request must not run, retry.go decides after a failed attempt, budget.go bounds the
// retries of the fleet, load.go remembers what runs where, health.go
// which upstreams are passed over, silence.go judges streams that say nothing.
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

// crashMemory is how long a crash is held against the requests that ran there.
// A request that crashes upstreams comes again within seconds. A look-up that
// many callers make is at hand at other crashes too, and must not be refused for
// long because of two of them.
const crashMemory = 30 * time.Second

// Options describe an instance at its start.
type Options struct {
	// Name and DataCentre are the instance's own.
	Name       string
	DataCentre string
	// KeysGoodFor is how long after the last confirmation of the
	// configuration keys are accepted; 0 accepts them for ever.
	KeysGoodFor time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all
	// instances together: ratio x requests + slack in each window.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Without lists the mechanisms that are left out, Ways the ways in which decisions are
	// made, for comparison.
	Without mechanism.Set
	Ways    mechanism.Ways
	// Open reports whether a connection to an address is open and idle.
	Open func(address string) bool
	// Seed feeds the choice among equals.
	Seed uint64
}

// Gate decides for one instance. It is not safe for concurrent use.
type Gate struct {
	options   Options
	table     *route.Table
	confirmed time.Time
	roster    *roster.Roster
	cordons   cordon.Set
	// cordoned and lifted hold when a data centre was last cordoned, and when its cordon
	// was last lifted.
	cordoned, lifted map[string]time.Time
	loads            map[*roster.Upstream]*load
	// strangers holds the upstreams that only homes know of, while work of
	// this instance runs there.
	strangers map[string]*roster.Upstream
	budgets   map[string]*budget
	suspects  *suspect.List
	instances int
	// peers are the instances that live, this one included.
	peers []Peer
	// alone is set while no other instance is ready either.
	alone    bool
	draining bool
	rng      *rand.Rand
}

// New returns a gate that knows no configuration yet.
func New(o Options) *Gate {
	return &Gate{
		options: o, roster: roster.New(), cordoned: map[string]time.Time{}, lifted: map[string]time.Time{}, loads: map[*roster.Upstream]*load{}, strangers: map[string]*roster.Upstream{},
		budgets: map[string]*budget{}, suspects: suspect.NewList(crashMemory),
		instances: 1, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Roster returns the list of upstreams that the gate chooses from.
func (g *Gate) Roster() *roster.Roster { return g.roster }

// Table returns the configuration in force, or nil.
func (g *Gate) Table() *route.Table { return g.table }

// Adopt puts a configuration in force. Versions only rise: an older one, from a
// stale copy of the store or a peer that lags, is passed over, as an instance
// that went back would serve routes and keys that were taken away.
func (g *Gate) Adopt(t *route.Table) bool {
	if g.table != nil && t.Version <= g.table.Version {
		return false
	}
	g.table = t
	return true
}

// Confirm tells that the configuration in force was the newest at a moment: the
// moment at which the question was asked whose answer said so.
func (g *Gate) Confirm(asked time.Time) {
	if asked.After(g.confirmed) {
		g.confirmed = asked
	}
}

// Confirmed returns the moment for which the configuration was last confirmed.
func (g *Gate) Confirmed() time.Time { return g.confirmed }

// service returns a service of the configuration in force, or nil.
func (g *Gate) service(name string) *route.Service {
	if g.table == nil {
		return nil
	}
	return g.table.Service(name)
}

// KeysGood reports whether keys may be accepted: a key may have been taken away
// since the last confirmation, and once the bound on revocation has passed it
// must not work anywhere.
func (g *Gate) KeysGood(now time.Time) bool {
	return g.options.KeysGoodFor == 0 || now.Sub(g.confirmed) < g.options.KeysGoodFor
}

// SetInstances tells how many instances share the retry budget.
func (g *Gate) SetInstances(n int) { g.instances = max(n, 1) }

// Strike notes that an upstream crashed while it ran a request with a print. A
// request with two strikes from different crashes is refused: each further run
// would take an upstream from all others. It reports whether that was new.
func (g *Gate) Strike(now time.Time, s suspect.Strike) bool { return g.suspects.Strike(now, s) }

// Configure takes new bounds.
func (g *Gate) Configure(o Options) {
	o.Seed, o.Name, o.DataCentre = g.options.Seed, g.options.Name, g.options.DataCentre
	o.Without, o.Ways, o.Open = g.options.Without, g.options.Ways, g.options.Open
	g.options = o
	g.budgets = map[string]*budget{}
}

// SetAlone tells whether no other instance is ready: a caller that is refused
// then is not better served elsewhere, and is told to come back later.
func (g *Gate) SetAlone(alone bool) { g.alone = alone }

// Drain makes the gate refuse long work, as this instance will end soon.
func (g *Gate) Drain() { g.draining = true }
