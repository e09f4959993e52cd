package roster

import (
	"cmp"
	"slices"
	"time"
)

// GroupCopy is the full content of a group, for another instance.
type GroupCopy struct {
	Group Group
	List  []Change
}

// Layout returns the division into groups and its version.
func (r *Roster) Layout() (Layout, int64) { return r.layout, r.divided }

// Whole reports whether every upstream is known.
func (r *Roster) Whole() bool { return r.whole }

// In lists the upstreams of a group, including those that leave.
func (r *Roster) In(g Group) []*Upstream { return r.byGroup[g] }

// Knows reports whether every upstream of a group is known.
func (r *Roster) Knows(g Group) bool { return r.whole || g.Of == 0 || r.known[g] }

// Divide recomputes the layout and reports whether it changed. Only a reader of the whole list
// decides it: others would divide a service by the few upstreams they know.
func (r *Roster) Divide(now time.Time) bool {
	if !r.whole {
		return false
	}
	count := r.working()
	want := divide(r.layout, count)
	first := r.layout == nil
	if first {
		r.layout = Layout{}
	}
	if want.equal(r.layout) {
		r.wanted = nil
		return false
	}
	if r.wanted == nil || !want.equal(r.wanted) {
		r.wanted, r.wantedAt = want, now
	}
	if !first && now.Sub(r.wantedAt) < divideDelay && !r.layout.overfull(count) {
		return false
	}
	r.wanted = nil
	r.adoptLayout(want, r.newest)
	return true
}

// working counts the upstreams that accept work, by service and data centre.
func (r *Roster) working() map[string]map[string]int {
	count := map[string]map[string]int{}
	for _, u := range r.byID {
		if !u.TakesWork() || !u.Lapses.IsZero() {
			continue
		}
		if count[u.Service] == nil {
			count[u.Service] = map[string]int{}
		}
		count[u.Service][u.DataCentre]++
	}
	return count
}

// overfull reports whether an undivided service is far above maxWhole.
func (l Layout) overfull(count map[string]map[string]int) bool {
	for service, by := range count {
		total := 0
		for _, n := range by {
			total += n
		}
		if l[service] == nil && total > divideNow*maxWhole {
			return true
		}
	}
	return false
}

// adoptLayout applies a layout. Its new groups count as changed, so that their users receive
// them.
func (r *Roster) adoptLayout(l Layout, version int64) {
	r.divided = version
	if l.equal(r.layout) {
		return // two readers came to the same at different versions
	}
	r.layout = l
	r.index()
	for g := range r.byGroup {
		r.mark(g, version)
	}
	for g := range r.known {
		if l[g.Service][g.DataCentre] != g.Of {
			delete(r.known, g)
		}
	}
	for g := range r.changed {
		if g.Of > 0 && l[g.Service][g.DataCentre] != g.Of {
			delete(r.changed, g)
		}
	}
}

// Since returns copies of the groups that changed after a version: of all groups if want is
// nil, otherwise of the whole services and those in want. It is cheap when nothing changed, as
// relays answer hundreds of such requests a second.
func (r *Roster) Since(now time.Time, version int64, want []Group) []GroupCopy {
	if r.lastChange <= version {
		return nil
	}
	var changed []Group
	for g, at := range r.changed {
		if at > version && (want == nil || g.Of == 0 || slices.Contains(want, g)) {
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

// Copies returns full copies of the groups that are known here.
func (r *Roster) Copies(now time.Time, groups []Group) []GroupCopy {
	var out []GroupCopy
	for _, g := range groups {
		if r.Knows(g) {
			out = append(out, r.copy(now, g))
		}
	}
	return out
}

// copy returns a group with warm-up times relative to now.
func (r *Roster) copy(now time.Time, g Group) GroupCopy {
	c := GroupCopy{Group: g, List: make([]Change, 0, len(r.byGroup[g]))}
	for _, u := range r.byGroup[g] {
		e := u.Entry
		e.Cold = max(u.ColdUntil.Sub(now), 0)
		c.List = append(c.List, Change{ID: u.ID, Version: u.Version, Valid: true, Entry: e})
	}
	return c
}

func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Index, b.Index))
}

