// Package membership keeps an instance's view of the members of the instance list, and maps
// pools, organisations and keys to their home instances by rendezvous hashing.
package membership

import (
	"slices"
	"time"
)

// The states of a member in the platform's instance list.
const (
	Live    = "live"
	Leaving = "leaving"
)

// RoleEntry is the role of the system's own instances. The role of an upstream is the name of
// its service.
const RoleEntry = "entry"

// suspectDuration is how long an instance that did not respond is suspected: View.Homes prefers
// other instances of the same rank. It exceeds the usual lag of the instance list, so that a
// dead instance is not queried again before the list has dropped it.
const suspectDuration = 5 * time.Second

// leavingDuration is how long an instance counts as leaving after its last announcement that it
// leaves. It exceeds the lag of the instance list, which still shows the instance as live: if
// callers still received its address, they would try to reach it after it has exited.
const leavingDuration = 15 * time.Second

// Member is one row of the instance list.
type Member struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	// Address is where an instance accepts callers, or where an upstream accepts calls.
	Address string `json:"address"`
	// PeerAddress is the address for other instances; it is empty for upstreams.
	PeerAddress string `json:"peer_address"`
	State       string `json:"state"`
	// Capacity is the capacity class of an instance's machine: one class more is about twice the
	// capacity. 0 means unknown.
	Capacity uint8 `json:"-"`
}

// View is an instance's view of the members. Use NewView to create one; the zero value is not
// usable.
type View struct {
	self       Member
	members    map[string]Member
	live       []string
	rendezvous rendezvous
	suspects   map[string]time.Time
	leaving    map[string]leavingMark
}

// leavingMark records until when an instance counts as leaving.
type leavingMark struct {
	until time.Time
	// peerAddress distinguishes the instance from a new one with the same name; empty if the
	// address was not known.
	peerAddress string
}

// applies reports whether a member counts as leaving because of the mark.
func (l leavingMark) applies(now time.Time, m Member) bool {
	return now.Before(l.until) && (l.peerAddress == "" || l.peerAddress == m.PeerAddress)
}

// NewView returns a view whose only member is the instance itself.
func NewView(self Member) *View {
	v := &View{self: self, suspects: map[string]time.Time{}, leaving: map[string]leavingMark{}}
	v.Update(time.Time{}, nil)
	return v
}

// Update replaces the members with those of a newly read instance list. The instance itself
// always remains a member with its own state, because the list lags.
func (v *View) Update(now time.Time, list []Member) {
	v.members = map[string]Member{}
	for _, m := range list {
		if v.leaving[m.Name].applies(now, m) {
			m.State = Leaving
		}
		v.members[m.Name] = m
	}
	v.members[v.self.Name] = v.self
	v.rebuildLive()
	for name, mark := range v.leaving {
		if !now.Before(mark.until) {
			delete(v.leaving, name)
		}
	}
}

// rebuildLive rebuilds the sorted list of live instances and the data for rendezvous hashing.
func (v *View) rebuildLive() {
	v.live = make([]string, 0, len(v.members))
	for name, m := range v.members {
		if m.Role == RoleEntry && m.State == Live {
			v.live = append(v.live, name)
		}
	}
	slices.Sort(v.live)
	v.rendezvous = newRendezvous(v.live, v.members)
}

// SetSelfState sets the state of the instance itself to Live or Leaving.
func (v *View) SetSelfState(state string) {
	v.self.State = state
	v.members[v.self.Name] = v.self
	v.rebuildLive()
}

// MarkLeaving marks another instance as leaving for leavingDuration, which exceeds the lag of
// the list.
func (v *View) MarkLeaving(now time.Time, name string) {
	m, ok := v.members[name]
	if name == v.self.Name || ok && m.Role != RoleEntry {
		return
	}
	v.leaving[name] = leavingMark{until: now.Add(leavingDuration), peerAddress: m.PeerAddress}
	if ok {
		m.State = Leaving
		v.members[name] = m
		v.rebuildLive()
	}
}

// Suspected reports whether an instance failed to respond within the last suspectDuration.
func (v *View) Suspected(now time.Time, name string) bool { return now.Before(v.suspects[name]) }

// Member returns the member with the given name.
func (v *View) Member(name string) (Member, bool) {
	m, ok := v.members[name]
	return m, ok
}

// Suspect marks an instance that failed to respond. For suspectDuration, Homes prefers other
// instances of the same rank.
func (v *View) Suspect(now time.Time, name string) {
	if name != v.self.Name {
		v.suspects[name] = now.Add(suspectDuration)
	}
}

// ClearSuspicion ends the suspicion of an instance from which a message was received.
func (v *View) ClearSuspicion(name string) { delete(v.suspects, name) }

// LiveInstances returns the names of the live instances, sorted.
func (v *View) LiveInstances() []string { return v.live }

// Instances returns the names of the live and the leaving instances, sorted.
func (v *View) Instances() []string {
	var out []string
	for name, m := range v.members {
		if m.Role == RoleEntry {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
