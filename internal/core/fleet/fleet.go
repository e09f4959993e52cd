// Package fleet keeps which instances live, from what they tell each other, and
// which of them read the platform's store for the others. Nobody writes
// heartbeats to the store: each of its calls has a price, and it has outages.
// The package does no I/O.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// beatLeast is the least time between two beats to each other instance: a
	// dozen instances exchange 30 small messages a second each that way.
	beatLeast = 400 * time.Millisecond
	// beatShare is the time between two beats for each instance in a large
	// fleet: however large it is, no more than 250 beats a second arrive at
	// one, 0.6 in 100 of a core at 23 µs each and 22 KB/s. The price is that a
	// silent one is noticed later: after 1.7 s among 127, 5.1 s among 390.
	beatShare = 4 * time.Millisecond
	// silentBeats is for how many beats an instance may be silent and still
	// count as live: one or two may be lost.
	silentBeats = 3.25
	// ForgetAfter is how long a silent instance is remembered. One that is
	// frozen or cut off comes back under the same name; one that was replaced
	// does not.
	ForgetAfter = 30 * time.Second
)

// Member is what an instance last told of itself.
type Member struct {
	msg.Beat
	// Heard is when; zero if it is known from the store only.
	Heard time.Time
	// Known is when it was first known.
	Known time.Time
	// reset is when the connection to it was last given up.
	reset time.Time
}

// Fleet is one instance's view of all instances. It is not safe for concurrent
// use.
type Fleet struct {
	self    msg.Beat
	members map[string]*Member
	view    *membership.View
	live    []string
	// regions maps each data centre to its region.
	regions map[string]string
	// turn is where the next directory answer begins that can't name all.
	turn int
}

// New returns a view that knows only the instance itself, and the region of each
// data centre.
func New(self msg.Beat, regions map[string]string) *Fleet {
	return &Fleet{self: self, members: map[string]*Member{}, view: membership.NewView(listed(self)), regions: regions}
}

func listed(b msg.Beat) membership.Member {
	return membership.Member{
		Name: b.Name, Role: membership.RoleEntry, DataCentre: b.DataCentre,
		State: membership.Live, Address: b.CallerAddress, PeerAddress: b.PeerAddress,
	}
}

// Self returns the instance's own beat.
func (f *Fleet) Self() msg.Beat { return f.self }

// SetSelf updates what the instance tells of itself.
func (f *Fleet) SetSelf(ready, leaving, reads bool) {
	f.self.Ready, f.self.Leaving, f.self.Reads = ready, leaving, reads
}

// Heard takes a beat of another instance. It reports whether the instance was
// not known to live before.
func (f *Fleet) Heard(now time.Time, b msg.Beat) bool {
	if b.Name == f.self.Name {
		return false
	}
	m := f.members[b.Name]
	fresh := m == nil || m.Boot != b.Boot || now.Sub(m.Heard) > f.silentAfter()
	if m == nil {
		m = &Member{Known: now}
		f.members[b.Name] = m
	}
	m.Beat, m.Heard = b, now
	if fresh {
		f.refresh(now)
	}
	return fresh
}

// Unheard reports whether a live instance says that it does not hear this one,
// though it is sent beats: then the connection to it has gone silent, and a new
// one must be made. It reports so once in a while only.
func (f *Fleet) Unheard(now time.Time, b msg.Beat) bool {
	m := f.members[b.Name]
	if b.Hears || m == nil || now.Sub(m.Known) < f.resetEvery() || now.Sub(m.reset) < f.resetEvery() {
		return false
	}
	m.reset = now
	return true
}

// Hears reports whether an instance was heard lately.
func (f *Fleet) Hears(now time.Time, name string) bool {
	m := f.members[name]
	return m != nil && f.alive(now, m)
}

// Gone notes that nobody listened at an instance's address when it was tried at a
// moment: its process has ended. A beat that came since counts more. It reports
// whether that is news.
func (f *Fleet) Gone(now, tried time.Time, name string) bool {
	m := f.members[name]
	if m == nil || !f.alive(now, m) || m.Heard.After(tried) {
		return false
	}
	m.Heard = time.Time{}
	f.refresh(now)
	return true
}

// Learn takes in an instance that is known from the store only.
func (f *Fleet) Learn(now time.Time, b msg.Beat) {
	if b.Name == f.self.Name || f.members[b.Name] != nil {
		return
	}
	f.members[b.Name] = &Member{Beat: b, Known: now}
}

// BeatEvery is how often an instance tells each other one that it lives.
func (f *Fleet) BeatEvery() time.Duration {
	return max(beatLeast, time.Duration(f.Size())*beatShare)
}

// silentAfter is how long an instance may be silent and still count as live.
func (f *Fleet) silentAfter() time.Duration {
	return time.Duration(silentBeats * float64(f.BeatEvery()))
}

// resetEvery is the least time between two resets of the connection to an
// instance: a new one needs some beats' time to be heard on.
func (f *Fleet) resetEvery() time.Duration { return 2 * f.silentAfter() }

// Tick notes who has fallen silent and returns their names.
func (f *Fleet) Tick(now time.Time) []string {
	before := f.live
	f.refresh(now)
	var lost []string
	for _, name := range before {
		if !slices.Contains(f.live, name) {
			lost = append(lost, name)
		}
	}
	for name, m := range f.members {
		if now.Sub(m.Heard) > ForgetAfter && now.Sub(m.Known) > ForgetAfter {
			delete(f.members, name)
		}
	}
	return lost
}

func (f *Fleet) refresh(now time.Time) {
	f.live = f.live[:0:0]
	var list []membership.Member
	for name, m := range f.members {
		if f.alive(now, m) {
			f.live = append(f.live, name)
			list = append(list, listed(m.Beat))
		}
	}
	slices.Sort(f.live)
	f.view.Update(now, list)
}

func (f *Fleet) alive(now time.Time, m *Member) bool {
	return !m.Heard.IsZero() && now.Sub(m.Heard) <= f.silentAfter()
}

// Live lists the other instances that live, by name.
func (f *Fleet) Live() []string { return f.live }

// Others lists every other instance that is known, live or silent.
func (f *Fleet) Others() []*Member {
	out := make([]*Member, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Find returns another instance by name, or nil.
func (f *Fleet) Find(name string) *Member { return f.members[name] }

// DataCentre returns where an instance stands, "" if it is not known.
func (f *Fleet) DataCentre(name string) string {
	if name == f.self.Name {
		return f.self.DataCentre
	}
	if m := f.members[name]; m != nil {
		return m.DataCentre
	}
	return ""
}

// Size is how many instances are known, this one included.
func (f *Fleet) Size() int { return len(f.members) + 1 }

// Home returns the instance that decides for a key, if there is one in a data centre
// that is named.
func (f *Fleet) Home(now time.Time, key, dataCentre string) string {
	rank := func(dc string) int {
		if dataCentre == "" || dc == dataCentre {
			return 0
		}
		return 1
	}
	if homes := f.view.Homes(now, key, 1, rank); len(homes) > 0 {
		return homes[0]
	}
	return f.self.Name
}

// Suspect passes an instance over as a home for some seconds.
func (f *Fleet) Suspect(now time.Time, name string) { f.view.Suspect(now, name) }

// serving lists the other instances that live and take callers.
func (f *Fleet) serving() []*Member {
	var out []*Member
	for _, name := range f.live {
		if m := f.members[name]; m.Ready && !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}

// Alone reports whether no other instance is ready to serve.
func (f *Fleet) Alone() bool { return len(f.serving()) == 0 }
