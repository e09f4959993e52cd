// Package watch chooses the source from which an instance gets updates of the configuration and
// the list of upstreams: the platform's store, or another instance that reads the store. Calls to
// the store are priced, so only a few instances read it. The others query these instances, and
// the store only if none of them responds.
//
// An instance that is cut off from the store can still confirm its configuration through other
// instances. The age of a response counts from the time when the query was sent, so that late or
// repeated responses confirm nothing.
package watch

import (
	"time"
)

// Store is the name of the platform's store as a source. All other sources are instances.
const Store = ""

const (
	// PeerTimeout is how long an instance waits for the response of another instance. Without an
	// update, that instance responds after PeerHold.
	PeerTimeout = 900 * time.Millisecond
	// PeerHold is the maximum time for which an instance holds a query while it has no update.
	PeerHold = 400 * time.Millisecond
	// backoff is how long an unresponsive or outdated source is skipped.
	backoff = 2 * time.Second
	// startBackoff is how long a source is skipped that has just started and has no data yet.
	startBackoff = 300 * time.Millisecond
	// maxOthers is the maximum number of instances in Choice.Others that are tried. They follow the
	// designated instances and, in a small fleet, the store.
	maxOthers = 6
	// maxConfirmationAge is the maximum age of a source's confirmation before another source is
	// tried. Each query of a reader to the store takes up to a second.
	maxConfirmationAge = 2200 * time.Millisecond
	// RelayExtraAge is added to the maximum age if the source is a relay, because the reader
	// holds the relay's queries for up to PeerHold.
	RelayExtraAge = PeerHold + 200*time.Millisecond
	// keyAgeShare limits the maximum age to this fraction of the time for which keys are accepted
	// after a confirmation.
	keyAgeShare = 0.6
)

// Watch chooses among sources and skips those that failed. It is not safe for concurrent use.
type Watch struct {
	// maxAge is the maximum age of a confirmation before another source is tried.
	maxAge time.Duration
	// skipUntil holds the end of the backoff of each source that failed.
	skipUntil map[string]time.Time
}

// New returns a Watch that skips no source. keysGoodFor is how long keys are accepted after a
// confirmation; 0 means forever.
func New(keysGoodFor time.Duration) *Watch {
	w := &Watch{maxAge: maxConfirmationAge, skipUntil: map[string]time.Time{}}
	if keysGoodFor > 0 {
		w.maxAge = min(maxConfirmationAge, time.Duration(keyAgeShare*float64(keysGoodFor)))
	}
	return w
}

// Choice lists the sources that an instance may use.
type Choice struct {
	// Reads is set if the instance is a reader, which reads the store for all others. Standby is
	// set if the instance takes over when a reader fails.
	Reads   bool
	Standby bool
	// Large is set in a large fleet, where only a few instances may read the store.
	Large bool
	// Designated lists the designated sources, in order of preference. Others lists all other live
	// instances, in a rotation that differs between instances.
	Designated, Others []string
}

// Source returns the source to query next: the first one that is not being skipped, or else the
// one whose backoff ends first.
func (w *Watch) Source(now time.Time, c Choice) string {
	sources := sourceOrder(c)
	best, until := Store, time.Time{}
	for k, source := range sources {
		at, skipped := w.skipUntil[source]
		if !skipped || !now.Before(at) {
			return source
		}
		if k == 0 || at.Before(until) {
			best, until = source, at
		}
	}
	return best
}

// sourceOrder lists the sources in order of preference. The store comes first for a reader, the
// designated instances for the others. The store follows, and then arbitrary instances, one of
// which may reach the store when this instance does not. In a large fleet the store comes last,
// except for the standby, because otherwise hundreds of instances would read the full list of
// upstreams at once if a few relays failed.
func sourceOrder(c Choice) []string {
	var sources []string
	storeFirst := c.Reads || len(c.Designated) == 0
	if storeFirst {
		sources = append(sources, Store)
	}
	sources = append(sources, c.Designated...)
	storeNext := !storeFirst && (c.Standby || !c.Large)
	if storeNext {
		sources = append(sources, Store)
	}
	sources = append(sources, c.Others[:min(len(c.Others), maxOthers)]...)
	if !storeFirst && !storeNext {
		sources = append(sources, Store)
	}
	return sources
}

// Skipped reports whether a source is being skipped.
func (w *Watch) Skipped(now time.Time, source string) bool { return now.Before(w.skipUntil[source]) }

// Failed records that a source did not respond. The source is skipped for a while.
func (w *Watch) Failed(now time.Time, source string) { w.skipUntil[source] = now.Add(backoff) }

// OnResponse records a source's response and reports whether its confirmation is recent enough;
// otherwise the source is skipped for a while. age is the age of the confirmation, negative if
// the source has no data. relayed is set if the source is a relay.
func (w *Watch) OnResponse(now time.Time, source string, age time.Duration, relayed bool) bool {
	maxAge := w.maxAge
	if relayed {
		maxAge += RelayExtraAge
	}
	switch {
	case age < 0:
		w.skipUntil[source] = now.Add(startBackoff)
		return false
	case age > maxAge:
		w.skipUntil[source] = now.Add(backoff)
		return false
	}
	delete(w.skipUntil, source)
	return true
}
