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
	// readers is the number of designated readers: one reads the store, the standby takes over
	// when it fails.
	readers = 2
	// readersKey is the rendezvous key of that role.
	readersKey = "store-readers"
	// relaysFrom is the fleet size from which instances ask a relay of their data centre
	// instead of the reader.
	relaysFrom = 64
	// relays is the number of relays in each data centre.
	relays = 2
	// startGrace is how long after joining a large fleet instances that have not sent a
	// heartbeat yet count as candidates for readers and relays. Without it, hundreds of
	// instances that start at once would all read the full list from the store.
	startGrace = 1500 * time.Millisecond
	// relaysTTL is how long a choice of relays is cached.
	relaysTTL = 300 * time.Millisecond
	// relaysKey is the rendezvous key of that role.
	relaysKey = "list-relays"
)

// Sources tells where an instance gets updates from.
type Sources struct {
	// Choice is whom it asks.
	watch.Choice
	// Relays is set if others get their updates from it, so that it must know everything.
	Relays bool
	// Relayed is set if it gets them from a relay.
	Relayed bool
}

// Sources returns where this instance gets updates from: the reader from the store, the
// standby and the relays from the reader, the others from a relay of their data centre, or
// from the reader in a small fleet. Homes of pools ask the reader directly, because they must
// learn of leaving upstreams first.
func (f *Fleet) Sources(now time.Time, isHome bool) Sources {
	readers := f.Readers(now)
	rank := slices.Index(readers, f.self.Name)
	s := Sources{Choice: watch.Choice{
		Reads: rank == 0, Standby: rank > 0, Large: f.large(), Others: f.turned(f.live), Ask: f.others(readers),
	}}
	if rank >= 0 || !s.Large {
		s.Relays = rank >= 0
		return s
	}
	near := f.relays(now, f.self.DataCentre)
	if s.Relays = slices.Contains(near, f.self.Name); s.Relays {
		return s
	}
	if isHome {
		s.Ask = append(s.Ask, f.turned(near)...)
		return s
	}
	s.Relayed = len(near) > 0
	s.Ask = append(f.turned(near), s.Ask...)
	return s
}

// large reports whether the fleet uses relays.
func (f *Fleet) large() bool { return f.Size() >= relaysFrom && !f.without.Has(mechanism.Relays) }

// others removes this instance from a list of names.
func (f *Fleet) others(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == f.self.Name })
}

// turned removes this instance from a list of names and rotates it by a hash of its name, to
// spread load.
func (f *Fleet) turned(names []string) []string {
	others := f.others(names)
	if len(others) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(f.self.Name) % uint64(len(others)))
	return append(others[first:len(others):len(others)], others[:first]...)
}

// Readers lists the reader and the standby: the largest instances, in rendezvous order, among
// those that the store answers. If it answers none, each of them asks the store itself.
func (f *Fleet) Readers(now time.Time) []string {
	return f.largest(now, readersKey, readers, func(b msg.Heartbeat) bool { return b.Reads })
}

// relays lists the relays of a data centre.
func (f *Fleet) relays(now time.Time, dataCentre string) []string {
	c := f.relaysAt[dataCentre]
	if c.names == nil || now.Sub(c.at) >= relaysTTL {
		c = chosen{at: now, names: f.largest(now, relaysKey, relays, func(b msg.Heartbeat) bool { return b.DataCentre == dataCentre })}
		f.relaysAt[dataCentre] = c
	}
	return c.names
}

// chosen is a cached choice of instances.
type chosen struct {
	at    time.Time
	names []string
}

// largest lists up to n matching instances, those on the largest machines first and in
// rendezvous order among equals: changes of 3,000 upstreams take 6 Mbit/s, more than half of a
// small machine's link.
func (f *Fleet) largest(now time.Time, key string, n int, fits func(msg.Heartbeat) bool) []string {
	view := f.view
	if f.large() && now.Sub(f.learned) < startGrace {
		view = f.allKnown()
	}
	return f.largestOf(now, view, key, n, fits)
}

// largestOf is largest among the instances of a view.
func (f *Fleet) largestOf(now time.Time, view *membership.View, key string, n int, fits func(msg.Heartbeat) bool) []string {
	var out []msg.Heartbeat
	for _, name := range view.Homes(now, key, f.Size(), func(string) int { return 0 }) {
		if b := f.heartbeatOf(name); !b.Leaving && fits(b) {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, func(a, b msg.Heartbeat) int {
		return cmp.Or(compareSettled(a, b), cmp.Compare(b.Class, a.Class))
	})
	names := make([]string, 0, n)
	for _, b := range out[:min(n, len(out))] {
		names = append(names, b.Name)
	}
	return names
}

// compareSettled orders settled instances first. Otherwise a rolling restart would move every
// role to each instance in turn.
func compareSettled(a, b msg.Heartbeat) int {
	switch {
	case a.Settled == b.Settled:
		return 0
	case a.Settled:
		return -1
	}
	return 1
}

// allKnown returns a view of all known instances, alive or not.
func (f *Fleet) allKnown() *membership.View {
	view := membership.NewView(listed(f.self))
	list := make([]membership.Member, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, listed(m.Heartbeat))
	}
	view.Update(time.Time{}, list)
	return view
}

// heartbeatOf returns the last state of an instance. One without a heartbeat so far is assumed
// to reach the store.
func (f *Fleet) heartbeatOf(name string) msg.Heartbeat {
	if name == f.self.Name {
		return f.self
	}
	m := f.members[name]
	if m == nil {
		return msg.Heartbeat{Leaving: true}
	}
	b := m.Heartbeat
	b.Reads = b.Reads || !m.met
	return b
}
