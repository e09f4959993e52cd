// Package watch decides whom an instance asks for news of the configuration and
// the upstreams: the platform's store, or another instance that reads it. Few
// instances read the store, as each of its calls has a price; all others ask
// those, and the store itself once none of them answers.
//
// An instance that is cut off from the store learns through the others what it
// may still accept; what they say counts from the moment of the instance's own
// question, so that a late or repeated answer confirms nothing.
package watch

import (
	"slices"
	"time"
)

// Store is the source that is no instance.
const Store = ""

const (
	// PeerPatience is how long an instance waits for another's answer, which
	// comes after peerHold at the latest.
	PeerPatience = 900 * time.Millisecond
	// PeerHold is how long an instance holds a question while it has no news,
	// at most.
	PeerHold = 400 * time.Millisecond
	// badFor is how long a source is passed over that did not answer, or
	// whose knowledge is old.
	badFor = 2 * time.Second
	// staleLeast is the least age of a confirmation from which on another
	// source is asked. A reader's questions to the store take a second each at
	// most, so its knowledge is up to two seconds old when all is well.
	staleLeast = 2200 * time.Millisecond
	// staleShare is the same as a part of the time for which keys are
	// accepted after a confirmation, where that is shorter.
	staleShare = 0.6
)

// Watch chooses among sources. It is not safe for concurrent use.
type Watch struct {
	self  string
	stale time.Duration
	bad   map[string]time.Time
}

// New returns a watch of an instance. keys is how long keys are accepted after
// a confirmation; 0 is for ever.
func New(self string, keys time.Duration) *Watch {
	w := &Watch{self: self, stale: staleLeast, bad: map[string]time.Time{}}
	if keys > 0 {
		w.stale = min(staleLeast, time.Duration(staleShare*float64(keys)))
	}
	return w
}

// Source returns whom to ask now. readers are those that read the store for
// the others, live all other instances that live.
func (w *Watch) Source(now time.Time, readers, live []string) string {
	order := w.order(readers, live)
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

// order lists the sources, the preferred first: a reader asks the store, others
// the readers. When those fail the store comes next, then any instance that
// lives: one may have a path to the store where this one has none.
func (w *Watch) order(readers, live []string) []string {
	var order []string
	reads := slices.Contains(readers, w.self)
	if reads || len(readers) == 0 {
		order = append(order, Store)
	}
	for _, r := range readers {
		if r != w.self {
			order = append(order, r)
		}
	}
	if !reads {
		order = append(order, Store)
	}
	return append(order, live...)
}

// Bad reports whether a source is passed over at present.
func (w *Watch) Bad(now time.Time, source string) bool { return now.Before(w.bad[source]) }

// Failed notes that a source did not answer.
func (w *Watch) Failed(now time.Time, source string) { w.bad[source] = now.Add(badFor) }

// Answered notes an answer with the age of what it confirms.
func (w *Watch) Answered(now time.Time, source string, age time.Duration) {
	if age < 0 || age > w.stale {
		w.bad[source] = now.Add(badFor)
		return
	}
	delete(w.bad, source)
}
