package fleet

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// SweepInterval is the interval of sweeps.
const SweepInterval = 5 * time.Minute

// deadFor is how long an instance must have been dead, in every sweep, before its row is
// removed. Frozen and partitioned instances keep theirs.
const deadFor = 15 * time.Minute

// Row is an instance's row in the store.
type Row struct {
	msg.Heartbeat
	// Version makes removal conditional on the row being unchanged.
	Version int64
}

// Sweep finds rows of instances that are gone for good. The zero value is ready to use.
type Sweep struct {
	dead map[string]deadRow
}

type deadRow struct {
	version int64
	since   time.Time
}

// Look compares the rows with the live instances and returns those to remove.
func (s *Sweep) Look(now time.Time, rows []Row, lives func(name string) bool) (remove []Row) {
	before := s.dead
	s.dead = map[string]deadRow{}
	for _, row := range rows {
		if lives(row.Name) {
			continue
		}
		d, known := before[row.Name]
		if !known || d.version != row.Version {
			d = deadRow{version: row.Version, since: now}
		}
		s.dead[row.Name] = d
		if now.Sub(d.since) >= deadFor {
			remove = append(remove, row)
		}
	}
	return remove
}
