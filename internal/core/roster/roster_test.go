package roster

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// allOpen treats every data centre as open.
func allOpen(string) bool { return true }

func at(d time.Duration) time.Time { return start.Add(d) }

func entry(id string) Entry {
	return Entry{ID: id, Service: "pool", Address: id + ":80", Slots: 4, Born: 1}
}

// listed returns a change with a valid entry.
func listed(id string, version int64) Change {
	return Change{ID: id, Version: version, Valid: true, Entry: entry(id)}
}

func names(list []*Upstream) (out []string) {
	for _, u := range list {
		out = append(out, u.ID)
	}
	return out
}

// A list response comes from a stale replica or arrives late: an upstream that had announced its
// shutdown looks ready again and would receive work that is then broken off. The version of an entry
// only increases, so stale updates are ignored.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 5)}, 5)
	leaving := listed("a", 9)
	leaving.Entry.Leaving = true
	if left := r.Update(start, []Change{leaving}, 9); len(left) != 1 {
		t.Fatalf("left = %v after upstream a announced its shutdown, want a", names(left))
	}
	r.Update(start, []Change{listed("a", 7)}, 7)
	if r.Find("a").TakesWork() || r.NewestVersion() != 9 {
		t.Errorf("after a stale entry: upstream a accepts work although it is leaving, or the newest version = %d, want 9", r.NewestVersion())
	}
	r.Update(start, []Change{{ID: "a", Version: 12, Removed: true}}, 12)
	r.Update(start, []Change{listed("a", 10)}, 10)
	if r.Find("a") != nil {
		t.Error("a stale entry restored a removed upstream, want it ignored")
	}
	if _, ok := r.Replace(start, []Change{listed("a", 8)}, 8); ok {
		t.Error("Replace accepted a copy of the list older than the known one, want it rejected")
	}
}

// During an outage of the store, upstreams cannot renew their entries, which expire although
// the upstreams are alive. If they were dropped at once, the pool would be empty and every
// request refused. They stay in use until expiryGrace after the outage; upstreams whose entries
// are not renewed by then are dropped.
func TestExpiredEntriesAreKeptAfterAnOutage(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1), listed("b", 2)}, 2)
	r.StoreDown()
	r.StoreUp(at(10 * time.Second))
	removals := []Change{{ID: "a", Version: 3, Removed: true}, {ID: "b", Version: 4, Removed: true}}
	if left := r.Update(at(10100*time.Millisecond), removals, 4); left != nil {
		t.Fatalf("left = %v right after the outage, want none", names(left))
	}
	r.Update(at(11*time.Second), []Change{listed("a", 5)}, 5)
	if left := r.Tick(at(11900 * time.Millisecond)); left != nil {
		t.Fatalf("upstreams %v dropped before expiryGrace had passed, want none", names(left))
	}
	if left := r.Tick(at(12100 * time.Millisecond)); len(left) != 1 || left[0].ID != "b" {
		t.Fatalf("left = %v after expiryGrace, want b, whose entry was not renewed", names(left))
	}
	if !r.Find("a").TakesWork() || r.Find("b") != nil {
		t.Error("after expiryGrace: upstream a accepts no work although its entry was renewed, or upstream b is still known, want a to accept work and b dropped")
	}
}

// While the store works, an entry is removed only if its upstream has stopped or leaves without
// notice. The upstream must receive no more work.
func TestRemovedEntryIsDroppedAtOnce(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1)}, 1)
	u := r.Find("a")
	left := r.Update(at(time.Second), []Change{{ID: "a", Version: 2, Removed: true}}, 2)
	if len(left) != 1 || u.TakesWork() || !u.Removed || len(r.UpstreamsOf("pool")) != 0 {
		t.Errorf("left = %v, upstream = %+v, want the upstream removed and not accepting work", names(left), u)
	}
}

// Another program writes an entry that cannot be decoded. The entry yields no upstream, and the
// other entries stay in use.
func TestInvalidEntryAffectsNoOther(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1), listed("b", 2)}, 2)
	r.Update(start, []Change{{ID: "a", Version: 3}, {ID: "junk", Version: 4}}, 4)
	if got := names(r.UpstreamsOf("pool")); len(got) != 1 || got[0] != "b" {
		t.Errorf("upstreams = %v, want b, which has a valid entry", got)
	}
}

