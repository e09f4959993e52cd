package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// spread lists n upstreams of a service in each of three data centres.
func spread(service string, n int) (out []Change) {
	for _, dc := range []string{"a", "b", "c"} {
		for k := range n {
			id := fmt.Sprintf("%s-%s-%d", service, dc, k)
			out = append(out, Change{ID: id, Version: int64(len(out) + 1), Valid: true, Entry: Entry{
				ID: id, Service: service, DataCentre: dc, Address: id + ":80", Born: 1,
			}})
		}
	}
	return out
}

func reader(t *testing.T, changes ...Change) *Roster {
	t.Helper()
	r := New()
	for k := range changes {
		changes[k].Version = int64(k + 1)
	}
	if _, ok := r.Replace(start, changes, int64(len(changes))); !ok {
		t.Fatal("the list was not taken")
	}
	r.Divide(start)
	return r
}

// follow makes an instance's list follow a reader's, as its questions do.
func follow(r, reader *Roster, instance, dataCentre string) {
	layout, divided := reader.Layout()
	var own []Group
	for service := range layout {
		own = append(own, layout.Own(service, dataCentre, instance, anywhere)...)
	}
	groups := append(reader.Since(start, r.Newest(), own), reader.Copies(start, own)...)
	r.Adopt(start, Share{Version: reader.Newest(), Layout: layout, Divided: divided, Groups: groups})
	r.Keep(own)
}

// Today's services are known whole to everybody. One of hundreds of upstreams is
// divided into parts of one data centre each, which together are the service.
func TestLargeServicesAreDivided(t *testing.T) {
	r := reader(t, append(spread("small", 15), spread("large", 200)...)...)
	layout, _ := r.Layout()
	if layout["small"] != nil || layout["large"] == nil {
		t.Fatalf("layout %v", layout)
	}
	seen := map[string]bool{}
	for _, g := range layout.Groups("large", "") {
		list := r.In(g)
		if len(list) < 8 || len(list) > 48 {
			t.Errorf("%s has %d upstreams", g.Name(), len(list))
		}
		for _, u := range list {
			if u.DataCentre != g.DataCentre || seen[u.ID] {
				t.Errorf("%s holds %s of %s", g.Name(), u.ID, u.DataCentre)
			}
			seen[u.ID] = true
		}
		if ParseGroup(g.Name()) != g {
			t.Errorf("name %s is read as %+v", g.Name(), ParseGroup(g.Name()))
		}
	}
	if len(seen) != 600 {
		t.Errorf("%d of 600 upstreams are in a group", len(seen))
	}
	for _, name := range []string{"small", "a/b", "s/dc/2/2", "s/dc/-1/4", "s/dc/x/4"} {
		if ParseGroup(name) != Whole(name) {
			t.Errorf("%q is read as a part", name)
		}
	}
}

// A service's upstreams come and go around the border of its division. Each new
// division makes new pools, whose homes know nothing, so that the border must be
// wide.
func TestSmallChangesDoNotDivideAnew(t *testing.T) {
	count := func(n int) map[string]map[string]int { return map[string]map[string]int{"s": {"a": n}} }
	var l Layout
	for _, c := range []struct{ n, want int }{{64, 0}, {65, 4}, {60, 4}, {49, 4}, {48, 0}, {64, 0}, {200, 8}, {260, 8}, {380, 8}, {400, 16}, {300, 16}, {150, 8}} {
		l = divide(l, count(c.n))
		if got := l["s"]["a"]; got != c.want {
			t.Errorf("%d upstreams: %d parts, want %d", c.n, got, c.want)
		}
	}
}

