package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// spread returns entries of n upstreams of a service in each of three data centres.
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

// newReader returns the roster of an instance that reads the store, with the given entries and
// a layout.
func newReader(t *testing.T, changes ...Change) *Roster {
	t.Helper()
	r := New()
	for k := range changes {
		changes[k].Version = int64(k + 1)
	}
	if _, ok := r.Replace(start, changes, int64(len(changes))); !ok {
		t.Fatal("Replace rejected a list newer than the known one")
	}
	r.Divide(start)
	return r
}

// syncFrom updates an instance's roster from that of a reader, as the responses to its requests
// do.
func syncFrom(r, reader *Roster, instance, dataCentre string) {
	layout, layoutVersion := reader.Layout()
	var own []Group
	for service := range layout {
		own = append(own, layout.GroupsFor(service, dataCentre, instance, allOpen)...)
	}
	groups := append(reader.Since(start, r.NewestVersion(), own), reader.Copies(start, own)...)
	r.Adopt(start, ListUpdate{Version: reader.NewestVersion(), Layout: layout, LayoutVersion: layoutVersion, Groups: groups})
	r.Keep(own)
}

// A service with few upstreams stays undivided and is known completely by every instance. A
// service with hundreds of upstreams is divided into groups, each within one data centre, which
// together contain every upstream once.
func TestLargeServicesAreDivided(t *testing.T) {
	r := newReader(t, append(spread("small", 15), spread("large", 200)...)...)
	layout, _ := r.Layout()
	if layout["small"] != nil || layout["large"] == nil {
		t.Fatalf("layout = %v, want the large service divided and the small one undivided", layout)
	}
	seen := map[string]bool{}
	for _, g := range layout.Groups("large", "") {
		list := r.UpstreamsIn(g)
		if len(list) < 8 || len(list) > 48 {
			t.Errorf("group %s has %d upstreams, want 8 to 48", g.Name(), len(list))
		}
		for _, u := range list {
			if u.DataCentre != g.DataCentre || seen[u.ID] {
				t.Errorf("group %s contains upstream %s of data centre %s, want only upstreams of its own data centre, each in one group", g.Name(), u.ID, u.DataCentre)
			}
			seen[u.ID] = true
		}
		if ParseGroup(g.Name()) != g {
			t.Errorf("ParseGroup(%s) = %+v, want the group with this name", g.Name(), ParseGroup(g.Name()))
		}
	}
	if len(seen) != 600 {
		t.Errorf("%d upstreams are in a group, want all 600", len(seen))
	}
	for _, name := range []string{"small", "a/b", "s/dc/2/2", "s/dc/-1/4", "s/dc/x/4"} {
		if ParseGroup(name) != Undivided(name) {
			t.Errorf("ParseGroup(%q) returns a group of a divided service, want that of an undivided one", name)
		}
	}
}

// The number of upstreams of a service varies around a threshold. Each new layout creates pools
// whose homes start without state, so small changes must keep the layout.
func TestSmallChangesKeepTheLayout(t *testing.T) {
	count := func(n int) map[string]map[string]int { return map[string]map[string]int{"s": {"a": n}} }
	var l Layout
	for _, c := range []struct{ n, want int }{{64, 0}, {65, 4}, {60, 4}, {49, 4}, {48, 0}, {64, 0}, {200, 8}, {260, 8}, {380, 8}, {400, 16}, {300, 16}, {150, 8}} {
		l = divide(l, count(c.n))
		if got := l["s"]["a"]; got != c.want {
			t.Errorf("%d upstreams are divided into %d groups, want %d", c.n, got, c.want)
		}
	}
}

// An outage of the store or a release doubles the entries of a service for some seconds. If the
// service were divided and merged again within these seconds, each home would lose its pool and the
// next home would know nothing of the running generations.
func TestABriefIncreaseDoesNotDivideAService(t *testing.T) {
	r := newReader(t, spread("s", 20)...)
	v := r.NewestVersion()
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
			t.Fatalf("service divided %s after the increase, want no division before divideDelay", d)
		}
	}
	r.Update(at(divideDelay-time.Second), removed, v+90)
	if r.Divide(at(divideDelay)) {
		t.Fatal("service divided after the added upstreams were removed, want no division")
	}
	for k := range doubled {
		doubled[k].Version += 100
	}
	r.Update(at(divideDelay), doubled, v+200)
	r.Divide(at(divideDelay))
	if r.Divide(at(2*divideDelay-time.Second)) || !r.Divide(at(2*divideDelay)) {
		t.Error("service divided a second before divideDelay after the second increase, or not divided at divideDelay, want a division at divideDelay")
	}
}

