// Package roster holds an instance's copy of the platform's list of upstreams: the entries with
// their versions, and which upstreams accept new work. Versions are revisions, which tell the states of a
// store apart that comes back from an older copy (era.go). It does no I/O.
package roster

import (
	"cmp"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/revision"
)

// Entry is the row of one upstream in the platform's list. The upstream writes it.
type Entry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving is set once the upstream has announced its shutdown.
	Leaving bool
	// ColdRemaining is the remaining warm-up time when the entry was written; 0 if the upstream is
	// warm. Upstreams are cold after a start and may become cold again.
	ColdRemaining time.Duration
	// Born identifies the run of the upstream: its start in Unix milliseconds; 0 if unknown.
	// Another run can reuse the id.
	Born int64
	// Software is the version of the upstream's software, which has no order; "" if unknown. Between
	// instances it travels in msg.WithSoftware, as earlier releases decode an entry without it only.
	Software string `msgpack:"-"`
}

// Run identifies a process run of an upstream, whatever its entry says otherwise.
type Run struct {
	ID   string
	Born int64
}

// Run returns the run that the entry belongs to.
func (e Entry) Run() Run { return Run{ID: e.ID, Born: e.Born} }

// Upstream is one run of an upstream, from start to shutdown.
type Upstream struct {
	Entry
	// Version is the revision of the entry in the list.
	Version int64
	// FirstSeen is when the entry of this run was first received.
	FirstSeen time.Time
	// LeavingSince is when the first sign of the shutdown arrived; zero if there was none. LeavingAsOf is when the
	// list was last confirmed before, and the upstream was not leaving; zero if unknown.
	LeavingSince time.Time
	LeavingAsOf  time.Time
	// ColdUntil is the expected end of the warm-up; zero if the upstream was never cold.
	ColdUntil time.Time
	// ExpiresAt is when an upstream whose entry expired will be dropped; zero while the entry is
	// listed.
	ExpiresAt time.Time
	// Removed is set once the entry was removed or replaced by that of another run.
	Removed bool
}

// ExtendWarmUp records a report that the upstream stays cold for a duration from now. It never
// shortens the expected warm-up.
func (u *Upstream) ExtendWarmUp(now time.Time, cold time.Duration) {
	if until := now.Add(cold); cold > 0 && until.After(u.ColdUntil) {
		u.ColdUntil = until
	}
}

// TakesWork reports whether new work may be sent to the upstream.
func (u *Upstream) TakesWork() bool { return !u.Removed && u.LeavingSince.IsZero() }

// Change is an update of one row of the list: its new entry, or its removal.
type Change struct {
	ID      string
	Version int64
	Removed bool
	// Valid is false for a removal and for an entry that could not be decoded. A change with such
	// an entry is treated like a removal.
	Valid bool
	Entry Entry
}

// Roster is the local copy of the list: either complete or restricted to the groups that this
// instance uses. It is not safe for concurrent use.
type Roster struct {
	byID     map[string]*Upstream
	versions map[string]int64
	// removedAt holds, by id, when an upstream was removed, and removedRuns its run. Its version is kept until
	// the tombstone expires.
	removedAt   map[string]time.Time
	removedRuns map[string]Run
	// era is the state of a change of the store's era.
	era       eraChange
	byService map[string][]*Upstream
	byGroup   map[Group][]*Upstream
	// layout is the current division of services into groups, nil before the first decision;
	// layoutVersion is its version.
	layout        Layout
	layoutVersion int64
	// pendingLayout is the layout computed from the numbers of upstreams since pendingSince;
	// nil if it equals the current layout.
	pendingLayout Layout
	pendingSince  time.Time
	// completeGroups holds the groups of divided services whose upstreams are all known.
	// complete is set if the upstreams of all groups are known.
	completeGroups map[Group]bool
	complete       bool
	// newest is the newest version of the list received.
	newest int64
	// changed holds, by group, the version of the last change that is more than a heartbeat;
	// lastChange is the newest of these versions.
	changed    map[Group]int64
	lastChange int64
	// storeDown is set during an outage of the store; storeReturned is when the last outage
	// ended.
	storeDown     bool
	storeReturned time.Time
	// confirmedAt is the time as of which the list was last confirmed to be current.
	confirmedAt time.Time
	// droppedAt and reannouncedAt hold, by group, when an expired entry was last dropped and
	// when the group was last announced again because of that.
	droppedAt, reannouncedAt map[Group]time.Time
	// drops holds the drops that have no version, for the requesters that must be notified.
	drops drops
	// joined holds the runs first listed since the last call of Joined.
	joined []*Upstream
	// lacksSoftware is set while the list came from an instance whose release does not state the
	// software of upstreams.
	lacksSoftware bool
	// followedSince is the time since which the list has been confirmed without a gap; zero if it has not
	// been confirmed since the layout changed. removedSoftware holds when an entry with some software was last
	// removed.
	followedSince   time.Time
	removedSoftware map[listedSoftware]time.Time
	// leftAt holds when each run was first known to leave. A run that leaves does not come back,
	// whatever a later form of its entry says.
	leftAt map[Run]time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		byID: map[string]*Upstream{}, versions: map[string]int64{}, removedAt: map[string]time.Time{}, removedRuns: map[string]Run{}, byService: map[string][]*Upstream{},
		droppedAt: map[Group]time.Time{}, reannouncedAt: map[Group]time.Time{}, drops: newDrops(),
		byGroup: map[Group][]*Upstream{}, completeGroups: map[Group]bool{}, changed: map[Group]int64{}, leftAt: map[Run]time.Time{},
		removedSoftware: map[listedSoftware]time.Time{},
	}
}

