package roster

import (
	"cmp"
	"slices"
	"time"
)

// GroupCopy is the full content of a group, to be sent to another instance.
type GroupCopy struct {
	Group Group
	List  []Change
}

// Layout returns the current layout and its version.
func (r *Roster) Layout() (Layout, int64) { return r.layout, r.layoutVersion }

// Complete reports whether the upstreams of all groups are known.
func (r *Roster) Complete() bool { return r.complete }

// UpstreamsIn returns the upstreams of a group, including leaving ones.
func (r *Roster) UpstreamsIn(g Group) []*Upstream { return r.byGroup[g] }

// HasGroup reports whether all upstreams of a group are known.
func (r *Roster) HasGroup(g Group) bool { return r.complete || g.Count == 0 || r.completeGroups[g] }

// Divide recomputes the layout and reports whether it changed. Only an instance with the
// complete list decides on the layout: others would compute it from the few upstreams that they
// know.
func (r *Roster) Divide(now time.Time) bool {
	if !r.complete {
		return false
	}
	count := r.countWorking()
	next := divide(r.layout, count)
	first := r.layout == nil
	if first {
		r.layout = Layout{}
	}
	if next.equal(r.layout) {
		r.pendingLayout = nil
		return false
	}
	if r.pendingLayout == nil || !next.equal(r.pendingLayout) {
		r.pendingLayout, r.pendingSince = next, now
	}
	if !first && now.Sub(r.pendingSince) < divideDelay && !r.layout.overfull(count) {
		return false
	}
	r.pendingLayout = nil
	r.adoptLayout(next, r.newest)
	return true
}

// countWorking returns the number of upstreams that accept work, by service and data centre.
func (r *Roster) countWorking() map[string]map[string]int {
	count := map[string]map[string]int{}
	for _, u := range r.byID {
		if !u.TakesWork() || !u.ExpiresAt.IsZero() {
			continue
		}
		if count[u.Service] == nil {
			count[u.Service] = map[string]int{}
		}
		count[u.Service][u.DataCentre]++
	}
	return count
}

// overfull reports whether an undivided service has more than divideNowFactor times
// maxUndivided upstreams.
func (l Layout) overfull(count map[string]map[string]int) bool {
	for service, byDataCentre := range count {
		total := 0
		for _, n := range byDataCentre {
			total += n
		}
		if l[service] == nil && total > divideNowFactor*maxUndivided {
			return true
		}
	}
	return false
}

// adoptLayout replaces the layout and drops the state of groups that no longer exist. The new
// groups count as changed, so that they are sent to the instances that use them.
func (r *Roster) adoptLayout(l Layout, version int64) {
	r.layoutVersion = version
	if l.equal(r.layout) {
		return // two readers computed the same layout at different versions
	}
	r.layout, r.followedSince = l, time.Time{} // the upstreams of other groups were not known
	r.rebuildIndexes()
	for g := range r.byGroup {
		r.markChanged(g, version)
	}
	for g := range r.completeGroups {
		if l[g.Service][g.DataCentre] != g.Count {
			delete(r.completeGroups, g)
		}
	}
	for g := range r.changed {
		if g.Count > 0 && l[g.Service][g.DataCentre] != g.Count {
			delete(r.changed, g)
		}
	}
}

// Since returns copies of the groups that changed after a version: of all groups if want is
// nil, otherwise of the groups in want and of undivided services. It is cheap when nothing
// changed, because relays respond to hundreds of such requests per second.
func (r *Roster) Since(now time.Time, version int64, want []Group) []GroupCopy {
	if r.lastChange <= version {
		return nil
	}
	var changed []Group
	for g, at := range r.changed {
		if at > version && (want == nil || g.Count == 0 || slices.Contains(want, g)) {
			changed = append(changed, g)
		}
	}
	slices.SortFunc(changed, compareGroups)
	out := make([]GroupCopy, 0, len(changed))
	for _, g := range changed {
		out = append(out, r.copy(now, g))
	}
	return out
}

