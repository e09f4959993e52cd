package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
)

const (
	// sweepPage is the number of rows per read. sweepReadInterval is the interval between the
	// reads of one sweep. sweepInterval is the time from the end of a sweep to the start of the
	// next one. Sweeping therefore takes at most 2 reads of the table per second.
	sweepPage         = 200
	sweepReadInterval = 500 * time.Millisecond
	sweepInterval     = 10 * time.Minute
	// sweepKey is the key whose home sweeps.
	sweepKey = "sweep/bookings"
)

// sweeper is the state of the deletion of expired booking rows. afterKey is the last key read in
// the current sweep.
type sweeper struct {
	nextRead time.Time
	afterKey string
}

func (i *Instance) tickSweep(now time.Time) {
	if i.sweep.nextRead.IsZero() {
		i.sweep.nextRead = now.Add(sweepInterval)
	}
	if now.Before(i.sweep.nextRead) || i.tableHealth.down() || !i.isSweeper(now) {
		return
	}
	i.sweep.nextRead = now.Add(sweepReadInterval)
	i.emit(Scan{Op: opSweep, Prefix: booking.Prefix, After: i.sweep.afterKey, Limit: sweepPage})
}

// isSweeper reports whether this instance sweeps. Two sweepers at the same time are harmless, as
// each deletion requires the row version that was read.
func (i *Instance) isSweeper(now time.Time) bool {
	homes := i.view.Homes(now, sweepKey, 1, func(string) int { return 0 })
	return len(homes) > 0 && homes[0] == i.self
}

func (i *Instance) onScan(now time.Time, e ScanResult) {
	i.tableHealth.observe(e.OK)
	if !e.OK {
		return
	}
	if tx, ok := booking.Expired(now, e.Rows); ok {
		i.count("bookings_total", "swept_pages")
		i.emit(Commit{Op: opSweep, Tx: tx})
	}
	if len(e.Rows) < sweepPage {
		i.sweep = sweeper{nextRead: now.Add(sweepInterval)}
		return
	}
	i.sweep.afterKey = e.Rows[len(e.Rows)-1].Key
}
