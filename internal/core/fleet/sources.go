package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/watch"
)

const (
	// readerCount is the number of designated readers: the reader of the store, and the standby
	// that takes over when the reader fails.
	readerCount = 2
	// candidateCount is the number of readers and of instances that succeed them. In a large fleet these
	// also find out for the others whether the store responds again.
	candidateCount = 2 * readerCount
	// readersKey is the rendezvous key by which readers are chosen.
	readersKey = "store-readers"
	// relayFleetSize is the minimum size of a large fleet, in which instances query a relay of
	// their data centre instead of the reader.
	relayFleetSize = 64
	// relayCount is the number of relays in each data centre.
	relayCount = 2
	// startGrace is how long an instance that has joined a large fleet also considers instances
	// as readers and relays that have not sent a heartbeat yet. Without it, hundreds of
	// instances that start together would all read the full list of upstreams from the store.
	startGrace = 1500 * time.Millisecond
	// relaysTTL is how long a choice of relays is cached.
	relaysTTL = 300 * time.Millisecond
	// relaysKey is the rendezvous key by which relays are chosen.
	relaysKey = "list-relays"
)

// Sources returns where this instance gets updates from: the reader from the store, the
// standby and the relays from the reader, and the others from a relay of their data centre
// or, in a small fleet, from the reader. Homes of pools query the reader directly, because
// they must know of leaving upstreams before other instances do.
func (f *Fleet) Sources(now time.Time, isHome bool) watch.Choice {
	order := f.readerOrder(now)
	rank := slices.Index(order, f.self.Name)
	readers := order[:min(len(order), readerCount)]
	s := watch.Choice{
		Reads: rank == 0, Standby: rank > 0 && rank < readerCount, Large: f.large(),
		Designated: f.withoutSelf(readers), Successors: f.withoutSelf(order[len(readers):]), Others: f.rotated(f.live),
	}
	s.Candidate = !s.Large || rank >= 0 || !f.self.StoreReachable && f.isCandidate(now)
	if s.IsSource = s.Reads || s.Standby; s.IsSource || !s.Large {
		return s
	}
	near := f.relays(now, f.self.DataCentre)
	if s.IsSource = slices.Contains(near, f.self.Name); s.IsSource {
		return s
	}
	if isHome {
		s.Designated = append(s.Designated, f.rotated(near)...)
		return s
	}
	s.Designated = append(f.rotated(near), s.Designated...)
	return s
}

// large reports whether the fleet is large enough to use relays.
func (f *Fleet) large() bool { return f.Size() >= relayFleetSize && !f.without.Has(mechanism.Relays) }

// withoutSelf returns a list of names without this instance's name.
func (f *Fleet) withoutSelf(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == f.self.Name })
}

// rotated returns a list of names without this instance's name, rotated by a hash of that name to
// spread the load.
func (f *Fleet) rotated(names []string) []string {
	others := f.withoutSelf(names)
	if len(others) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(f.self.Name) % uint64(len(others)))
	return append(others[first:len(others):len(others)], others[:first]...)
}

// Readers lists the reader and the standby. If no instance can read the store, the list is empty, and
// instances that would query a reader query the store instead.
func (f *Fleet) Readers(now time.Time) []string {
	order := f.readerOrder(now)
	return order[:min(len(order), readerCount)]
}

// readerOrder lists the reader, the standby and those that succeed them: the instances on the largest
// machines, in rendezvous order, among those that can read the store.
func (f *Fleet) readerOrder(now time.Time) []string {
	return f.largest(now, readersKey, candidateCount, func(b msg.Heartbeat) bool { return b.StoreReachable })
}

// isCandidate reports whether this instance would be among the first readers if it could read the store.
func (f *Fleet) isCandidate(now time.Time) bool {
	return slices.Contains(f.largest(now, readersKey, candidateCount, func(msg.Heartbeat) bool { return true }), f.self.Name)
}

// relays lists the relays of a data centre.
func (f *Fleet) relays(now time.Time, dataCentre string) []string {
	c := f.relayCache[dataCentre]
	if c.names == nil || now.Sub(c.at) >= relaysTTL {
		c = relayChoice{at: now, names: f.largest(now, relaysKey, relayCount, func(b msg.Heartbeat) bool { return b.DataCentre == dataCentre })}
		f.relayCache[dataCentre] = c
	}
	return c.names
}

// relayChoice is a cached choice of relays and the time when it was made.
type relayChoice struct {
	at    time.Time
	names []string
}

// largest lists up to n instances for which fits returns true. Eligible instances come first,
// then those on the largest machines, and equals are in rendezvous order. Large machines are
// preferred because the changes of 3,000 upstreams take 6 Mbit/s, more than half of a small
// machine's link.
func (f *Fleet) largest(now time.Time, key string, n int, fits func(msg.Heartbeat) bool) []string {
	view := f.view
	if f.large() && now.Sub(f.learnedAt) < startGrace {
		view = f.allKnown()
	}
	return f.largestOf(now, view, key, n, fits)
}

// largestOf is like largest, but chooses among the instances of a given view.
func (f *Fleet) largestOf(now time.Time, view *membership.View, key string, n int, fits func(msg.Heartbeat) bool) []string {
	var out []msg.Heartbeat
	for _, name := range view.Homes(now, key, f.Size(), func(string) int { return 0 }) {
		if b := f.heartbeatOf(name); !b.Leaving && fits(b) {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, func(a, b msg.Heartbeat) int {
		return cmp.Or(compareEligible(a, b), cmp.Compare(b.Class, a.Class))
	})
	names := make([]string, 0, n)
	for _, b := range out[:min(n, len(out))] {
		names = append(names, b.Name)
	}
	return names
}

// compareEligible orders eligible instances, which have been alive for eligibleAge, first.
// Without this, a rolling restart would move every role to each instance in turn.
func compareEligible(a, b msg.Heartbeat) int {
	switch {
	case a.Eligible == b.Eligible:
		return 0
	case a.Eligible:
		return -1
	}
	return 1
}

// allKnown returns a membership view of all known instances, alive or not.
func (f *Fleet) allKnown() *membership.View {
	view := membership.NewView(memberOf(f.self))
	list := make([]membership.Member, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, memberOf(m.Heartbeat))
	}
	view.Update(time.Time{}, list)
	return view
}

// heartbeatOf returns the last known state of an instance. An instance that has not sent a
// heartbeat yet is assumed to be able to read the store, an unknown one to be leaving.
func (f *Fleet) heartbeatOf(name string) msg.Heartbeat {
	if name == f.self.Name {
		return f.self
	}
	m := f.members[name]
	if m == nil {
		return msg.Heartbeat{Leaving: true}
	}
	b := m.Heartbeat
	b.StoreReachable = b.StoreReachable || !m.wasAlive
	return b
}
