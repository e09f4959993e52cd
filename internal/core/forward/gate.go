// Package forward decides how an instance handles a request: whether it is accepted, which
// upstream runs it, whether it is retried, and how it is refused. It does no I/O and reads no
// clock; the caller serialises all calls.
//
// Each file covers one topic: admit.go accepts requests, choose.go selects the upstream,
// cordon.go, cold.go and region.go restrict the choice, home.go handles grants of pool homes,
// retry.go decides what follows a failed attempt, budget.go limits retries, load.go tracks the
// load and health.go the failures of upstreams, and silence.go diagnoses silent streams.
// origin.go binds a stream to the software that began it, and return.go decides what is known of that when a
// caller takes a stream up at this instance.
// drain.go decides what an instance that drains can still finish.
// plain.go controls the admission of calls of plain services, and speed.go tracks how fast upstreams
// say that they work at present.
// What upstreams state about themselves in responses is obeyed in limit.go, which tracks their rate
// limits, permit.go, which keeps them, and leaving.go and pause.go, which keep work away from
// upstreams that leave or want a pause.
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

// crashRefusal is for how long a request is refused that was running at two crashes of upstreams, unless it ended
// soundly in between. A frequent look-up also runs during unrelated crashes and must not be refused for long. One that
// crashes another upstream after that is refused for longer.
const crashRefusal = 30 * time.Second

// Options configure a gate.
type Options struct {
	// Name and DataCentre are the name and the data centre of this instance.
	Name       string
	DataCentre string
	// KeysGoodFor is how long keys are accepted after the configuration was last confirmed; 0
	// means forever.
	KeysGoodFor time.Duration
	// ConfigGoodFor is how long after its last confirmation the configuration is assumed to
	// contain every route and key; 0 means forever.
	ConfigGoodFor time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all instances together to
	// RetryRatio x requests + RetrySlack in each window.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// DrainWithin is the time after which a leaving upstream must get nothing more; 0 means immediately.
	DrainWithin time.Duration
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Without lists the mechanisms that are disabled to measure their value.
	Without mechanism.Set
	// Seed initialises the random numbers that break ties.
	Seed uint64
}

// Gate makes the decisions of one instance. It is not safe for concurrent use.
type Gate struct {
	options     Options
	table       *route.Table
	confirmedAt time.Time
	// targetsChanged is set once a configuration has sent streams to other services than before, and
	// targetsChangedAt is when that was last noticed.
	targetsChanged   bool
	targetsChangedAt time.Time
	roster           *roster.Roster
	cordons          cordon.Set
	// cordonedAt and liftedAt hold the times when each data centre was last cordoned and
	// uncordoned.
	cordonedAt, liftedAt map[string]time.Time
	loads                map[*roster.Upstream]*load
	// unlisted holds upstreams that are known from grants only and not in the roster, while
	// calls run there.
	unlisted map[string]*roster.Upstream
	budgets  map[string]*budget
	// limits holds the rate limits that upstreams state. They are kept by run, because an upstream
	// whose entry lapses and returns is another one in the roster.
	limits map[roster.Run]*statedLimit
	// brittle holds the upstreams that state that they are brittle, by run.
	brittle map[roster.Run]*brittle
	// announcedAt holds when this instance last announced that a limit began or ended.
	announcedAt map[roster.Run]time.Time
	// pauses holds the pauses that upstreams have asked for, by run.
	pauses map[roster.Run]*pause
	// speeds holds what upstreams have stated about their current speed, by run.
	speeds map[roster.Run]*speed
	// lastProbe is the number of the last request for a permit to probe an upstream.
	lastProbe int
	suspects  *suspect.List
	parts     *suspect.Parts
	// instances is the number of instances that share the retry budget.
	instances int
	// peers are the live instances, including this one.
	peers []Peer
	// alone is set if no other instance is ready.
	alone bool
	// drainEnd is when the process ends, with the requests in progress; zero if it is not draining.
	drainEnd time.Time
	rng      *rand.Rand
}

// New returns a gate without a configuration, which refuses every request.
func New(o Options) *Gate {
	return &Gate{
		options: o, roster: roster.New(), cordonedAt: map[string]time.Time{}, liftedAt: map[string]time.Time{}, loads: map[*roster.Upstream]*load{}, unlisted: map[string]*roster.Upstream{},
		budgets: map[string]*budget{}, limits: map[roster.Run]*statedLimit{}, brittle: map[roster.Run]*brittle{}, announcedAt: map[roster.Run]time.Time{}, pauses: map[roster.Run]*pause{}, speeds: map[roster.Run]*speed{}, suspects: suspect.NewEscalatingList(crashRefusal), parts: suspect.NewParts(),
		instances: 1, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Roster returns the list of upstreams.
func (g *Gate) Roster() *roster.Roster { return g.roster }

// Table returns the configuration in force, or nil.
func (g *Gate) Table() *route.Table { return g.table }

// Adopt puts a newer configuration in force and reports whether it did. Older versions, which
// arrive from stale reads or lagging peers, are ignored: reverting would serve removed routes
// and keys.
func (g *Gate) Adopt(t *route.Table) bool {
	if g.table != nil && t.Version <= g.table.Version {
		return false
	}
	g.targetsChanged = g.targetsChanged || g.table == nil || !t.SameStreamTargets(g.table)
	g.table = t
	return true
}

// Confirm records that the configuration was the newest at queriedAt, when the confirming query was
// sent. It reports whether that is later than all earlier confirmations.
func (g *Gate) Confirm(queriedAt time.Time) bool {
	if !queriedAt.After(g.confirmedAt) {
		return false
	}
	g.confirmedAt = queriedAt
	return true
}

// ConfigGoodFor returns the time within which a new configuration must be in force; 0 means no limit.
func (g *Gate) ConfigGoodFor() time.Duration { return g.options.ConfigGoodFor }

// Confirmed returns the latest time at which the configuration is known to have been the newest.
func (g *Gate) Confirmed() time.Time { return g.confirmedAt }

// service returns a service of the configuration in force, or nil.
func (g *Gate) service(name string) *route.Service {
	if g.table == nil {
		return nil
	}
	return g.table.Service(name)
}

// KeysGood reports whether keys may be accepted. A key may have been revoked since the last
// confirmation and must not be accepted beyond Options.KeysGoodFor.
func (g *Gate) KeysGood(now time.Time) bool {
	return g.options.KeysGoodFor == 0 || now.Sub(g.confirmedAt) < g.options.KeysGoodFor
}

// SetInstances sets the number of instances that share the retry budget.
func (g *Gate) SetInstances(n int) { g.instances = max(n, 1) }

// Strike records that an upstream crashed while running a request with this fingerprint, and
// reports whether the strike was new. Requests with two strikes from different crashes are
// refused.
func (g *Gate) Strike(now time.Time, s suspect.Strike) bool { return g.suspects.Strike(now, s) }

// Configure replaces the options, except Name, DataCentre, Without and Seed, and resets the
// retry budgets.
func (g *Gate) Configure(o Options) {
	o.Seed, o.Name, o.DataCentre = g.options.Seed, g.options.Name, g.options.DataCentre
	o.Without = g.options.Without
	g.options = o
	g.budgets = map[string]*budget{}
}

// SetAlone sets whether no other instance is ready, in which case callers gain nothing by
// retrying at another instance immediately.
func (g *Gate) SetAlone(alone bool) { g.alone = alone }
