package roster

import "slices"

// LacksSoftware reports whether the list came from an instance that does not state the software of
// upstreams. It must then be requested in full from one that does: unchanged entries are not sent again.
func (r *Roster) LacksSoftware() bool { return r.lacksSoftware }

// RequestFull makes a request one for everything that it asks for, whatever the requester has.
func (q ListRequest) RequestFull() ListRequest {
	q.Version, q.Missing = 0, q.Groups
	return q
}

// adoptSoftware completes an update with what is known of the software of the same runs if the sender does
// not state it, or else fills it in for entries that were received without it.
func (r *Roster) adoptSoftware(s ListUpdate) {
	switch {
	case !s.StatesSoftware && len(s.Groups) > 0:
		r.lacksSoftware = true
	case s.StatesSoftware && r.lacksSoftware:
		r.lacksSoftware = !s.covers(r.byGroup)
	}
	for _, group := range s.Groups {
		for k := range group.List {
			c := &group.List[k]
			u := r.byID[c.ID]
			switch {
			case u == nil || u.Run() != c.Entry.Run():
			case !s.StatesSoftware:
				c.Entry.Software = u.Software
			case u.Software == "" && c.Version == r.versions[c.ID]:
				u.Software = c.Entry.Software
			}
		}
	}
}

// covers reports whether an update has a copy of each group of which upstreams are known.
func (s *ListUpdate) covers(known map[Group][]*Upstream) bool {
	for group := range known {
		if !slices.ContainsFunc(s.Groups, func(c GroupCopy) bool { return c.Group == group }) {
			return false
		}
	}
	return true
}

// Software lists the software versions in the order of the entries.
func (s *ListUpdate) Software() (out []string) {
	for _, group := range s.Groups {
		for _, c := range group.List {
			out = append(out, c.Entry.Software)
		}
	}
	return out
}

// SetSoftware sets the software versions in the order of the entries, and reports whether there is one for
// each.
func (s *ListUpdate) SetSoftware(software []string) bool {
	if len(s.Software()) != len(software) {
		return false
	}
	s.StatesSoftware = true
	for _, group := range s.Groups {
		for k := range group.List {
			group.List[k].Entry.Software, software = software[0], software[1:]
		}
	}
	return true
}