// Copies returns full copies of those groups whose upstreams are all known.
func (r *Roster) Copies(now time.Time, groups []Group) []GroupCopy {
	var out []GroupCopy
	for _, g := range groups {
		if r.HasGroup(g) {
			out = append(out, r.copy(now, g))
		}
	}
	return out
}

// copy returns a copy of a group, with the remaining warm-up times as of now.
func (r *Roster) copy(now time.Time, g Group) GroupCopy {
	c := GroupCopy{Group: g, List: make([]Change, 0, len(r.byGroup[g]))}
	for _, u := range r.byGroup[g] {
		e := u.Entry
		e.ColdRemaining = max(u.ColdUntil.Sub(now), 0)
		c.List = append(c.List, Change{ID: u.ID, Version: u.Version, Valid: true, Entry: e})
	}
	return r.withOutdated(c)
}

// compareGroups orders groups by service, data centre and index.
func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Index, b.Index))
}

// ListUpdate is a response to a ListRequest: the changes of the list since the versions of the
// requester.
type ListUpdate struct {
	// Version is the version of the sender's list.
	Version int64
	// Layout is nil if the requester already has the current layout; LayoutVersion is the version
	// of the layout.
	Layout        Layout
	LayoutVersion int64
	Groups        []GroupCopy
	// Complete is set if the request was for every group.
	Complete bool
	// StatesSoftware is set if the entries state the software of their upstreams.
	StatesSoftware bool `msgpack:"-"`
}

// ListRequest is a request for the changes of the list since given versions.
type ListRequest struct {
	// Version is the version of the requester's list. LayoutVersion is the version of its layout.
	Version       int64
	LayoutVersion int64
	// Groups are the groups that the requester uses. Missing are those of them of which it has no
	// copy. All requests every group.
	Groups  []Group
	Missing []Group
	All     bool
}

// Respond returns the changes since the versions of a request of an instance, or nil if there are none and the
// requester has a list. It returns false if this instance lacks some of the requested groups.
func (r *Roster) Respond(now time.Time, requester string, q ListRequest) (s *ListUpdate, ok bool) {
	if !r.Received() || q.All && !r.complete {
		return nil, false
	}
	s = &ListUpdate{Version: r.newest, LayoutVersion: r.layoutVersion, Complete: q.All, StatesSoftware: true}
	if q.LayoutVersion != r.layoutVersion {
		s.Layout = r.layout
	}
	if q.All {
		s.Groups = r.Since(now, q.Version, nil)
	} else {
		groups, lacking := r.inLayout(q.Groups), r.inLayout(q.Missing)
		if !r.knowsAll(groups) {
			return nil, false
		}
		s.Groups = r.Copies(now, lacking)
		for _, c := range r.Since(now, q.Version, groups) {
			if !slices.Contains(lacking, c.Group) {
				s.Groups = append(s.Groups, c)
			}
		}
	}
	s.Groups = append(s.Groups, r.droppedFor(now, requester, q, s.Groups)...)
	// A requester that has received no list must learn that it is empty: it is not ready before.
	if s.Layout == nil && len(s.Groups) == 0 && q.Version > 0 {
		return nil, true
	}
	return s, true
}

// droppedFor returns copies of those requested groups of which a requester must be notified that an upstream was dropped,
// except those that it gets anyway.
func (r *Roster) droppedFor(now time.Time, requester string, q ListRequest, sent []GroupCopy) (out []GroupCopy) {
	if len(r.drops.at) == 0 {
		return nil
	}
	for _, g := range r.drops.due(now, requester) {
		included := slices.ContainsFunc(sent, func(c GroupCopy) bool { return c.Group == g })
		if !included && (q.All || g.Count == 0 || slices.Contains(q.Groups, g)) {
			out = append(out, r.copy(now, g))
		}
	}
	return out
}

// knowsAll reports whether all upstreams of each group are known.
func (r *Roster) knowsAll(groups []Group) bool {
	return !slices.ContainsFunc(groups, func(g Group) bool { return !r.HasGroup(g) })
}

