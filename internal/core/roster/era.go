package roster

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/revision"
)

// The store can come back from an older copy, in a new era. The copy lacks entries that were written since it was
// made, and lists some that were removed. Upstreams write theirs again within some seconds. Until then
//
//   - an upstream that is not listed any more is kept for expiryGrace, as after an outage;
//   - an entry of the copy whose run this instance knows to be removed or replaced is withheld;
//   - a run that is known to leave stays so, whatever its entry says (leaving.go).

// EraSettleTime is how long after the store has come back from a copy its rows may be out of date. Operators, live
// upstreams and those that have left write theirs again within two seconds.
const EraSettleTime = 3 * time.Second

// eraChange is the state of the last change of the era.
type eraChange struct {
	// enteredAt is when the era was first seen; zero in the first one. floor is the revision as of then:
	// entries up to it may be from the copy.
	enteredAt time.Time
	floor     int64
	// outdated holds the entries that are withheld, by id.
	outdated map[string]Change
	// entering is set while the copy is applied with which the era was entered.
	entering bool
}

// EraChange describes what a change of the store's era did to the list.
type EraChange struct {
	// Kept is the number of upstreams that the copy does not list, Outdated the number of entries that were set
	// aside, and Leaving the number of listed upstreams that are known to leave.
	Kept, Outdated, Leaving int
}

// LastEraChange returns what the last change of the era has done so far.
func (r *Roster) LastEraChange() (c EraChange) {
	c.Outdated = len(r.era.outdated)
	for _, u := range r.byID {
		if !u.ExpiresAt.IsZero() {
			c.Kept++
		}
		if !u.LeavingSince.IsZero() {
			c.Leaving++
		}
	}
	return c
}

// entersEra reports whether a version is of a later era than all that was received.
func (r *Roster) entersEra(version int64) bool {
	return r.newest > 0 && revision.Era(version) > revision.Era(r.newest)
}

// enterEra begins a new era with a version. All groups count as changed, because other instances may have
// received versions of the era before that this instance did not.
func (r *Roster) enterEra(now time.Time, version int64) {
	r.era = eraChange{enteredAt: now, floor: version, outdated: map[string]Change{}}
	r.newest = version
	r.storeDown = false
	for g := range r.byGroup {
		r.markChanged(g, version)
	}
}

// isOutdated reports whether a change is an entry of the older copy that this instance knows to be out of date,
// and sets it aside.
func (r *Roster) isOutdated(now time.Time, c Change) bool {
	if c.Removed || !c.Valid || c.Version > r.era.floor || now.Sub(r.era.enteredAt) >= EraSettleTime {
		return false
	}
	u := r.byID[c.ID]
	outdated := u == nil && r.removedRuns[c.ID] == c.Entry.Run() || u != nil && c.Entry.Born < u.Born
	if outdated {
		r.era.outdated[c.ID] = c
	}
	return outdated
}

// withOutdated adds the entries that are withheld to a copy of their group. Without them, the receiver would drop an
// upstream that has written its entry again.
func (r *Roster) withOutdated(c GroupCopy) GroupCopy {
	for id, o := range r.era.outdated {
		if r.byID[id] == nil && r.layout.GroupOf(o.Entry) == c.Group {
			c.List = append(c.List, o)
		}
	}
	return c
}

// forgetOutdated forgets a withheld entry, because it has changed at a version. Its group counts as changed:
// other instances may have received the entry from this one, and use it.
func (r *Roster) forgetOutdated(id string, version int64) {
	if o, ok := r.era.outdated[id]; ok {
		r.markChanged(r.layout.GroupOf(o.Entry), version)
		delete(r.era.outdated, id)
	}
}

// keepOutdated forgets the entries that are withheld, if they are of the given groups and a copy of these at a later
// version does not contain them.
func (r *Roster) keepOutdated(list []Change, version int64, of func(Group) bool) {
	for id, o := range r.era.outdated {
		if of(r.layout.GroupOf(o.Entry)) && !slices.ContainsFunc(list, func(c Change) bool { return c.ID == id }) {
			r.forgetOutdated(id, version)
		}
	}
}

// endEraChange uses the entries that are withheld and are still listed once the time has passed in which
// upstreams write their state again.
func (r *Roster) endEraChange(now time.Time) []*Upstream {
	if len(r.era.outdated) == 0 || now.Sub(r.era.enteredAt) < EraSettleTime {
		return nil
	}
	var changes []Change
	for _, c := range r.era.outdated {
		changes = append(changes, c)
	}
	r.era.outdated = nil
	return r.Update(now, changes, r.newest)
}