// An upstream crashes and starts again under the same id, without any state of its earlier run.
// State that is kept about the earlier run must not be attributed to the new one.
func TestNewRunIsANewUpstream(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1)}, 1)
	old := r.Find("a")
	restarted := listed("a", 2)
	restarted.Entry.Born = 2
	left := r.Update(start, []Change{restarted}, 2)
	if r.Find("a") == old || !old.Removed || len(left) != 1 || !r.Find("a").TakesWork() {
		t.Error("after a restart: the upstream of the old run is still in use or not removed, or that of the new run accepts no work, want the old one replaced by a new one")
	}
}

// Heartbeats change every entry several times per second. They must not be sent to other
// instances.
func TestHeartbeatsAreNoChange(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1)}, 1)
	r.Update(start, []Change{listed("a", 2)}, 2)
	if len(r.Since(start, 0, nil)) != 1 || len(r.Since(start, 1, nil)) != 0 || r.NewestVersion() != 2 {
		t.Errorf("changed since 0: %v, want the group; since 1: %v, want none; newest version = %d, want 2", r.Since(start, 0, nil), r.Since(start, 1, nil), r.NewestVersion())
	}
	copied := New()
	copied.Adopt(start, ListUpdate{Version: r.NewestVersion(), Groups: r.Since(start, 0, nil)})
	if copied.Find("a") == nil || copied.NewestVersion() != 2 {
		t.Error("after Adopt of the changes since version 0: upstream a is missing or the newest version is not 2, want both")
	}
}

// An instance that cannot reach the store follows the list of another instance. The other
// instance has already waited for expired entries to be renewed. If this instance waited again,
// or forever because the store never responds to it, a dead upstream would receive work and
// copies.
func TestAdoptDropsMissingUpstreamsAtOnce(t *testing.T) {
	r := New()
	r.Update(start, []Change{listed("a", 1), listed("b", 2)}, 2)
	r.StoreDown()
	left := r.Adopt(at(time.Second), ListUpdate{Version: 4, Groups: []GroupCopy{{Group: Undivided("pool"), List: []Change{listed("b", 3)}}}})
	if len(left) != 1 || left[0].ID != "a" || r.Find("a") != nil {
		t.Errorf("left = %v, want upstream a, which the copy does not contain", names(left))
	}
}

// An entry expires in an outage, and one reader drops it. Another reader, which had seen newer
// versions, has already sent these to an instance. When that instance requests only changes
// newer than its version from the first reader, it must still receive the drop, for which the
// store has no change.
func TestDroppedExpiredEntriesAreReannounced(t *testing.T) {
	r := New()
	r.Replace(start, []Change{listed("a", 1), listed("b", 2)}, 2)
	r.StoreDown()
	r.StoreUp(start)
	r.Update(start, []Change{{ID: "a", Version: 3, Removed: true}}, 3)
	if left := r.Tick(at(expiryGrace)); len(left) != 1 {
		t.Fatalf("left = %v after expiryGrace, want a", names(left))
	}
	const known = 5 // the version that the instance received from the other reader
	if len(r.Since(start, known, nil)) != 0 {
		t.Fatal("the drop is newer than the version that the instance knows: the test does not cover the fault")
	}
	reannounced := 0
	for d := time.Duration(0); d < 10*time.Second; d += 100 * time.Millisecond {
		v := int64(4 + d/(100*time.Millisecond))
		r.Update(at(expiryGrace+d), []Change{listed("b", v)}, v)
		before := r.lastChange
		r.Tick(at(expiryGrace + d))
		if r.lastChange != before {
			reannounced++
		}
	}
	if len(r.Since(start, known, nil)) != 1 || reannounced != 3 {
		t.Errorf("%d groups are newer than the instance's version, want 1; announced again %d times, want 3", len(r.Since(start, known, nil)), reannounced)
	}
}