// Leaving upstreams and those with expired entries are listed beside their replacements. If
// they were counted, they would divide a service that has not grown.
func TestLeavingUpstreamsDoNotDivideAService(t *testing.T) {
	changes := spread("s", 40)
	for k := range changes {
		changes[k].Entry.Leaving = k%2 == 0
	}
	r := newReader(t, changes...)
	if layout, _ := r.Layout(); layout["s"] != nil {
		t.Errorf("layout = %v, want a service with 60 upstreams that accept work undivided", layout)
	}
}

// An instance that followed others starts to read the store right after an outage. It must keep
// the layout that the other readers decided on instead of deciding from its first list.
func TestANewReaderKeepsTheLayout(t *testing.T) {
	r := newReader(t, spread("s", 20)...)
	follower := New()
	syncFrom(follower, r, "i1", "a")
	if _, ok := follower.Replace(at(time.Second), spread("s", 30), r.NewestVersion()+100); !ok {
		t.Fatal("Replace rejected a list newer than the known one")
	}
	if follower.Divide(at(time.Second)) {
		t.Error("a new reader changed the layout on its first list, want no change before divideDelay")
	}
}

// An instance that uses two groups of a large service receives only these groups and their
// changes, and drops them when it uses others.
func TestAnInstanceKnowsItsGroupsOnly(t *testing.T) {
	all := append(spread("small", 2), spread("large", 200)...)
	r := newReader(t, all...)
	follower := New()
	syncFrom(follower, r, "i1", "b")
	if n := len(follower.UpstreamsOf("large")); n < 16 || n > 96 {
		t.Fatalf("%d upstreams of the large service are known, want 16 to 96", n)
	}
	if len(follower.UpstreamsOf("small")) != 6 {
		t.Errorf("%d upstreams of the small service are known, want 6", len(follower.UpstreamsOf("small")))
	}
	layout, _ := r.Layout()
	own := layout.GroupsFor("large", "b", "i1", allOpen)
	for _, g := range own {
		if !follower.HasGroup(g) || len(follower.UpstreamsIn(g)) != len(r.UpstreamsIn(g)) || g.DataCentre != "b" {
			t.Errorf("group %s: %d upstreams known, want all %d of a group in data centre b", g.Name(), len(follower.UpstreamsIn(g)), len(r.UpstreamsIn(g)))
		}
	}
	removed := follower.UpstreamsIn(own[0])[0]
	v := r.NewestVersion()
	r.Update(at(time.Second), []Change{{ID: removed.ID, Version: v + 1, Removed: true}}, v+1)
	if changed := r.Since(start, v, own); len(changed) != 1 || changed[0].Group != own[0] {
		t.Errorf("Since returns %d of the follower's groups, want only the one that changed", len(changed))
	}
	if changed := r.Since(start, v, nil); len(changed) != 1 {
		t.Errorf("Since returns %d of all groups, want only the one that changed", len(changed))
	}
	syncFrom(follower, r, "i1", "b")
	if follower.Find(removed.ID) != nil || !removed.Removed {
		t.Error("an upstream that the reader removed is still in the follower's list, want it removed")
	}
	if follower.Divide(start) {
		t.Error("an instance that knows only some groups changed the layout, want no change")
	}
	follower.Keep(nil)
	if len(follower.UpstreamsOf("large")) != 0 || len(follower.UpstreamsOf("small")) != 6 || follower.HasGroup(own[0]) {
		t.Error("Keep(nil) kept a group of the divided service or dropped an upstream of the undivided one, want 0 groups and 6 upstreams")
	}
}

// A service grows beyond maxUndivided while an instance follows a reader. The follower receives
// the new layout together with its groups and drops the upstreams of all other groups.
func TestFollowersAdoptANewLayout(t *testing.T) {
	all := spread("s", 20)
	r := newReader(t, all...)
	follower := New()
	syncFrom(follower, r, "i1", "a")
	if len(follower.UpstreamsOf("s")) != 60 {
		t.Fatalf("%d upstreams of the undivided service are known, want 60", len(follower.UpstreamsOf("s")))
	}
	var more []Change
	v := r.NewestVersion()
	for k, c := range spread("s", 60) {
		c.Version = v + int64(k) + 1
		more = append(more, c)
	}
	r.Update(at(time.Second), more, v+int64(len(more)))
	if !follower.Complete() {
		t.Error("a follower whose services are all undivided has no complete list, want a complete one")
	}
	if !r.Divide(start) {
		t.Fatal("a service with 180 upstreams was not divided, want a division")
	}
	syncFrom(follower, r, "i1", "a")
	layout, _ := r.Layout()
	for _, g := range layout.GroupsFor("s", "a", "i1", allOpen) {
		if !slices.Equal(names(follower.UpstreamsIn(g)), names(r.UpstreamsIn(g))) {
			t.Errorf("group %s: upstreams %v, want %v", g.Name(), names(follower.UpstreamsIn(g)), names(r.UpstreamsIn(g)))
		}
	}
	for _, u := range follower.UpstreamsOf("s") {
		if u.DataCentre != "a" {
			t.Errorf("upstream %s of a group that is not used is still known, want it dropped", u.ID)
		}
	}
}

