// Package fleet tracks which instances are alive, from the heartbeats that they exchange, and
// decides which of them read the platform's store on behalf of the others. Heartbeats are not
// written to the store, because calls to it are priced and it has outages. The package does no
// I/O.
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
	// LastSeen is when the member last sent a heartbeat or was reported as alive by another
	// instance; zero if it is known from the store only, or was found dead.
	LastSeen time.Time
	// LearnedAt is when the member became known to this instance.
	LearnedAt time.Time
	// wasAlive is set once the member has sent a heartbeat or was reported as alive.
	wasAlive bool
	// resetAt is when the connection to the member was last reset.
	resetAt time.Time
}

// Fleet is one instance's view of all instances. It is not safe for concurrent use.
type Fleet struct {
	started time.Time
	self    msg.Heartbeat
	members map[string]*Member
	view    *membership.View
	live    []string
	// changed is set if a member's state has changed since live was computed.
	changed bool
	// nearCount and farCount count the known instances in this data centre, including this one,
	// and in other data centres.
	nearCount, farCount int
	// learnedAt is when the first other instance became known from the store or a seed.
	learnedAt time.Time
	// regions maps each data centre to its region.
	regions map[string]string
	without mechanism.Set
	// sizeHint is the fleet size that another instance reported at sizeHintAt; 0 if none is
	// valid.
	sizeHint   int
	sizeHintAt time.Time
	// presences holds the last announcement of each relay of other data centres, by the relay's
	// name. announcedFar and announcedNear record the last announcements of this instance if it
	// is a relay: to the relays of other data centres, and to the instances of its own.
	presences                   map[string]*presence
	announcedFar, announcedNear announced
	// relayCache holds the chosen relays of each data centre.
	relayCache map[string]relayChoice
	// nextAddress is the offset at which the next directory response starts. responses counts the
	// directory responses by weight.
	nextAddress int
	responses   int
	// level is this instance's own load as announced, rooms holds by name what is known of the loads of
	// all instances that have or had an elevated load, and spills the use of another data centre by
	// the caller's. loads holds the moving averages of the mean loads of data centres at loadsAt; nil
	// if none is loaded.
	level   level
	rooms   map[string]*room
	spills  map[string]*spill
	loads   map[string]average
	loadsAt time.Time
}

// New returns the view of an instance that has just started. regions maps data centres to
// regions; without lists disabled mechanisms.
func New(now time.Time, self msg.Heartbeat, regions map[string]string, without mechanism.Set) *Fleet {
	return &Fleet{started: now, self: self, without: without, members: map[string]*Member{}, presences: map[string]*presence{}, relayCache: map[string]relayChoice{}, rooms: map[string]*room{}, spills: map[string]*spill{}, nearCount: 1, view: membership.NewView(memberOf(self)), regions: regions}
}

// memberOf converts a heartbeat to a member of the membership view. A leaving instance is not the
// home of any key, so that its successors take over while it still runs.
func memberOf(b msg.Heartbeat) membership.Member {
	m := membership.Member{
		Name: b.Name, Role: membership.RoleEntry, DataCentre: b.DataCentre,
		State: membership.Live, Address: b.CallerAddress, PeerAddress: b.PeerAddress,
	}
	if b.UnderstandsLoad() {
		m.Capacity = b.Capacity()
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
		f.view.SetSelfState(memberOf(f.self).State)
	}
	f.self.Ready, f.self.StoreReachable = ready, reads
	f.self.Eligible = now.Sub(f.started) >= eligibleAge
}

// Contact classifies a received heartbeat.
type Contact int

// Classes of heartbeats.
const (
	// Known: the sender already counted as alive.
	Known Contact = iota
	// First: the sender was not known to be alive before.
	First
	// Regained: the sender counted as dead, or it is another process under the same name.
	Regained
)

// OnHeartbeat processes a received heartbeat.
func (f *Fleet) OnHeartbeat(now time.Time, b msg.Heartbeat) Contact {
	if b.Name == f.self.Name {
		return Known
	}
	m := f.members[b.Name]
	if m == nil {
		m = &Member{LearnedAt: now, Heartbeat: b}
		f.members[b.Name] = m
		f.countMembers()
	}
	contact := m.contact(b.Boot, f.alive(now, m))
	f.changed = f.changed || memberOf(m.Heartbeat) != memberOf(b)
	m.Heartbeat, m.LastSeen, m.wasAlive = b, now, true
	if contact != Known || f.changed {
		f.refresh(now)
	}
	return contact
}

