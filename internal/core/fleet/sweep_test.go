package fleet

import (
	"testing"
	"time"
)

// Machines are replaced, each under a new name. Without sweeps the rows of the old ones would
// accumulate, and every instance that starts would send heartbeats to all of them. A row must
// be removed once its instance was dead in every sweep for a quarter of an hour, but not if
// the instance was alive in between or the row was written again.
func TestRowsOfDeadInstancesAreRemoved(t *testing.T) {
	row := func(k int, version int64) Row { return Row{Heartbeat: heartbeat(k), Version: version} }
	for _, c := range []struct {
		name    string
		version func(sweep int) int64
		alive   func(sweep int) bool
		removed int // first sweep that removes the row, -1 if none
	}{
		{"always dead", func(int) int64 { return 7 }, func(int) bool { return false }, 3},
		{"always alive", func(int) int64 { return 7 }, func(int) bool { return true }, -1},
		{"alive in between", func(int) int64 { return 7 }, func(sweep int) bool { return sweep == 2 }, 6},
		{"row written again in between", func(sweep int) int64 { return int64(7 + sweep/2) }, func(int) bool { return false }, -1},
	} {
		var s Sweep
		removed := -1
		for sweep := range 8 {
			now := start.Add(time.Duration(sweep) * SweepInterval)
			got := s.DeadRows(now, []Row{row(1, c.version(sweep)), row(2, 1)}, func(name string) bool { return name == "i02" || c.alive(sweep) })
			if len(got) > 0 && removed < 0 {
				removed = sweep
			}
			for _, r := range got {
				if r.Name != "i01" {
					t.Errorf("%s: row of %s removed, want only the row of i01", c.name, r.Name)
				}
			}
		}
		if removed != c.removed {
			t.Errorf("%s: row removed in sweep %d, want %d", c.name, removed, c.removed)
		}
	}
}