// Each new upstream has a new id. The versions of upstreams that were removed long ago must not
// accumulate, but a stale update about a recently removed upstream must not restore it.
func TestTombstonesExpire(t *testing.T) {
	r := New()
	for k := range 1000 {
		id, v := fmt.Sprint("u", k), int64(2*k+1)
		r.Update(at(time.Duration(k)*time.Second), []Change{listed(id, v)}, v)
		r.Update(at(time.Duration(k)*time.Second), []Change{{ID: id, Version: v + 1, Removed: true}}, v+1)
		r.Tick(at(time.Duration(k) * time.Second))
	}
	if len(r.versions) > 62 || len(r.removedAt) > 62 {
		t.Errorf("%d versions and %d tombstones are kept, want at most 62 each", len(r.versions), len(r.removedAt))
	}
	r.Update(at(1001*time.Second), []Change{listed("u999", 1999)}, 1999)
	if r.Find("u999") != nil {
		t.Error("a stale update restored a removed upstream, want it ignored")
	}
}

// Nearly all requests in a large fleet find no change: 300 instances send 2.5 requests per second
// each. When each request scanned all groups, these requests took a fifth of a relay's processor.
func TestResponseWithoutChangesIsCheap(t *testing.T) {
	r := newReader(t, spread("large", 1000)...)
	layout, layoutVersion := r.Layout()
	q := ListRequest{Version: r.NewestVersion(), LayoutVersion: layoutVersion, Groups: layout.GroupsFor("large", "a", "i1", allOpen)}
	if allocs := testing.AllocsPerRun(100, func() { r.Respond(start, "x", q) }); allocs > 3 {
		t.Errorf("Respond without changes makes %.0f allocations, want at most 3", allocs)
	}
}

// When the relays have failed, an instance queries another instance that knows only the groups
// which that other instance uses. The response would carry a newer version but lack the requester's
// groups: the requester would consider itself up to date and send work to upstreams that have left.
func TestRespondFailsForUnknownGroups(t *testing.T) {
	r := newReader(t, spread("large", 200)...)
	layout, layoutVersion := r.Layout()
	follower := New()
	syncFrom(follower, r, "i1", "b")
	own := layout.GroupsFor("large", "b", "i1", allOpen)
	other := layout.Groups("large", "c")[:1]
	for _, c := range []struct {
		name string
		q    ListRequest
		ok   bool
	}{
		{"the follower's own groups", ListRequest{LayoutVersion: layoutVersion, Groups: own}, true},
		{"a group unknown to the follower", ListRequest{LayoutVersion: layoutVersion, Groups: other, Missing: other}, false},
		{"all groups", ListRequest{LayoutVersion: layoutVersion, All: true}, false},
	} {
		if _, ok := follower.Respond(start, "x", c.q); ok != c.ok {
			t.Errorf("request for %s: Respond of a follower returns %v, want %v", c.name, ok, c.ok)
		}
		if _, ok := r.Respond(start, "x", c.q); !ok {
			t.Errorf("request for %s: Respond of a reader returns false, want true", c.name)
		}
	}
	if _, ok := New().Respond(start, "x", ListRequest{}); ok {
		t.Error("Respond of an instance without a list returns true, want false")
	}
}

// No upstream is listed while an instance starts. If the response of its source omits the empty list, the instance
// is not ready until an upstream joins.
func TestAnEmptyListIsSentToAnInstanceWithoutAList(t *testing.T) {
	reader, r := newReader(t), New()
	reader.newest = 7
	s, ok := reader.Respond(start, "x", r.Request(nil, false))
	if !ok || s == nil {
		t.Fatalf("response %+v, %v, want the empty list", s, ok)
	}
	r.Adopt(start, *s)
	if !r.Received() || !r.Complete() || r.Len() != 0 {
		t.Errorf("received %v, complete %v, %d upstreams, want the empty list known", r.Received(), r.Complete(), r.Len())
	}
	if s, ok := reader.Respond(start, "x", r.Request(nil, false)); !ok || s != nil {
		t.Errorf("second response %+v, %v, want none", s, ok)
	}
}
