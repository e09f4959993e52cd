// Package fleet tracks which instances are alive, from the heartbeats that they exchange, and
// decides which of them read the platform's store on behalf of the others. Heartbeats are not
// written to the store: calls are priced and it has outages. The package does no I/O.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// Member is the last known state of another instance.
type Member struct {
	msg.Heartbeat
	// Heard is when it last sent a heartbeat; zero if it is only known from the store.
	Heard time.Time
	// Known is when this instance first learned of it.
	Known time.Time
	// met is set after its first heartbeat.
	met bool
	// reset is when the connection to it was last reset.
	reset time.Time
}

// Fleet is one instance's view of all instances. It is not safe for concurrent use.
type Fleet struct {
	started time.Time
	self    msg.Heartbeat
	members map[string]*Member
	view    *membership.View
	live    []string
	// changed is set if a member's state changed since live was computed.
	changed bool
	// near and far count the known instances in this data centre, including this one, and in
	// others.
	near, far int
	// learned is when the first other instance became known.
	learned time.Time
	// regions maps each data centre to its region.
	regions map[string]string
	without mechanism.Set
	// sizeHint is the size of the fleet as reported by another instance at sizeHintAt.
	sizeHint   int
	sizeHintAt time.Time
	// presences holds the last announcement of each relay of other data centres; toldFar and
	// toldNear hold what this instance, as a relay, last announced.
	presences         map[string]*presence
	toldFar, toldNear told
	// relaysAt caches the relays of each data centre.
	relaysAt map[string]chosen
	// turn is the offset of the next directory answer.
	turn int
}

// New returns the view of an instance that just started. regions maps data centres to regions;
// without lists disabled mechanisms.
func New(now time.Time, self msg.Heartbeat, regions map[string]string, without mechanism.Set) *Fleet {
	return &Fleet{started: now, self: self, without: without, members: map[string]*Member{}, presences: map[string]*presence{}, relaysAt: map[string]chosen{}, near: 1, view: membership.NewView(listed(self)), regions: regions}
}

// listed converts a heartbeat to a membership entry. A leaving instance is no longer home of
// anything, so that its successors take over while it still runs.
func listed(b msg.Heartbeat) membership.Member {
	m := membership.Member{
		Name: b.Name, Role: membership.RoleEntry, DataCentre: b.DataCentre,
		State: membership.Live, Address: b.CallerAddress, PeerAddress: b.PeerAddress,
	}
	if b.Leaving {
		m.State = membership.Leaving
	}
	return m
}

// Self returns this instance's own heartbeat.
func (f *Fleet) Self() msg.Heartbeat { return f.self }

// SetSelf updates this instance's own state.
func (f *Fleet) SetSelf(now time.Time, ready, leaving, reads bool) {
	if leaving != f.self.Leaving {
		f.self.Leaving = leaving
		f.view.SetSelfState(listed(f.self).State)
	}
	f.self.Ready, f.self.Reads = ready, reads
	f.self.Settled = now.Sub(f.started) >= settledAge
}

// Contact classifies a received heartbeat.
type Contact int

// Contacts.
const (
	// Known: the sender was alive already.
	Known Contact = iota
	// First: it was never heard before.
	First
	// Regained: it was silent, or it is another process under the same name.
	Regained
)

// Heard processes a heartbeat.
func (f *Fleet) Heard(now time.Time, b msg.Heartbeat) Contact {
	if b.Name == f.self.Name {
		return Known
	}
	m := f.members[b.Name]
	if m == nil {
		m = &Member{Known: now, Heartbeat: b}
		f.members[b.Name] = m
		f.count()
	}
	contact := m.contact(b.Boot, f.alive(now, m))
	f.changed = f.changed || listed(m.Heartbeat) != listed(b)
	m.Heartbeat, m.Heard, m.met = b, now, true
	if contact != Known || f.changed {
		f.refresh(now)
	}
	return contact
}

func (m *Member) contact(boot string, alive bool) Contact {
	switch {
	case !m.met:
		return First
	case m.Boot != boot || !alive:
		return Regained
	}
	return Known
}

// Learn adds an instance known only from the store. It reports whether it was new.
func (f *Fleet) Learn(now time.Time, b msg.Heartbeat) bool {
	if b.Name == f.self.Name || f.members[b.Name] != nil {
		return false
	}
	if f.learned.IsZero() {
		f.learned = now
	}
	f.members[b.Name] = &Member{Heartbeat: b, Known: now}
	f.count()
	return true
}

// Introduce adds an instance that another instance considers alive. It counts as alive until
// its own heartbeats arrive or are missed. It reports whether it was new.
func (f *Fleet) Introduce(now time.Time, b msg.Heartbeat) bool {
	if !f.Learn(now, b) {
		return false
	}
	m := f.members[b.Name]
	m.Heard, m.met = now, true
	f.changed = true
	return true
}

// Live lists the names of the other live instances.
func (f *Fleet) Live() []string { return f.live }

// Near lists the other live instances with which heartbeats are exchanged.
func (f *Fleet) Near() []string {
	if !f.large() {
		return f.live
	}
	return f.nearLive()
}

// Others lists all other known instances, alive or not, by name.
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

// DataCentre returns an instance's data centre, "" if unknown.
func (f *Fleet) DataCentre(name string) string {
	if name == f.self.Name {
		return f.self.DataCentre
	}
	if m := f.members[name]; m != nil {
		return m.DataCentre
	}
	return ""
}

// Size is the number of known instances, including this one.
func (f *Fleet) Size() int { return max(len(f.members)+1, f.sizeHint) }

// Home returns the home of a key, in the given data centre if that has live instances.
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

// Suspect excludes an instance from being home for a few seconds.
func (f *Fleet) Suspect(now time.Time, name string) { f.view.Suspect(now, name) }

// serving lists the other live instances that accept callers.
func (f *Fleet) serving() []*Member {
	var out []*Member
	for _, name := range f.live {
		if m := f.members[name]; m.Ready && !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}

// Alone reports whether no other instance is ready.
func (f *Fleet) Alone() bool { return len(f.serving()) == 0 }
