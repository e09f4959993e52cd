package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// fleetInThreeDCs returns the view of instance self in a fleet of n instances in three data
// centres. One instance in twenty runs on a large machine.
func fleetInThreeDCs(self, n int) *Fleet {
	member := func(k int) msg.Heartbeat {
		b := heartbeat(k)
		b.Name, b.DataCentre, b.Class = fmt.Sprintf("i%03d", k), fmt.Sprintf("dc%d", k%3), 4
		if k%20 == 7 {
			b.Class = 8
		}
		return b
	}
	f := New(start, member(self), nil, 0)
	f.SetSelf(start, true, false, true)
	for k := range n {
		f.OnHeartbeat(start, member(k))
	}
	return f
}

// Hundreds of instances need updates. Two readers that responded to all of them would do
// little else, and the list of a few thousand upstreams exceeds the capacity of a small
// machine's link. Large machines must read the store, two instances in each data centre must
// be relays, and all others must query a relay in their data centre.
func TestLargeFleetsQueryRelaysInTheirDataCentre(t *testing.T) {
	const n, sample = 300, 12
	queriedBy := map[string]int{}
	for k := 0; k < n; k += sample - 1 { // covers all data centres
		f := fleetInThreeDCs(k, n)
		s := f.Sources(start, false)
		if len(s.Designated) == 0 {
			t.Fatalf("instance %d has no source, want at least one", k)
		}
		first := f.heartbeatOf(s.Designated[0])
		switch {
		case s.Reads:
			if f.self.Class != 8 {
				t.Errorf("reader %s runs on a small machine, want one of class 8", f.self.Name)
			}
		case s.IsSource:
			if !slices.Contains(f.Readers(start), s.Designated[0]) || f.self.Class != 8 {
				t.Errorf("relay %s queries %s, want a reader", f.self.Name, s.Designated[0])
			}
		default:
			if first.DataCentre != f.self.DataCentre {
				t.Errorf("%s in %s queries %s in %s, want a relay in its data centre", f.self.Name, f.self.DataCentre, first.Name, first.DataCentre)
			}
		}
		if !s.Reads {
			queriedBy[s.Designated[0]]++
		}
		if home := f.Sources(start, true); !s.Reads && !s.Standby && home.Designated[0] != f.Readers(start)[0] {
			t.Errorf("home %s queries %s, want the reader", f.self.Name, home.Designated[0])
		}
	}
	for name, count := range queriedBy {
		if count > 70/sample+3 {
			t.Errorf("%s is queried by %d of the %d sampled instances, want at most 8", name, count, n/(sample-1))
		}
	}
	if len(queriedBy) < 5 {
		t.Errorf("queries go to %d instances, want at least 5", len(queriedBy))
	}
}

// In a small fleet one instance reads the store and responds to all others. The standby also
// queries this reader, and is the second source of all others. Calls to the store are priced,
// so two instances must not read it at the same time.
func TestSmallFleetsQueryTheReaderAndThenTheStandby(t *testing.T) {
	const n = 13
	var names []string
	reads, standbys := 0, 0
	for k := range n {
		f := fleetInThreeDCs(k, n)
		s := f.Sources(start, false)
		names = f.Readers(start)
		switch {
		case s.Reads && s.IsSource && !s.Standby:
			reads++
		case s.Standby && s.IsSource && !s.Reads && slices.Equal(s.Designated, names[:1]):
			standbys++
		case s.Reads || s.Standby || s.IsSource || !slices.Equal(s.Designated, names):
			t.Errorf("instance %d: sources %+v, want it to query %v", k, s, names)
		}
	}
	if len(names) != readerCount || reads != 1 || standbys != 1 {
		t.Errorf("%d readers and %d standbys, want one of each among %v", reads, standbys, names)
	}
}

// The home of a pool must be in the data centre of the pool, so that a partition between data
// centres does not separate the pool from its home. Without instances there it must be in
// another data centre.
func TestHomesAreInTheirPoolsDataCentre(t *testing.T) {
	f := fleetInThreeDCs(0, 30)
	for k := range 20 {
		home := f.heartbeatOf(f.Home(start, fmt.Sprint("pool/", k), "dc2"))
		if home.DataCentre != "dc2" {
			t.Errorf("home %s is in %s, want dc2", home.Name, home.DataCentre)
		}
	}
	if f.Home(start, "pool", "nowhere") == "" {
		t.Error("pool in a data centre without instances has no home, want one in another data centre")
	}
}