// contact classifies a heartbeat of the member, given the Boot in the heartbeat and whether the
// member counted as alive.
func (m *Member) contact(boot string, alive bool) Contact {
	switch {
	case !m.wasAlive:
		return First
	case m.Boot != boot || !alive:
		return Regained
	}
	return Known
}

// Learn adds an instance that is known from the store. It does not count as alive until its first
// heartbeat. Learn reports whether the instance was new.
func (f *Fleet) Learn(now time.Time, b msg.Heartbeat) bool {
	if b.Name == f.self.Name || f.members[b.Name] != nil {
		return false
	}
	if f.learnedAt.IsZero() {
		f.learnedAt = now
	}
	f.members[b.Name] = &Member{Heartbeat: b, LearnedAt: now}
	f.countMembers()
	return true
}

// Introduce adds an instance that another instance reported as alive. It counts as alive
// until its own heartbeats are missed. Introduce reports whether the instance was new.
func (f *Fleet) Introduce(now time.Time, b msg.Heartbeat) bool {
	if !f.Learn(now, b) {
		return false
	}
	m := f.members[b.Name]
	m.LastSeen, m.wasAlive = now, true
	f.changed = true
	return true
}

// Live lists the names of the other live instances.
func (f *Fleet) Live() []string { return f.live }

// Near lists the other live instances with which this one exchanges heartbeats: all, or in a
// large fleet those of its data centre.
func (f *Fleet) Near() []string {
	if !f.large() {
		return f.live
	}
	return f.liveNear()
}

// Others lists all other known instances, alive or not, sorted by name.
func (f *Fleet) Others() []*Member {
	out := make([]*Member, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Find returns another instance by name, or nil if it is not known.
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

// Size returns the number of instances, including this one: the known ones, or the number that
// another instance reported if that is larger.
func (f *Fleet) Size() int { return max(len(f.members)+1, f.sizeHint) }

// Home returns the home of a key. It is in the given data centre if that has live instances; ""
// means any data centre. In a fleet of unequal machines it is on one of the larger ones: in a surge the
// home of a pool takes a tenth of a core, which is most of what a small machine has.
func (f *Fleet) Home(now time.Time, key, dataCentre string) string {
	if !f.without.Has(mechanism.LargeHomes) {
		return cmp.Or(f.view.LargeHome(now, key, near(dataCentre)), f.self.Name)
	}
	if homes := f.view.Homes(now, key, 1, near(dataCentre)); len(homes) > 0 {
		return homes[0]
	}
	return f.self.Name
}

// LimitHome returns the home of an upstream's rate limit among the instances that divide limits. It
// ignores suspicions: all instances that know the same live instances agree on it.
func (f *Fleet) LimitHome(upstream, dataCentre string) string {
	return cmp.Or(f.view.StableHome("limit/"+upstream, near(dataCentre), f.DividesLimits), f.self.Name)
}

// DividesLimits reports whether an instance understands the messages about rate limits.
func (f *Fleet) DividesLimits(name string) bool {
	m := f.members[name]
	return name == f.self.Name || m != nil && m.DividesLimits()
}

// UnderstandsLoad reports whether an instance understands the messages about urgency, the speed of
// upstreams and the load of instances.
func (f *Fleet) UnderstandsLoad(name string) bool {
	m := f.members[name]
	return name == f.self.Name || m != nil && m.UnderstandsLoad()
}

// UnderstandsNegativeAges reports whether an instance understands negative ages in responses to its
// queries.
func (f *Fleet) UnderstandsNegativeAges(name string) bool {
	m := f.members[name]
	return m != nil && m.UnderstandsNegativeAges()
}

// near ranks a data centre before all others; "" ranks all alike.
func near(dataCentre string) func(dc string) int {
	return func(dc string) int {
		if dataCentre == "" || dc == dataCentre {
			return 0
		}
		return 1
	}
}

// Suspect excludes an instance from being a home for a few seconds.
func (f *Fleet) Suspect(now time.Time, name string) { f.view.Suspect(now, name) }

// othersServing lists the other live instances that accept callers: those that are ready and not
// leaving.
func (f *Fleet) othersServing() []*Member {
	var out []*Member
	for _, name := range f.live {
		if m := f.members[name]; m.Ready && !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}

// Alone reports whether no other live instance accepts callers.
func (f *Fleet) Alone() bool { return len(f.othersServing()) == 0 }