// An outage of the store, or a release, doubles the entries of a service for some
// seconds. Divided and made whole again meanwhile, every home would lose its pool and
// the next one know nothing of what runs.
func TestABriefCrowdDoesNotDivideAService(t *testing.T) {
	r := reader(t, spread("s", 20)...)
	v := r.Newest()
	var doubled, removed []Change
	for k, c := range spread("s", 30)[:45] {
		c.ID, c.Entry.ID = "new-"+c.ID, "new-"+c.ID
		c.Version = v + int64(k) + 1
		doubled = append(doubled, c)
		removed = append(removed, Change{ID: c.ID, Version: c.Version + 45, Removed: true})
	}
	r.Update(at(0), doubled, v+45)
	for _, d := range []time.Duration{0, divideDelay / 2, divideDelay - time.Second} {
		if r.Divide(at(d)) {
			t.Fatalf("divided after %s of crowding", d)
		}
	}
	r.Update(at(divideDelay-time.Second), removed, v+90)
	if r.Divide(at(divideDelay)) {
		t.Fatal("divided though the crowd has gone")
	}
	for k := range doubled {
		doubled[k].Version += 100
	}
	r.Update(at(divideDelay), doubled, v+200)
	r.Divide(at(divideDelay))
	if r.Divide(at(2*divideDelay-time.Second)) || !r.Divide(at(2*divideDelay)) {
		t.Error("a service that stays too large must be divided after a while, counted anew")
	}
}

// Upstreams that leave and entries that lapsed in an outage are listed beside those that
// replace them; counted, they would divide a service that has not grown.
func TestLeavingUpstreamsDoNotDivideAService(t *testing.T) {
	changes := spread("s", 40)
	for k := range changes {
		changes[k].Entry.Leaving = k%2 == 0
	}
	r := reader(t, changes...)
	if layout, _ := r.Layout(); layout["s"] != nil {
		t.Errorf("60 upstreams that take work are divided: %v", layout)
	}
}

// An instance that followed others reads the store from now on, right after an outage.
// The service is as those have decided; its first look at the list decides nothing.
func TestANewReaderKeepsTheDivision(t *testing.T) {
	r := reader(t, spread("s", 20)...)
	mine := New()
	follow(mine, r, "i1", "a")
	if _, ok := mine.Replace(at(time.Second), spread("s", 30), r.Newest()+100); !ok {
		t.Fatal("the list was not taken")
	}
	if mine.Divide(at(time.Second)) {
		t.Error("a new reader divides the service at once")
	}
}

// An instance that uses two parts of a large service hears of these only, of what
// joins and what goes there, and forgets them when it uses others.
func TestAnInstanceKnowsItsGroupsOnly(t *testing.T) {
	all := append(spread("small", 2), spread("large", 200)...)
	r := reader(t, all...)
	mine := New()
	follow(mine, r, "i1", "b")
	if n := len(mine.Of("large")); n < 16 || n > 96 {
		t.Fatalf("%d upstreams of the large service are known", n)
	}
	if len(mine.Of("small")) != 6 {
		t.Errorf("%d upstreams of the small service are known, want 6", len(mine.Of("small")))
	}
	layout, _ := r.Layout()
	own := layout.Own("large", "b", "i1", anywhere)
	for _, g := range own {
		if !mine.Knows(g) || len(mine.In(g)) != len(r.In(g)) || g.DataCentre != "b" {
			t.Errorf("%s: %d known of %d", g.Name(), len(mine.In(g)), len(r.In(g)))
		}
	}
	gone := mine.In(own[0])[0]
	v := r.Newest()
	r.Update(at(time.Second), []Change{{ID: gone.ID, Version: v + 1, Removed: true}}, v+1)
	if told := r.Since(start, v, own); len(told) != 1 || told[0].Group != own[0] {
		t.Errorf("%d groups are told of, want the one that changed", len(told))
	}
	if other := r.Since(start, v, nil); len(other) != 1 {
		t.Errorf("%d groups changed, want one", len(other))
	}
	follow(mine, r, "i1", "b")
	if mine.Find(gone.ID) != nil || !gone.Gone {
		t.Error("what went from its group must go here, too")
	}
	if mine.Divide(start) {
		t.Error("the service is divided anew by the few upstreams that are known here")
	}
	mine.Keep(nil)
	if len(mine.Of("large")) != 0 || len(mine.Of("small")) != 6 || mine.Knows(own[0]) {
		t.Error("groups that are not used must be forgotten, whole services kept")
	}
}

