package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// originFleet is a number of instances, spread over data centres. Some have a view of the fleet, from which the
// holders of records are computed.
type originFleet struct {
	all   []msg.Heartbeat
	views map[string]*Fleet
	// held holds the names of the instances that have a record, by stream.
	held map[string][]string
}

func newOriginFleet(n, dataCentres, views int, class func(k int) uint16) *originFleet {
	f := &originFleet{views: map[string]*Fleet{}, held: map[string][]string{}}
	for k := range n {
		name := fmt.Sprintf("instance-%03d", k)
		f.all = append(f.all, msg.Heartbeat{
			Name: name, DataCentre: fmt.Sprintf("dc-%d", k%dataCentres), PeerAddress: name + ":1", Boot: "b", Ready: true, Class: class(k),
		})
	}
	for _, k := range rand.New(rand.NewPCG(9, 9)).Perm(n)[:views] {
		self := f.all[k]
		f.views[self.Name] = viewOf(self, f.all)
	}
	return f
}

// viewOf returns the view of an instance that knows the given ones as alive.
func viewOf(self msg.Heartbeat, alive []msg.Heartbeat) *Fleet {
	v := New(start, self, nil, 0)
	for _, b := range alive {
		v.Introduce(start, b)
	}
	v.Tick(start)
	return v
}

// begin begins streams at random instances, which give their records to the holders.
func (f *originFleet) begin(rng *rand.Rand, streams int) {
	names := f.names()
	for k := range streams {
		stream, at := fmt.Sprint("org/", k), names[rng.IntN(len(names))]
		f.held[stream] = append(f.views[at].OriginHolders(stream), at)
	}
}