// Confirm records that the list was current at queriedAt, the time at which a query was sent to
// which the store has replied.
func (r *Roster) Confirm(queriedAt time.Time) {
	if queriedAt.After(r.confirmedAt) {
		r.follow(queriedAt)
		r.confirmedAt = queriedAt
	}
}

// Confirmed returns the time as of which the list was last confirmed to be current.
func (r *Roster) Confirmed() time.Time { return r.confirmedAt }

// Joined returns the runs first listed since the last call.
func (r *Roster) Joined() []*Upstream {
	joined := r.joined
	r.joined = nil
	return joined
}

// Received reports whether any version of the list was received. An instance is not ready before:
// with a configuration but without a list, it would refuse every request.
func (r *Roster) Received() bool { return r.newest > 0 }

// NewestVersion returns the number of the newest version of the list received.
func (r *Roster) NewestVersion() int64 { return r.newest }

// Update applies changes up to the version upTo and returns the upstreams that began to leave
// or were removed. Changes that are not newer than the known version of their id are ignored:
// responses can be late or come from a stale replica. So are all changes of an earlier era of the store.
func (r *Roster) Update(now time.Time, changes []Change, upTo int64) []*Upstream {
	if revision.Era(upTo) < revision.Era(r.newest) {
		return nil
	}
	if r.entersEra(upTo) {
		r.enterEra(now, upTo)
	}
	var left []*Upstream
	changed := false
	for _, c := range changes {
		if c.Version <= r.versions[c.ID] || r.isOutdated(now, c) {
			continue
		}
		r.versions[c.ID] = c.Version
		r.forgetOutdated(c.ID, c.Version)
		// An entry can lose its mark: another instance has heard of the leaving, or the store has come back from an
		// older copy. The entry is passed on with it.
		c.Entry.Leaving = c.Entry.Leaving || !r.leftAt[c.Entry.Run()].IsZero()
		if r.isChange(now, c) {
			r.markGroups(c)
			changed = true
		}
		if u := r.apply(now, c); u != nil {
			left = append(left, u)
		}
	}
	r.newest = max(r.newest, upTo)
	if changed {
		r.rebuildIndexes()
	}
	return left
}

// markGroups marks the groups of the old and the new entry as changed.
func (r *Roster) markGroups(c Change) {
	if u := r.byID[c.ID]; u != nil {
		r.markChanged(r.layout.GroupOf(u.Entry), c.Version)
	}
	if c.Valid && !c.Removed {
		r.markChanged(r.layout.GroupOf(c.Entry), c.Version)
	}
}

// markChanged records that a group changed at a version.
func (r *Roster) markChanged(g Group, version int64) {
	r.changed[g] = max(r.changed[g], version)
	r.lastChange = max(r.lastChange, version)
}

// Replace applies a full copy of the list and removes the upstreams that the copy does not
// contain. It returns false for a copy older than the newest version received.
func (r *Roster) Replace(now time.Time, all []Change, version int64) (left []*Upstream, ok bool) {
	if version < r.newest {
		return nil, false
	}
	r.complete, r.lacksSoftware = true, false
	r.keepOutdated(all, version, func(Group) bool { return true })
	changes := append(all, r.removals(all, version, r.All())...)
	if r.entersEra(version) {
		r.enterEra(now, version)
		r.era.entering = true
		defer func() { r.era.entering = false }()
	}
	return r.Update(now, changes, version), true
}

