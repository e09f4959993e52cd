package roster

import (
	"testing"
	"time"
)

const (
	window = 20 * time.Second
	maxAge = 2 * time.Second
)

// follow confirms the list each second for some time and returns the time after it.
func follow(r *Roster, from time.Time, d time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(time.Second) {
		r.Confirm(now)
		r.Tick(now)
	}
	return now.Add(-time.Second)
}

// All upstreams that are listed have one version, but one of another version can have begun the stream that a caller
// takes up. It must not go on at the only version that is listed.
func TestSoleSoftwareNeedsTheWholeTime(t *testing.T) {
	for name, c := range map[string]struct {
		play func(r *Roster, now time.Time) time.Time
		want bool
	}{
		"one version all the time": {func(r *Roster, now time.Time) time.Time { return follow(r, now, 30*time.Second) }, true},
		"the instance has just started": {func(r *Roster, now time.Time) time.Time {
			return follow(r, now, 10*time.Second)
		}, false},
		"another version was removed within the window": {func(r *Roster, now time.Time) time.Time {
			r.Update(now, []Change{entryOf("b", "v2", 5)}, 5)
			now = follow(r, now, 30*time.Second)
			r.Update(now, []Change{{ID: "b", Version: 6, Removed: true}}, 6)
			return follow(r, now, 10*time.Second)
		}, false},
		"another version was removed before the window": {func(r *Roster, now time.Time) time.Time {
			r.Update(now, []Change{entryOf("b", "v2", 5)}, 5)
			r.Update(now, []Change{{ID: "b", Version: 6, Removed: true}}, 6)
			return follow(r, now, 30*time.Second)
		}, true},
		"an upstream of the version started again with another one and left": {func(r *Roster, now time.Time) time.Time {
			now = follow(r, now, 25*time.Second)
			r.Update(now, []Change{entryOf("a2", "v2", 5)}, 5)
			r.Update(now, []Change{entryOf("a2", "v1", 6)}, 6)
			return now
		}, false},
		"another version is listed": {func(r *Roster, now time.Time) time.Time {
			now = follow(r, now, 30*time.Second)
			r.Update(now, []Change{entryOf("b", "v2", 5)}, 5)
			return now
		}, false},
		"an upstream of unknown software": {func(r *Roster, now time.Time) time.Time {
			r.Update(now, []Change{entryOf("b", "", 5)}, 5)
			return follow(r, now, 30*time.Second)
		}, false},
		"a gap in which one can have come and gone": {func(r *Roster, now time.Time) time.Time {
			now = follow(r, now, 30*time.Second)
			return follow(r, now.Add(5*time.Second), 10*time.Second)
		}, false},
		"an old list": {func(r *Roster, now time.Time) time.Time {
			return follow(r, now, 30*time.Second).Add(3 * time.Second)
		}, false},
		"a divided service": {func(r *Roster, now time.Time) time.Time {
			now = follow(r, now, 30*time.Second)
			r.adoptLayout(Layout{"pool": {"dc-a": 2}}, 9)
			return now
		}, false},
	} {
		r := New()
		r.Replace(start, []Change{entryOf("a", "v1", 1), entryOf("a2", "v1", 2)}, 2)
		now := c.play(r, start)
		if software, ok := r.SoleSoftware(now, "pool", window, maxAge); ok != c.want || ok && software != "v1" {
			t.Errorf("%s: software %q, proven %v, want %v", name, software, ok, c.want)
		}
	}
}
