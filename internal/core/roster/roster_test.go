package roster

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func anywhere(string) bool { return true }

func at(d time.Duration) time.Time { return start.Add(d) }

func entry(id string) Entry {
	return Entry{ID: id, Service: "pool", Address: id + ":80", Slots: 4, Born: 1}
}

func listed(id string, version int64) Change {
	return Change{ID: id, Version: version, Valid: true, Entry: entry(id)}
}

func names(list []*Upstream) (out []string) {
	for _, u := range list {
		out = append(out, u.ID)
	}
	return out
}

// A list answers from a copy that lags, or an answer is late: an upstream that
// had announced its leaving looks ready again, and would get work that is cut.
// Versions of each entry only rise, so the stale update is passed over.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 5)}, 5)
	leaving := listed("a", 9)
	leaving.Entry.Leaving = true
	if left := r.Update(start, []Change{leaving}, 9); len(left) != 1 {
		t.Fatalf("left = %v, want a", names(left))
	}
	r.Update(start, []Change{listed("a", 7)}, 7)
	if r.Find("a").TakesWork() || r.Newest() != 9 {
		t.Errorf("an old entry brought a leaving upstream back, newest %d", r.Newest())
	}
	r.Update(start, []Change{{ID: "a", Version: 12, Removed: true}}, 12)
	r.Update(start, []Change{listed("a", 10)}, 10)
	if r.Find("a") != nil {
		t.Error("an old entry brought an upstream back that is gone")
	}
	if _, ok := r.Replace(start, []Change{listed("a", 8)}, 8); ok {
		t.Error("an old copy of the whole list was taken")
	}
}

// The store is away, so upstreams can't renew their entries and these lapse,
// though all live on. Taken as gone, the whole pool would vanish and every
// request be refused. They are used until two seconds after the store's return;
// what is not back by then is gone.
func TestLapsedEntriesAreKept(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1), listed("b", 2)}, 2)
	r.StoreDown()
	r.StoreUp(at(10 * time.Second))
	gone := []Change{{ID: "a", Version: 3, Removed: true}, {ID: "b", Version: 4, Removed: true}}
	if left := r.Update(at(10100*time.Millisecond), gone, 4); left != nil {
		t.Fatalf("left = %v, want none yet", names(left))
	}
	r.Update(at(11*time.Second), []Change{listed("a", 5)}, 5)
	if left := r.Tick(at(11900 * time.Millisecond)); left != nil {
		t.Fatalf("%v given up before two seconds had passed", names(left))
	}
	if left := r.Tick(at(12100 * time.Millisecond)); len(left) != 1 || left[0].ID != "b" {
		t.Fatalf("left = %v, want b", names(left))
	}
	if !r.Find("a").TakesWork() || r.Find("b") != nil {
		t.Error("a must serve on, b be gone")
	}
}

// While nothing is wrong with the store, an entry that vanishes is an upstream
// that is gone, or leaves without a word: it gets no more work.
func TestVanishedEntryLeavesAtOnce(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1)}, 1)
	u := r.Find("a")
	left := r.Update(at(time.Second), []Change{{ID: "a", Version: 2, Removed: true}}, 2)
	if len(left) != 1 || u.TakesWork() || !u.Gone || len(r.Of("pool")) != 0 {
		t.Errorf("left = %v, upstream %+v", names(left), u)
	}
}

// Another writer leaves an entry that can't be read. It names no upstream to
// use; the others hold.
func TestUnreadableEntryHurtsNoOther(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1), listed("b", 2)}, 2)
	r.Update(start, []Change{{ID: "a", Version: 3}, {ID: "junk", Version: 4}}, 4)
	if got := names(r.Of("pool")); len(got) != 1 || got[0] != "b" {
		t.Errorf("upstreams = %v, want b", got)
	}
}

// An upstream crashes and starts again under its id. It holds and knows nothing
// of before: what is remembered of the earlier run must not be put on it.
func TestAnotherRunIsAnotherUpstream(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1)}, 1)
	old := r.Find("a")
	again := listed("a", 2)
	again.Entry.Born = 2
	left := r.Update(start, []Change{again}, 2)
	if r.Find("a") == old || !old.Gone || len(left) != 1 || !r.Find("a").TakesWork() {
		t.Error("the new run must be another upstream, the old one gone")
	}
}

// Heartbeats change every entry several times a second. Other instances need
// not hear of them.
func TestHeartbeatsAreNoChange(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1)}, 1)
	r.Update(start, []Change{listed("a", 2)}, 2)
	if len(r.Since(start, 0, nil)) != 1 || len(r.Since(start, 1, nil)) != 0 || r.Newest() != 2 {
		t.Errorf("changed since 0: %v, since 1: %v; newest %d", r.Since(start, 0, nil), r.Since(start, 1, nil), r.Newest())
	}
	copied := New()
	copied.Adopt(start, Share{Version: r.Newest(), Groups: r.Since(start, 0, nil)})
	if copied.Find("a") == nil || copied.Newest() != 2 {
		t.Error("a copy must carry the list to another instance")
	}
}

// An instance could not reach the store, and learns the list from another one
// since. An upstream goes. The other instance has waited as long as lapsed
// entries are worth; waited for once more here, or for ever as the store never
// returns to this instance, the dead upstream would get work and copies.
func TestAnotherInstancesListIsTakenAsItIs(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1), listed("b", 2)}, 2)
	r.StoreDown()
	left := r.Adopt(at(time.Second), Share{Version: 4, Groups: []GroupCopy{{Group: Whole("pool"), List: []Change{listed("b", 3)}}}})
	if len(left) != 1 || left[0].ID != "a" || r.Find("a") != nil {
		t.Errorf("left = %v, want a", names(left))
	}
}

// The store was away and an entry lapsed. One reader gives it up; another, which has
// seen newer versions, has told an instance of those before. That instance asks the
// first reader from now on for what is newer than it knows: the removal, which is no
// change in the store, must still reach it.
func TestGivenUpEntriesAreToldAgain(t *testing.T) {
	r := New()
	r.Replace(start, []Change{listed("a", 1), listed("b", 2)}, 2)
	r.StoreDown()
	r.StoreUp(start)
	r.Update(start, []Change{{ID: "a", Version: 3, Removed: true}}, 3)
	if left := r.Tick(at(lapseTimeout)); len(left) != 1 {
		t.Fatalf("left %v", names(left))
	}
	const known = 5 // of the instance, from the other reader
	if len(r.Since(start, known, nil)) != 0 {
		t.Fatal("told at once: the test shows nothing")
	}
	told := 0
	for d := time.Duration(0); d < 10*time.Second; d += 100 * time.Millisecond {
		v := int64(4 + d/(100*time.Millisecond))
		r.Update(at(lapseTimeout+d), []Change{listed("b", v)}, v)
		before := r.lastChange
		r.Tick(at(lapseTimeout + d))
		if r.lastChange != before {
			told++
		}
	}
	if len(r.Since(start, known, nil)) != 1 || told != 3 {
		t.Errorf("%d groups are newer than the instance's version, told %d times", len(r.Since(start, known, nil)), told)
	}
}
