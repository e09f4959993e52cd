package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// readers is how many instances read the store: one, and one more whose
	// answers are at hand when the first falls silent.
	readers = 2
	// readersKey orders the instances by rendezvous hashing for that role.
	readersKey = "store-readers"
	// relaysFrom is the number of instances from which on most ask a relay of
	// their data centre instead of the readers: these would answer 2.5 questions
	// a second of each of the others.
	relaysFrom = 64
	// relays is how many instances of a data centre relay what the readers tell.
	relays = 2
	// relaysKey orders the instances of a data centre for that role.
	relaysKey = "list-relays"
)

// Sources tells where an instance gets its news from.
type Sources struct {
	// Reads is set if it reads the store for the others.
	Reads bool
	// Relays is set if others get theirs from it: it must know everything.
	Relays bool
	// Relayed is set if it asks relays.
	Relayed bool
	// Ask lists the instances to ask, the preferred first.
	Ask []string
	// Others lists all that live, beginning with another one at each instance.
	Others []string
}

// Sources returns where this instance gets its news from: a reader from the store, a
// relay from the readers, and all others from the relays of their data centre, or
// from the readers in a small fleet. Each begins with another one, so that the work
// is spread.
func (f *Fleet) Sources(now time.Time) Sources {
	readers := f.Readers(now)
	s := Sources{Reads: slices.Contains(readers, f.self.Name), Others: f.turned(f.live)}
	if s.Reads || f.Size() < relaysFrom {
		s.Relays = s.Reads
		s.Ask = f.turned(readers)
		return s
	}
	near := f.relays(now, f.self.DataCentre)
	if s.Relays = slices.Contains(near, f.self.Name); s.Relays {
		s.Ask = f.turned(readers)
		return s
	}
	s.Relayed = len(near) > 0
	s.Ask = append(f.turned(near), f.turned(readers)...)
	return s
}

// turned returns names without this instance's own, beginning at one that depends on
// it.
func (f *Fleet) turned(names []string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == f.self.Name })
	if len(others) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(f.self.Name) % uint64(len(others)))
	return append(others[first:len(others):len(others)], others[:first]...)
}

// Readers lists the instances that read the store for the others: the largest, in
// rendezvous order, among those that the store answers. One that is cut off from
// the store says so, and the next takes its place; if all say so, each of them
// asks the store itself.
func (f *Fleet) Readers(now time.Time) []string {
	return f.largest(now, readersKey, readers, func(b msg.Beat) bool { return b.Reads && !b.Leaving })
}

// relays lists the instances of a data centre that relay the readers' news.
func (f *Fleet) relays(now time.Time, dataCentre string) []string {
	return f.largest(now, relaysKey, relays, func(b msg.Beat) bool { return b.DataCentre == dataCentre && !b.Leaving })
}

// largest lists n instances for a key that fit: those of the largest machines first,
// in rendezvous order among these. What one does for all costs bytes: the changes of
// 3,000 upstreams are 6 Mbit/s, more than half of what a small machine's link takes.
func (f *Fleet) largest(now time.Time, key string, n int, fits func(msg.Beat) bool) []string {
	var out []msg.Beat
	for _, name := range f.view.Homes(now, key, f.Size(), func(string) int { return 0 }) {
		if b, ok := f.beatOf(name); ok && fits(b) {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, func(a, b msg.Beat) int { return cmp.Compare(b.Class, a.Class) })
	names := make([]string, 0, n)
	for _, b := range out[:min(n, len(out))] {
		names = append(names, b.Name)
	}
	return names
}

// beatOf returns what an instance last told of itself.
func (f *Fleet) beatOf(name string) (msg.Beat, bool) {
	if name == f.self.Name {
		return f.self, true
	}
	if m := f.members[name]; m != nil {
		return m.Beat, true
	}
	return msg.Beat{}, false
}