// A service grows past the border while an instance follows it: it is told of the
// division with its groups, and keeps those that it uses.
func TestADivisionIsFollowed(t *testing.T) {
	all := spread("s", 20)
	r := reader(t, all...)
	mine := New()
	follow(mine, r, "i1", "a")
	if len(mine.Of("s")) != 60 {
		t.Fatalf("%d known", len(mine.Of("s")))
	}
	var more []Change
	v := r.Newest()
	for k, c := range spread("s", 60) {
		c.Version = v + int64(k) + 1
		more = append(more, c)
	}
	r.Update(at(time.Second), more, v+int64(len(more)))
	if !mine.Whole() {
		t.Error("an instance that was told all of undivided services does not know all")
	}
	if !r.Divide(start) {
		t.Fatal("180 upstreams are not divided")
	}
	follow(mine, r, "i1", "a")
	layout, _ := r.Layout()
	for _, g := range layout.Own("s", "a", "i1", anywhere) {
		if !slices.Equal(names(mine.In(g)), names(r.In(g))) {
			t.Errorf("%s: %v, want %v", g.Name(), names(mine.In(g)), names(r.In(g)))
		}
	}
	for _, u := range mine.Of("s") {
		if u.DataCentre != "a" {
			t.Errorf("%s is still known", u.ID)
		}
	}
}

// Ids of upstreams are new each time. Versions of those that went long ago must not
// pile up, but a stale update about one that has just gone must not bring it back.
func TestVersionsOfTheGoneAreForgotten(t *testing.T) {
	r := New()
	for k := range 1000 {
		id, v := fmt.Sprint("u", k), int64(2*k+1)
		r.Update(at(time.Duration(k)*time.Second), []Change{listed(id, v)}, v)
		r.Update(at(time.Duration(k)*time.Second), []Change{{ID: id, Version: v + 1, Removed: true}}, v+1)
		r.Tick(at(time.Duration(k) * time.Second))
	}
	if len(r.versions) > 62 || len(r.gone) > 62 {
		t.Errorf("%d versions and %d gone upstreams are remembered", len(r.versions), len(r.gone))
	}
	r.Update(at(1001*time.Second), []Change{listed("u999", 1999)}, 1999)
	if r.Find("u999") != nil {
		t.Error("a stale update brought an upstream back")
	}
}

// Nearly all questions of a large fleet find nothing new: 300 instances ask 2.5 times
// a second each. Answered by a look through all groups, they took a fifth of a relay's
// processor.
func TestAnAnswerWithoutAnUpdateCostsNothing(t *testing.T) {
	r := reader(t, spread("large", 1000)...)
	layout, divided := r.Layout()
	q := Question{Version: r.Newest(), Divided: divided, Groups: layout.Own("large", "a", "i1", anywhere)}
	if allocs := testing.AllocsPerRun(100, func() { r.Answer(start, q) }); allocs > 3 {
		t.Errorf("%.0f allocations", allocs)
	}
}

// The relays have failed, and an instance asks another one that knows only the groups
// that it uses itself. Its answer would carry a newer version and lack the asker's
// groups: the asker would take itself for up to date, and send work to upstreams that
// have left.
func TestWhoKnowsTooLittleDoesNotAnswer(t *testing.T) {
	r := reader(t, spread("large", 200)...)
	layout, divided := r.Layout()
	mine := New()
	follow(mine, r, "i1", "b")
	own := layout.Own("large", "b", "i1", anywhere)
	other := layout.Groups("large", "c")[:1]
	for _, c := range []struct {
		name string
		q    Question
		ok   bool
	}{
		{"its own groups", Question{Divided: divided, Groups: own}, true},
		{"a group that it does not know", Question{Divided: divided, Groups: other, New: other}, false},
		{"everything", Question{Divided: divided, All: true}, false},
	} {
		if _, ok := mine.Answer(start, c.q); ok != c.ok {
			t.Errorf("%s: answered %v, want %v", c.name, ok, c.ok)
		}
		if _, ok := r.Answer(start, c.q); !ok {
			t.Errorf("%s: a reader does not answer", c.name)
		}
	}
	if _, ok := New().Answer(start, Question{}); ok {
		t.Error("an instance that knows nothing answers")
	}
}
