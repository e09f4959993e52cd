// Package roster holds an instance's view of the upstreams: their entries in the platform's
// list with versions, and which of them accept new work. It does no I/O.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// Entry is an upstream's own row in the platform's list.
type Entry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving is set once the upstream has announced its shutdown.
	Leaving bool
	// Cold is the remaining warm-up time when the entry was written. Upstreams are cold after
	// a start and may become cold again.
	Cold time.Duration
	// Born identifies the run of the upstream, in Unix milliseconds; 0 if unknown. Ids can be
	// reused by another run.
	Born int64
}

// Upstream is one run of an upstream.
type Upstream struct {
	Entry
	// Version is the version of the entry in the list.
	Version int64
	// Seen is when this run was first listed.
	Seen time.Time
	// LeavingSince is when the first sign of its shutdown arrived; zero if none.
	LeavingSince time.Time
	// ColdUntil is the expected end of the warm-up.
	ColdUntil time.Time
	// Lapses is when a vanished entry is dropped; zero while it is listed.
	Lapses time.Time
	// Gone is set once the entry was removed or replaced by another run.
	Gone bool
}

// Chill records an upstream's report that it stays cold for a time from now.
func (u *Upstream) Chill(now time.Time, cold time.Duration) {
	if until := now.Add(cold); cold > 0 && until.After(u.ColdUntil) {
		u.ColdUntil = until
	}
}

// TakesWork reports whether new work may be sent to the upstream.
func (u *Upstream) TakesWork() bool { return !u.Gone && u.LeavingSince.IsZero() }

// Change is one row of the list: an entry, or its removal.
type Change struct {
	ID      string
	Version int64
	Removed bool
	// Valid is false for an entry that could not be decoded. It invalidates what was known
	// under its id.
	Valid bool
	Entry Entry
}

// Roster is the local view of the list: all of it, or the groups that this instance uses. It
// is not safe for concurrent use.
type Roster struct {
	byID     map[string]*Upstream
	versions map[string]int64
	// gone holds the removal time of upstreams whose versions are kept.
	gone      map[string]time.Time
	byService map[string][]*Upstream
	byGroup   map[Group][]*Upstream
	// layout is the current division into groups, nil before the first decision; divided is
	// its version.
	layout  Layout
	divided int64
	// wanted is the layout to change to, since wantedAt; nil if there is none.
	wanted   Layout
	wantedAt time.Time
	// known holds the groups of which every upstream is known; whole is set if that holds for
	// all.
	known map[Group]bool
	whole bool
	// newest is the newest version of the list seen.
	newest int64
	// changed holds, by group, the version of the last change other than a heartbeat;
	// lastChange is the newest of these.
	changed    map[Group]int64
	lastChange int64
	// down is set during an outage of the store; returned is when the last one ended.
	down     bool
	returned time.Time
	// confirmed is the time as of which the list was last confirmed.
	confirmed time.Time
	// lapsed and retold hold, by group, when a lapsed entry was last dropped and when that was
	// last announced again.
	lapsed, retold map[Group]time.Time
	// joined holds the runs listed since the last call of Joined.
	joined []*Upstream
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		byID: map[string]*Upstream{}, versions: map[string]int64{}, gone: map[string]time.Time{}, byService: map[string][]*Upstream{},
		lapsed: map[Group]time.Time{}, retold: map[Group]time.Time{},
		byGroup: map[Group][]*Upstream{}, known: map[Group]bool{}, changed: map[Group]int64{},
	}
}

// Confirm records that the list was current when the store was asked.
func (r *Roster) Confirm(asked time.Time) {
	if asked.After(r.confirmed) {
		r.confirmed = asked
	}
}

// Confirmed returns the time as of which the list was last confirmed.
func (r *Roster) Confirmed() time.Time { return r.confirmed }

// Joined returns the runs listed since the last call.
func (r *Roster) Joined() []*Upstream {
	joined := r.joined
	r.joined = nil
	return joined
}

// Known reports whether a list was received. Without one, an instance that has its
// configuration would refuse everything.
func (r *Roster) Known() bool { return r.newest > 0 }

// Newest returns the newest version of the list seen.
func (r *Roster) Newest() int64 { return r.newest }

// Update applies changes up to a version and returns the upstreams that began to leave or were
// removed. Changes older than what is known are ignored: answers can be late or come from a
// stale replica.
func (r *Roster) Update(now time.Time, changes []Change, upTo int64) []*Upstream {
	var left []*Upstream
	meant := false
	for _, c := range changes {
		if c.Version <= r.versions[c.ID] {
			continue
		}
		r.versions[c.ID] = c.Version
		if r.isChange(now, c) {
			r.touch(c)
			meant = true
		}
		if u := r.apply(now, c); u != nil {
			left = append(left, u)
		}
	}
	r.newest = max(r.newest, upTo)
	if meant {
		r.index()
	}
	return left
}