// Instances are restarted one after the other. An instance that has just restarted has no
// data yet and must not become the reader or a relay, even if it is the first in rendezvous
// order.
func TestRestartedInstancesAreNotReaders(t *testing.T) {
	f := fleetInThreeDCs(0, 100)
	now := start.Add(time.Minute)
	f.SetSelf(now, true, false, true)
	heartbeats := func(restarted ...string) {
		for k := range 100 {
			b := f.heartbeatOf(fmt.Sprintf("i%03d", k))
			b.Eligible = !slices.Contains(restarted, b.Name)
			f.OnHeartbeat(now, b)
		}
	}
	heartbeats()
	before := f.Readers(now)
	heartbeats(before...)
	for _, name := range f.Readers(now) {
		if slices.Contains(before, name) {
			t.Errorf("%s has just restarted and is a reader, want another reader", name)
		}
	}
	heartbeats()
	if got := f.Readers(now); got[0] != before[0] {
		t.Errorf("reader = %s, want %s as before the restart", got[0], before[0])
	}
}

// A draining instance ends seconds later. From the start of draining its successor as a home
// must receive all requests and reports. Otherwise it would not know the running generations
// when it takes over.
func TestADrainingInstanceIsNoHome(t *testing.T) {
	f := fleetOf(0, 6)
	home := f.Home(start, "pool/s", "")
	leaving := f.heartbeatOf(home)
	leaving.Leaving = true
	if home == f.self.Name {
		f.SetSelf(start, true, true, true)
	} else {
		f.OnHeartbeat(start.Add(time.Millisecond), leaving)
	}
	if next := f.Home(start.Add(time.Millisecond), "pool/s", ""); next == home {
		t.Errorf("%s is draining and still the home, want another instance", home)
	}
	for k := range 6 {
		b := heartbeat(k)
		b.Leaving = true
		f.OnHeartbeat(start.Add(2*time.Millisecond), b)
	}
	if f.SetSelf(start, true, true, true); f.Home(start.Add(2*time.Millisecond), "pool/s", "") == "" {
		t.Error("pool has no home when all instances are draining, want one of them")
	}
}

func BenchmarkSources(b *testing.B) {
	f := fleetInThreeDCs(1, 300)
	b.ReportAllocs()
	for b.Loop() {
		f.Sources(start, false)
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	f := fleetInThreeDCs(1, 300)
	now, peer := start, heartbeat(5)
	peer.Name, peer.DataCentre = "i005", "dc2"
	for b.Loop() {
		now = now.Add(time.Millisecond)
		f.OnHeartbeat(now, peer)
	}
}

// Three hundred instances lose power and start at once. Each knows the others from the rows
// in the store and has received no heartbeat yet. If it considered only itself alive, it
// would read the full list of upstreams from the store, as all others would. They must choose
// the same readers from the rows alone.
func TestHundredsOfStartingInstancesAgreeOnTheReaders(t *testing.T) {
	const n = 300
	reads := 0
	for k := 0; k < n; k += 9 {
		complete := fleetInThreeDCs(k, n)
		f := New(start, complete.self, nil, 0)
		f.SetSelf(start, false, false, true)
		for _, m := range complete.members {
			row := m.Heartbeat
			row.Ready, row.StoreReachable = false, false
			f.Learn(start, row)
		}
		s := f.Sources(start.Add(time.Millisecond), false)
		if s.Reads {
			reads++
		} else if len(s.Designated) == 0 {
			t.Errorf("%s has no source, want at least one", f.self.Name)
		}
		if late := f.Sources(start.Add(startGrace), false); !late.Reads {
			t.Errorf("%s does not read the store although no heartbeat arrived during startGrace, want it to read the store", f.self.Name)
		}
	}
	if reads > readerCount {
		t.Errorf("%d of the sampled instances read the store, want at most two", reads)
	}
	small := New(start, heartbeat(0), nil, 0)
	small.SetSelf(start, false, false, true)
	small.Learn(start, heartbeat(1))
	if !small.Sources(start, false).Reads {
		t.Error("instance of a small fleet does not read the store before it has received heartbeats, want it to read the store")
	}
}