func (f *originFleet) names() (names []string) {
	for name := range f.views {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// found returns the share of the streams of which the caller finds the record at a random instance that is alive.
func (f *originFleet) found(rng *rand.Rand, dead map[string]bool, view func(name string) *Fleet) float64 {
	var alive []string
	for _, name := range f.names() {
		if !dead[name] {
			alive = append(alive, name)
		}
	}
	found := 0
	for stream, holders := range f.held {
		at := alive[rng.IntN(len(alive))]
		asked, _ := view(at).OriginWitnesses(start, stream)
		asked = append(asked, at)
		if slices.ContainsFunc(asked, func(name string) bool { return !dead[name] && slices.Contains(holders, name) }) {
			found++
		}
	}
	return float64(found) / float64(len(f.held))
}

// Callers come back while instances have died, a data centre is lost or new instances have started, before and after
// that is known where they come back. Records that are not found are streams that end.
func TestRecordsOfStreamsAreFoundAfterLosses(t *testing.T) {
	for _, size := range []struct{ instances, dataCentres int }{{13, 3}, {100, 5}, {390, 5}, {985, 5}} {
		f := newOriginFleet(size.instances, size.dataCentres, min(size.instances, 10), func(int) uint16 { return msg.ClassOfRelease(4) })
		rng := rand.New(rand.NewPCG(uint64(size.instances), 1))
		f.begin(rng, 400)
		lose := func(lost func(k int) bool) map[string]bool {
			dead := map[string]bool{}
			for k, b := range f.all {
				if lost(k) {
					dead[b.Name] = true
				}
			}
			return dead
		}
		for _, c := range []struct {
			name string
			// draw draws which instances are lost.
			draw func() map[string]bool
			want float64
		}{
			{"none", func() map[string]bool { return nil }, 1},
			{"one instance", func() map[string]bool {
				one := rng.IntN(size.instances)
				return lose(func(k int) bool { return k == one })
			}, 1},
			{"a data centre", func() map[string]bool {
				dc := rng.IntN(size.dataCentres)
				return lose(func(k int) bool { return k%size.dataCentres == dc })
			}, 1},
			{"a third of all", func() map[string]bool {
				third := rng.Perm(size.instances)[:size.instances/3]
				return lose(func(k int) bool { return slices.Contains(third, k) })
			}, 0.95},
		} {
			f.checkFound(t, rng, fmt.Sprintf("%d instances, lost %s", size.instances, c.name), c.draw, c.want)
		}
	}
}

// checkFound checks the share of the records that is found, on average of several draws of what is lost, before and
// after the loss is known where callers come back.
func (f *originFleet) checkFound(t *testing.T, rng *rand.Rand, name string, draw func() map[string]bool, want float64) {
	t.Helper()
	const draws = 20
	atOnce, afterwards := 0.0, 0.0
	for range draws {
		dead := draw()
		known := slices.DeleteFunc(slices.Clone(f.all), func(b msg.Heartbeat) bool { return dead[b.Name] })
		late := map[string]*Fleet{}
		atOnce += f.found(rng, dead, func(name string) *Fleet { return f.views[name] }) / draws
		afterwards += f.found(rng, dead, func(name string) *Fleet {
			if late[name] == nil {
				late[name] = viewOf(f.views[name].Self(), known)
			}
			return late[name]
		}) / draws
	}
	t.Logf("%s: %.4f found at once, %.4f once it is known", name, atOnce, afterwards)
	if min(atOnce, afterwards) < want-1e-9 {
		t.Errorf("%s: %.4f of the records found at once, %.4f once it is known, want %.2f", name, atOnce, afterwards, want)
	}
}

// Instances start while streams run, as many as a fifth of the fleet, and take the place of others as holders. The
// records that were given before must still be found.
func TestRecordsOfStreamsAreFoundAfterStarts(t *testing.T) {
	f := newOriginFleet(100, 5, 20, func(int) uint16 { return msg.ClassOfRelease(4) })
	rng := rand.New(rand.NewPCG(1, 2))
	f.begin(rng, 400)
	grown := newOriginFleet(120, 5, 0, func(int) uint16 { return msg.ClassOfRelease(4) }).all
	late := map[string]*Fleet{}
	got := f.found(rng, nil, func(name string) *Fleet {
		if late[name] == nil {
			late[name] = viewOf(f.views[name].Self(), grown)
		}
		return late[name]
	})
	t.Logf("%.4f found", got)
	if got < 0.99 {
		t.Errorf("%.4f of the records found after a fifth more instances have started, want 0.99", got)
	}
}

// Streams of one instance must not connect it to all others of a large fleet: each connection takes 16 KB at both ends,
// and two descriptors.
func TestRecordsConnectAnInstanceToFewOthers(t *testing.T) {
	f := newOriginFleet(985, 5, 1, func(int) uint16 { return msg.ClassOfRelease(4) })
	v, holders := f.views[f.names()[0]], map[string]bool{}
	for k := range 5000 {
		for _, name := range v.OriginHolders(fmt.Sprint("org/", k)) {
			holders[name] = true
		}
	}
	if most := 5 * originShards; len(holders) > most {
		t.Errorf("%d instances hold records of one instance, want at most %d", len(holders), most)
	}
}

// An instance of an earlier release closes the connection on which a record arrives. It must get none, and no
// request for one.
func TestEarlierReleasesHoldNoRecords(t *testing.T) {
	f := newOriginFleet(20, 3, 20, func(k int) uint16 {
		if k%2 == 0 {
			return 300 // of the release that opens tunnels
		}
		return msg.ClassOfRelease(4)
	})
	for k := range 50 {
		stream := fmt.Sprint("org/", k)
		for _, view := range f.views {
			asked, complete := view.OriginWitnesses(start, stream)
			if complete {
				t.Fatalf("the witnesses of %s are complete without the instances of an earlier release", view.Self().Name)
			}
			for _, name := range append(view.OriginHolders(stream), asked...) {
				if !view.Find(name).UnderstandsSoftware() || name == view.Self().Name {
					t.Fatalf("%s is to hold or to tell a record for %s", name, view.Self().Name)
				}
			}
		}
	}
}

// BenchmarkOriginHolders measures what the record of one stream costs its entry, apart from the messages.
func BenchmarkOriginHolders(b *testing.B) {
	for _, n := range []int{13, 100, 390, 985} {
		f := newOriginFleet(n, 5, 1, func(int) uint16 { return msg.ClassOfRelease(4) })
		v := f.views[f.names()[0]]
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.OriginHolders("org/dd61a774d451c223")
			}
		})
	}
}