// touch marks the groups of the old and the new entry as changed.
func (r *Roster) touch(c Change) {
	if u := r.byID[c.ID]; u != nil {
		r.mark(r.layout.Of(u.Entry), c.Version)
	}
	if c.Valid && !c.Removed {
		r.mark(r.layout.Of(c.Entry), c.Version)
	}
}

func (r *Roster) mark(g Group, version int64) {
	r.changed[g] = max(r.changed[g], version)
	r.lastChange = max(r.lastChange, version)
}

// Replace applies a full copy of the list and removes what it lacks. It returns false for a
// copy older than what is known.
func (r *Roster) Replace(now time.Time, all []Change, version int64) (left []*Upstream, ok bool) {
	if version < r.newest {
		return nil, false
	}
	r.whole = true
	left = r.Update(now, append(all, r.missing(all, version, r.All())...), version)
	return left, true
}

// missing returns removals for the upstreams that a copy lacks.
func (r *Roster) missing(all []Change, version int64, of []*Upstream) []Change {
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		listed[c.ID] = true
	}
	var out []Change
	for _, u := range of {
		if !listed[u.ID] && u.Lapses.IsZero() {
			out = append(out, Change{ID: u.ID, Version: version, Removed: true})
		}
	}
	return out
}

// apply applies one change and returns the upstream that left by it, or nil.
func (r *Roster) apply(now time.Time, c Change) *Upstream {
	old := r.byID[c.ID]
	if c.Removed || !c.Valid {
		return r.remove(now, old)
	}
	if old != nil && sameRun(old.Entry, c.Entry) {
		began := c.Entry.Leaving && old.LeavingSince.IsZero()
		old.Entry, old.Version, old.Lapses = c.Entry, c.Version, time.Time{}
		old.Chill(now, c.Entry.Cold)
		if began {
			old.LeavingSince = now
			return old
		}
		return nil
	}
	u := &Upstream{Entry: c.Entry, Version: c.Version, Seen: now}
	u.Chill(now, c.Entry.Cold)
	if c.Entry.Leaving {
		u.LeavingSince = now
	}
	r.byID[c.ID] = u
	r.joined = append(r.joined, u)
	if old != nil {
		old.Gone = true
		return old
	}
	return nil
}

// coldSlack is the extension of a warm-up above which a heartbeat counts as a change: each one
// reports a slightly later end.
const coldSlack = 300 * time.Millisecond

// isChange reports whether a change is more than a heartbeat.
func (r *Roster) isChange(now time.Time, c Change) bool {
	u := r.byID[c.ID]
	if c.Removed || !c.Valid {
		return u != nil
	}
	return u == nil || c.Entry.Cold > 0 && now.Add(c.Entry.Cold).Sub(u.ColdUntil) > coldSlack || !sameRun(u.Entry, c.Entry) || u.Entry.Leaving != c.Entry.Leaving ||
		u.DataCentre != c.Entry.DataCentre || !u.Lapses.IsZero()
}

// sameRun reports whether two entries of one id belong to the same run.
func sameRun(a, b Entry) bool {
	return a.Born == b.Born && a.Address == b.Address && a.Service == b.Service
}

// MarkLeaving records a sign of shutdown from elsewhere and reports whether it is the first.
func (r *Roster) MarkLeaving(now time.Time, u *Upstream) bool {
	if !u.LeavingSince.IsZero() {
		return false
	}
	u.LeavingSince = now
	return true
}

// index rebuilds the lists by service and group, ordered by id.
func (r *Roster) index() {
	r.byService, r.byGroup = map[string][]*Upstream{}, map[Group][]*Upstream{}
	for _, u := range r.All() {
		r.byService[u.Service] = append(r.byService[u.Service], u)
		g := r.layout.Of(u.Entry)
		r.byGroup[g] = append(r.byGroup[g], u)
	}
}

// Of lists the upstreams of a service, including those that leave.
func (r *Roster) Of(service string) []*Upstream { return r.byService[service] }

// All lists every upstream by id.
func (r *Roster) All() []*Upstream {
	out := make([]*Upstream, 0, len(r.byID))
	for _, u := range r.byID {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of upstreams listed.
func (r *Roster) Len() int { return len(r.byID) }

// Find returns the upstream with an id, or nil.
func (r *Roster) Find(id string) *Upstream { return r.byID[id] }