// removals returns removals of the known upstreams that a copy of the list does not contain.
// Upstreams whose entries have already expired are left out.
func (r *Roster) removals(all []Change, version int64, known []*Upstream) []Change {
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		listed[c.ID] = true
	}
	var out []Change
	for _, u := range known {
		if !listed[u.ID] && u.ExpiresAt.IsZero() {
			out = append(out, Change{ID: u.ID, Version: version, Removed: true})
		}
	}
	return out
}

// apply applies one change. It returns the upstream that began to leave, was removed or was
// replaced by another run, or nil.
func (r *Roster) apply(now time.Time, c Change) *Upstream {
	old := r.byID[c.ID]
	if c.Removed || !c.Valid {
		return r.remove(now, old)
	}
	if old != nil && sameRun(old.Entry, c.Entry) {
		beginsToLeave := c.Entry.Leaving && old.LeavingSince.IsZero()
		old.Entry, old.Version, old.ExpiresAt = c.Entry, c.Version, time.Time{}
		old.ExtendWarmUp(now, c.Entry.ColdRemaining)
		if beginsToLeave {
			r.MarkLeaving(now, old)
			return old
		}
		return nil
	}
	u := &Upstream{Entry: c.Entry, Version: c.Version, FirstSeen: now}
	u.ExtendWarmUp(now, c.Entry.ColdRemaining)
	if c.Entry.Leaving {
		r.markLeft(now, u.Run())
	}
	u.LeavingSince = r.leftAt[u.Run()]
	r.byID[c.ID] = u
	r.joined = append(r.joined, u)
	if old != nil {
		r.noteRemoved(now, old.Entry)
		old.Removed = true
		return old
	}
	return nil
}

// coldSlack is the minimum extension of a warm-up that counts as a change. Shorter extensions
// do not, because each heartbeat reports a slightly later end.
const coldSlack = 300 * time.Millisecond

// isChange reports whether a change is more than a heartbeat.
func (r *Roster) isChange(now time.Time, c Change) bool {
	u := r.byID[c.ID]
	if c.Removed || !c.Valid {
		return u != nil
	}
	return u == nil || c.Entry.ColdRemaining > 0 && now.Add(c.Entry.ColdRemaining).Sub(u.ColdUntil) > coldSlack || !sameRun(u.Entry, c.Entry) || u.Entry.Leaving != c.Entry.Leaving ||
		u.DataCentre != c.Entry.DataCentre || u.Software != c.Entry.Software || !u.ExpiresAt.IsZero()
}

// sameRun reports whether two entries with the same id, an earlier and a later one, belong to the same run.
// The software of the earlier one may have been unknown.
func sameRun(a, b Entry) bool {
	return a.Born == b.Born && a.Address == b.Address && a.Service == b.Service && (a.Software == "" || a.Software == b.Software)
}

// rebuildIndexes rebuilds the lists of upstreams by service and by group, ordered by id.
func (r *Roster) rebuildIndexes() {
	r.byService, r.byGroup = map[string][]*Upstream{}, map[Group][]*Upstream{}
	for _, u := range r.All() {
		r.byService[u.Service] = append(r.byService[u.Service], u)
		g := r.layout.GroupOf(u.Entry)
		r.byGroup[g] = append(r.byGroup[g], u)
	}
}

// UpstreamsOf returns the upstreams of a service, including leaving ones.
func (r *Roster) UpstreamsOf(service string) []*Upstream { return r.byService[service] }

// All returns every known upstream, ordered by id.
func (r *Roster) All() []*Upstream {
	out := make([]*Upstream, 0, len(r.byID))
	for _, u := range r.byID {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of known upstreams.
func (r *Roster) Len() int { return len(r.byID) }

// Find returns the upstream with the given id, or nil.
func (r *Roster) Find(id string) *Upstream { return r.byID[id] }

// FindAt returns the upstream with the given address, or nil. An address can belong to an upstream
// that is gone and to a later one: the later one is returned.
func (r *Roster) FindAt(address string) *Upstream {
	var found *Upstream
	for _, u := range r.byID {
		if u.Address == address && (found == nil || u.Born > found.Born) {
			found = u
		}
	}
	return found
}

// Neighbour returns the address of another upstream than the one at an address that takes work, chosen by
// pick among those of the same data centre if there are any; "" if there is no other one.
func (r *Roster) Neighbour(address string, pick func(n int) int) string {
	dataCentre := ""
	if u := r.FindAt(address); u != nil {
		dataCentre = u.DataCentre
	}
	var near, far []string
	for _, u := range r.All() {
		switch {
		case u.Address == address || !u.TakesWork():
		case u.DataCentre == dataCentre:
			near = append(near, u.Address)
		default:
			far = append(far, u.Address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	return near[pick(len(near))]
}