// Share is an instance's answer about its list.
type Share struct {
	// Version is the version of the sender's list.
	Version int64
	// Layout is nil if the requester has it; Divided is its version.
	Layout  Layout
	Divided int64
	Groups  []GroupCopy
	// All is set if the asker asked for every group.
	All bool
}

// Question is a request for changes of the list.
type Question struct {
	// Version is the version of the requester's list, Divided that of its layout.
	Version int64
	Divided int64
	// Groups are the groups in use, New those of them that the requester lacks. All requests
	// every group.
	Groups []Group
	New    []Group
	All    bool
}

// Answer returns the changes since a question's versions, or nil if there are none. It returns
// false if this instance knows too little to answer.
func (r *Roster) Answer(now time.Time, q Question) (s *Share, ok bool) {
	if !r.Known() || q.All && !r.whole {
		return nil, false
	}
	s = &Share{Version: r.newest, Divided: r.divided, All: q.All}
	if q.Divided != r.divided {
		s.Layout = r.layout
	}
	if q.All {
		s.Groups = r.Since(now, q.Version, nil)
	} else {
		groups, fresh := r.current(q.Groups), r.current(q.New)
		if !r.knowsAll(groups) {
			return nil, false
		}
		s.Groups = r.Copies(now, fresh)
		for _, c := range r.Since(now, q.Version, groups) {
			if !slices.Contains(fresh, c.Group) {
				s.Groups = append(s.Groups, c)
			}
		}
	}
	if s.Layout == nil && len(s.Groups) == 0 {
		return nil, true
	}
	return s, true
}

func (r *Roster) knowsAll(groups []Group) bool {
	return !slices.ContainsFunc(groups, func(g Group) bool { return !r.Knows(g) })
}

// current returns the groups that the layout still has.
func (r *Roster) current(groups []Group) []Group {
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		if r.layout.Has(g) {
			out = append(out, g)
		}
	}
	return out
}

// Ask returns the question of an instance that uses some groups, or all.
func (r *Roster) Ask(use []Group, all bool) Question {
	q := Question{Version: r.newest, Divided: r.divided, All: all}
	if all {
		if !r.whole {
			q.Version = 0
		}
		return q
	}
	q.Groups = use
	for _, g := range use {
		if !r.Knows(g) {
			q.New = append(q.New, g)
		}
	}
	return q
}

// Adopt applies copies from another instance. What a copy lacks is removed at once: its sender
// has already kept lapsed entries for long enough.
func (r *Roster) Adopt(now time.Time, s Share) (left []*Upstream) {
	r.down, r.returned = false, time.Time{}
	for _, u := range r.byID {
		u.Lapses = time.Time{}
	}
	switch {
	case s.Layout != nil && s.Divided != r.divided:
		r.adoptLayout(s.Layout, s.Divided)
	case r.layout == nil:
		r.layout = Layout{} // the sender knows that nothing is divided
	}
	if s.Version < r.newest {
		return nil
	}
	for _, c := range s.Groups {
		changes := append(slices.Clip(c.List), r.missing(c.List, s.Version, r.byGroup[c.Group])...)
		left = append(left, r.Update(now, changes, s.Version)...)
		r.mark(c.Group, s.Version)
		if c.Group.Of > 0 {
			r.known[c.Group] = true
		}
	}
	r.newest = max(r.newest, s.Version)
	// Undivided services are sent to every instance.
	r.whole = s.All || len(r.layout) == 0
	return left
}

// Keep drops all divided groups but some and reports whether there were others.
func (r *Roster) Keep(groups []Group) bool {
	dropped := false
	for g := range r.byGroup {
		if g.Of == 0 || slices.Contains(groups, g) {
			continue
		}
		for _, u := range r.byGroup[g] {
			u.Gone = true // holders of the pointer must not choose it
			delete(r.byID, u.ID)
			delete(r.versions, u.ID)
		}
		dropped = true
	}
	for g := range r.known {
		if !slices.Contains(groups, g) {
			delete(r.known, g)
		}
	}
	if dropped {
		r.whole = false
		r.index()
	}
	return dropped
}
