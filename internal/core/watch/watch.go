// Package watch decides how an instance follows the configuration and the list of upstreams: which
// sources it queries and when, and when it responds to the queries of other instances. A source is the
// platform's store, or another instance that reads the store. Calls to the store are priced, so only
// a few instances read it, and the others query these.
//
// What is in force at an instance is at most as old as its last confirmation: the time as of which it
// is known to have been the newest state of the store. An instance whose confirmation becomes overdue
// queries further sources, and finally the store itself, without waiting for those that it has
// queried before. Therefore the failures of other instances, however many, do not add up, and every
// instance that reaches the store has a change in force within one bound, from which all intervals and
// time limits derive (timing.go).
//
// An instance that is cut off from the store can still confirm its configuration through other
// instances. A confirmation counts from the time when its query was sent, so that late or repeated
// responses confirm nothing that is not true.
//
// timing.go holds the intervals, watch.go chooses among sources, follower.go decides on queries and
// held.go on the responses to them. The package does no I/O.
package watch

import (
	"slices"
	"time"
)

// Store is the name of the platform's store as a source. All other sources are instances.
const Store = ""

const (
	// startBackoff is how long a source is skipped that has just started and has no data yet.
	startBackoff = 300 * time.Millisecond
	// maxOthers is the maximum number of instances in Choice.Others that are preferred before the store.
	maxOthers = 6
	// maxOthersOverdue is used instead once the confirmation is overdue, so that the store is queried
	// before the bound has passed.
	maxOthersOverdue = 2
)

// preferences holds the sources that failed and are skipped for a while.
type preferences struct {
	// skipUntil holds the end of the backoff of each source that failed.
	skipUntil map[string]time.Time
}

// Choice lists the sources that an instance may use.
type Choice struct {
	// Reads is set if the instance is a reader, which reads the store for all others. Standby is
	// set if the instance takes over when a reader fails.
	Reads   bool
	Standby bool
	// IsSource is set if other instances get their updates from this one, so that it needs the
	// complete data.
	IsSource bool
	// Candidate is set if the instance finds out for others whether the store responds again.
	Candidate bool
	// Large is set in a large fleet, where only a few instances may read the store.
	Large bool
	// Designated lists the designated sources, in order of preference. Successors lists the instances
	// that follow the standby in the order of readers. Others lists all other live instances, in a
	// rotation that differs between instances.
	Designated, Successors, Others []string
}

// queriesStoreEarly reports whether the instance is one of the few that query the store as soon as the
// designated sources fail. If all did, hundreds of instances would read the store at the same time.
func (c Choice) queriesStoreEarly() bool { return c.Standby || c.IsSource }

// preferred returns the source to query: the first one that is not being skipped, or else the one whose
// backoff ends first.
func (p *preferences) preferred(now time.Time, c Choice) string {
	sources := preferenceOrder(c)
	best, until := Store, time.Time{}
	for k, source := range sources {
		at, skipped := p.skipUntil[source]
		if !skipped || !now.Before(at) {
			return source
		}
		if k == 0 || at.Before(until) {
			best, until = source, at
		}
	}
	return best
}

// preferenceOrder lists the sources in order of preference. The store comes first for a reader, the
// designated instances for the others. Arbitrary instances follow, one of which may reach the store when
// this instance does not.
func preferenceOrder(c Choice) []string {
	others := c.Others[:min(len(c.Others), maxOthers)]
	switch {
	case c.Reads || len(c.Designated) == 0:
		return slices.Concat([]string{Store}, c.Designated, others)
	case c.queriesStoreEarly():
		return slices.Concat(c.Designated, []string{Store}, others)
	}
	return slices.Concat(c.Designated, others, []string{Store})
}

// overdueOrder lists the sources in the order in which they are queried once the confirmation is overdue.
// In a small fleet the store follows the instances that query it early, in a large one it comes last.
func overdueOrder(c Choice) []string {
	others := c.Others[:min(len(c.Others), maxOthersOverdue)]
	switch {
	case c.Reads || len(c.Designated) == 0:
		return slices.Concat([]string{Store}, c.Designated, c.Successors, others)
	case c.queriesStoreEarly():
		return slices.Concat(c.Designated, []string{Store}, c.Successors, others)
	case c.Large:
		return slices.Concat(c.Designated, c.Successors, others, []string{Store})
	}
	return slices.Concat(c.Designated, c.Successors, []string{Store}, others)
}

// skipped reports whether a source is being skipped.
func (p *preferences) skipped(now time.Time, source string) bool {
	return now.Before(p.skipUntil[source])
}

// skip skips a source for some time.
func (p *preferences) skip(now time.Time, source string, d time.Duration) {
	p.skipUntil[source] = now.Add(d)
}

// clear ends the backoff of a source.
func (p *preferences) clear(source string) { delete(p.skipUntil, source) }
