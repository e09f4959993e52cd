package roster

import "testing"

func entryOf(id, software string, version int64) Change {
	c := listed(id, version)
	c.Entry.Software = software
	return c
}

// update returns the list of a reader as an instance receives it; states is false if the reader is of an
// earlier release, which does not pass on the software of upstreams.
func update(reader *Roster, q ListRequest, states bool) ListUpdate {
	s, _ := reader.Respond(start, "x", q)
	if s == nil {
		return ListUpdate{}
	}
	if !states {
		s.StatesSoftware = false
		for _, g := range s.Groups {
			for k := range g.List {
				g.List[k].Entry.Software = ""
			}
		}
	}
	return *s
}

// An instance that got its list from an earlier release does not know the software of any upstream. It must
// learn it from the next source that states it, though no entry has changed since, and must not lose it to
// an earlier release again.
func TestSoftwareIsLearnedAfterAnEarlierRelease(t *testing.T) {
	reader, r := newReader(t, entryOf("a", "v1", 3), entryOf("b", "v2", 4)), New()
	r.Adopt(start, update(reader, r.Request(nil, true), false))
	if u := r.Find("a"); u.Software != "" || !r.LacksSoftware() {
		t.Fatalf("software %q, lacks %v after a list without software", u.Software, r.LacksSoftware())
	}
	r.Adopt(start, update(reader, r.Request(nil, true).RequestFull(), true))
	if r.Find("a").Software != "v1" || r.Find("b").Software != "v2" || r.LacksSoftware() {
		t.Fatalf("software %q and %q, lacks %v; want v1 and v2", r.Find("a").Software, r.Find("b").Software, r.LacksSoftware())
	}
	reader.Update(start, []Change{entryOf("a", "v1", 6), {ID: "b", Version: 7, Removed: true}}, 7)
	known := r.Find("a")
	r.Adopt(start, update(reader, r.Request(nil, true), false))
	if known != r.Find("a") || known.Software != "v1" {
		t.Errorf("software %q after a list of an earlier release, want v1 of the same run", r.Find("a").Software)
	}
}
