package fleet

import (
	"testing"
	"time"
)

// Machines are replaced, each under a new name. Rows of the old ones would pile up,
// and every instance that starts would send heartbeats to all of them. A row goes once its
// instance has been dead at every look for a quarter of an hour; not if it was heard
// in between, or if the row was written anew.
func TestRowsOfTheDeadAreSwept(t *testing.T) {
	row := func(k int, version int64) Row { return Row{Heartbeat: heartbeat(k), Version: version} }
	for _, c := range []struct {
		name    string
		version func(look int) int64
		lives   func(look int) bool
		removed int
	}{
		{"dead all the time", func(int) int64 { return 7 }, func(int) bool { return false }, 3},
		{"lives", func(int) int64 { return 7 }, func(int) bool { return true }, -1},
		{"heard in between", func(int) int64 { return 7 }, func(look int) bool { return look == 2 }, 6},
		{"written anew in between", func(look int) int64 { return int64(7 + look/2) }, func(int) bool { return false }, -1},
	} {
		var s Sweep
		removed := -1
		for look := range 8 {
			now := start.Add(time.Duration(look) * SweepInterval)
			got := s.Look(now, []Row{row(1, c.version(look)), row(2, 1)}, func(name string) bool { return name == "i02" || c.lives(look) })
			if len(got) > 0 && removed < 0 {
				removed = look
			}
			for _, r := range got {
				if r.Name != "i01" {
					t.Errorf("%s: %s is removed", c.name, r.Name)
				}
			}
		}
		if removed != c.removed {
			t.Errorf("%s: removed at look %d, want %d", c.name, removed, c.removed)
		}
	}
}