// inLayout returns those groups that exist in the current layout.
func (r *Roster) inLayout(groups []Group) []Group {
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		if r.layout.Has(g) {
			out = append(out, g)
		}
	}
	return out
}

// Request returns the request of an instance that uses some groups, or all of them.
func (r *Roster) Request(use []Group, all bool) ListRequest {
	q := ListRequest{Version: r.newest, LayoutVersion: r.layoutVersion, All: all}
	if all {
		if !r.complete {
			q.Version = 0
		}
		return q
	}
	q.Groups = use
	for _, g := range use {
		if !r.HasGroup(g) {
			q.Missing = append(q.Missing, g)
		}
	}
	return q
}

// Adopt applies copies of groups from another instance and returns the upstreams that began to
// leave or were removed. Upstreams that a copy does not contain are removed immediately, without
// expiryGrace: the sender has already waited for expired entries to be renewed.
func (r *Roster) Adopt(now time.Time, s ListUpdate) (left []*Upstream) {
	r.storeDown, r.storeReturned = false, time.Time{}
	switch {
	case s.Layout != nil && s.LayoutVersion != r.layoutVersion:
		r.adoptLayout(s.Layout, s.LayoutVersion)
	case r.layout == nil:
		r.layout = Layout{} // no layout was sent, so no service is divided
	}
	if s.Version < r.newest {
		return nil
	}
	if r.entersEra(s.Version) {
		r.enterEra(now, s.Version) // the sender has waited for entries that the store lacks
	}
	r.adoptSoftware(s)
	before := r.newest
	for _, c := range s.Groups {
		r.keepOutdated(c.List, s.Version, func(g Group) bool { return g == c.Group })
		changes := append(slices.Clip(c.List), r.removals(c.List, s.Version, r.byGroup[c.Group])...)
		unlisted := r.dropUnlisted(now, c)
		dropped := append(unlisted, r.Update(now, changes, s.Version)...)
		if len(unlisted) > 0 || s.Version == before && slices.ContainsFunc(dropped, func(u *Upstream) bool { return u.Removed }) {
			r.drops.note(now, c.Group) // those that follow this instance may have the version, too
		}
		left = append(left, dropped...)
		r.markChanged(c.Group, s.Version)
		if c.Group.Count > 0 {
			r.completeGroups[c.Group] = true
		}
	}
	r.newest = max(r.newest, s.Version)
	// Undivided services are sent to every instance, so the list is complete if no service is
	// divided.
	r.complete = s.Complete || len(r.layout) == 0
	return left
}

// dropUnlisted drops those upstreams whose entries have expired here and that a copy of their group does not contain. The
// version of the copy does not matter, as such a drop has none. Those that it contains still expire unless their
// entry is newer: the sender may not know yet that they are gone.
func (r *Roster) dropUnlisted(now time.Time, c GroupCopy) (dropped []*Upstream) {
	for _, u := range r.byGroup[c.Group] {
		if !u.ExpiresAt.IsZero() && !slices.ContainsFunc(c.List, func(l Change) bool { return l.ID == u.ID }) {
			dropped = append(dropped, r.drop(now, u))
		}
	}
	if dropped != nil {
		r.rebuildIndexes()
	}
	return dropped
}

// Keep drops all groups of divided services except the given ones. It reports whether upstreams
// were dropped.
func (r *Roster) Keep(groups []Group) bool {
	dropped := false
	for g := range r.byGroup {
		if g.Count == 0 || slices.Contains(groups, g) {
			continue
		}
		for _, u := range r.byGroup[g] {
			u.Removed = true // callers that still hold the pointer must not choose the upstream
			delete(r.byID, u.ID)
			delete(r.versions, u.ID)
		}
		dropped = true
	}
	for g := range r.completeGroups {
		if !slices.Contains(groups, g) {
			delete(r.completeGroups, g)
		}
	}
	if dropped {
		r.complete = false
		r.rebuildIndexes()
	}
	return dropped
}
