// Package watch decides where an instance gets updates of the configuration and the upstreams
// from: the platform's store, or another instance that reads it. Calls to the store are
// priced, so that few instances read it; the others ask those, and the store only if none of
// them answers.
//
// An instance that is cut off from the store can still confirm its configuration through
// others. The age of an answer counts from when the question was sent, so that late or
// repeated answers confirm nothing.
package watch

import (
	"time"
)

// Store is the source that is not an instance.
const Store = ""

const (
	// PeerTimeout is how long an instance waits for another's answer, which takes PeerHold at
	// most.
	PeerTimeout = 900 * time.Millisecond
	// PeerHold is the maximum time for which a question is held while there is no update.
	PeerHold = 400 * time.Millisecond
	// backoff is how long an unresponsive or outdated source is skipped.
	backoff = 2 * time.Second
	// startBackoff is the same for a source that knows nothing yet, because it just started.
	startBackoff = 300 * time.Millisecond
	// maxOthers is the number of arbitrary instances that are tried once the designated ones
	// and the store have failed.
	maxOthers = 6
	// maxAge is the age of a confirmation from which another source is tried. A reader's
	// questions to the store take up to a second each.
	maxAge = 2200 * time.Millisecond
	// RelayMore is added to it behind a relay, which holds its own questions for up to
	// PeerHold.
	RelayMore = PeerHold + 200*time.Millisecond
	// maxAgeShare limits it to a part of the time for which keys are accepted after a
	// confirmation.
	maxAgeShare = 0.6
)

// Watch chooses among sources. It is not safe for concurrent use.
type Watch struct {
	stale time.Duration
	bad   map[string]time.Time
}

// New returns a watch. keys is how long keys are accepted after a confirmation; 0 means
// forever.
func New(keys time.Duration) *Watch {
	w := &Watch{stale: maxAge, bad: map[string]time.Time{}}
	if keys > 0 {
		w.stale = min(maxAge, time.Duration(maxAgeShare*float64(keys)))
	}
	return w
}

// Choice lists the sources that an instance may use.
type Choice struct {
	// Reads is set if it reads the store for the others, Standby if it does so when the reader
	// fails.
	Reads   bool
	Standby bool
	// Large is set in a large fleet, where few instances may read the store.
	Large bool
	// Ask lists the designated instances in order of preference, Others all live instances,
	// rotated by instance.
	Ask, Others []string
}

// Source returns the source to ask next.
func (w *Watch) Source(now time.Time, c Choice) string {
	order := order(c)
	best, until := Store, time.Time{}
	for k, source := range order {
		at, bad := w.bad[source]
		if !bad || !now.Before(at) {
			return source
		}
		if k == 0 || at.Before(until) {
			best, until = source, at
		}
	}
	return best
}

// order lists the sources in order of preference: the store for a reader, the designated
// instances for the others. If these fail the store comes next, then arbitrary instances: one
// of them may reach the store when this one does not. In a large fleet the store comes last,
// except for the standby, because hundreds of instances would read the full list at once if a
// few relays failed.
func order(c Choice) []string {
	var order []string
	first := c.Reads || len(c.Ask) == 0
	if first {
		order = append(order, Store)
	}
	order = append(order, c.Ask...)
	next := !first && (c.Standby || !c.Large)
	if next {
		order = append(order, Store)
	}
	order = append(order, c.Others[:min(len(c.Others), maxOthers)]...)
	if !first && !next {
		order = append(order, Store)
	}
	return order
}

// Bad reports whether a source is being skipped.
func (w *Watch) Bad(now time.Time, source string) bool { return now.Before(w.bad[source]) }

// Failed records that a source did not answer.
func (w *Watch) Failed(now time.Time, source string) { w.bad[source] = now.Add(backoff) }

// Answered records the age of the confirmation in an answer; relayed is set if a relay gave
// it. It reports whether the age is acceptable.
func (w *Watch) Answered(now time.Time, source string, age time.Duration, relayed bool) bool {
	stale := w.stale
	if relayed {
		stale += RelayMore
	}
	switch {
	case age < 0:
		w.bad[source] = now.Add(startBackoff)
		return false
	case age > stale:
		w.bad[source] = now.Add(backoff)
		return false
	}
	delete(w.bad, source)
	return true
}
