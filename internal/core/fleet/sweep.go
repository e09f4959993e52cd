package fleet

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// SweepInterval is the interval between sweeps.
const SweepInterval = 5 * time.Minute

// deadRowTTL is how long an instance must have been dead, in every sweep, before its row is
// removed. It is long enough for frozen and partitioned instances to keep their rows.
const deadRowTTL = 15 * time.Minute

// Row is an instance's row in the store.
type Row struct {
	msg.Heartbeat
	// Version is the row's version. A row is removed only if its version is unchanged.
	Version int64
}

// Sweep finds the rows of instances that have been dead for deadRowTTL. The zero value is
// ready to use.
type Sweep struct {
	// dead holds the rows of dead instances by name, as of the last sweep.
	dead map[string]deadRow
}

// deadRow is the version of a dead instance's row and the time of the first sweep that found it.
type deadRow struct {
	version int64
	since   time.Time
}

// DeadRows compares the rows with the live instances and returns the rows to remove. alive reports
// whether an instance is alive.
func (s *Sweep) DeadRows(now time.Time, rows []Row, alive func(name string) bool) (remove []Row) {
	before := s.dead
	s.dead = map[string]deadRow{}
	for _, row := range rows {
		if alive(row.Name) {
			continue
		}
		d, known := before[row.Name]
		if !known || d.version != row.Version {
			d = deadRow{version: row.Version, since: now}
		}
		s.dead[row.Name] = d
		if now.Sub(d.since) >= deadRowTTL {
			remove = append(remove, row)
		}
	}
	return remove
}
