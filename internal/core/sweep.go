package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
)

const (
	// sweepPage is the number of rows per read, sweepEvery the interval between reads and
	// sweepPause that between sweeps: at most 2 reads a second in all.
	sweepPage  = 200
	sweepEvery = 500 * time.Millisecond
	sweepPause = 10 * time.Minute
	// sweepKey selects the instance that sweeps.
	sweepKey = "sweep/bookings"
)

// sweeper deletes the expired rows of bookings.
type sweeper struct {
	due   time.Time
	after string
}

func (i *Instance) tickSweep(now time.Time) {
	if i.sweep.due.IsZero() {
		i.sweep.due = now.Add(sweepPause)
	}
	if now.Before(i.sweep.due) || i.store.down() || !i.sweeps(now) {
		return
	}
	i.sweep.due = now.Add(sweepEvery)
	i.emit(Scan{Op: opSweep, Prefix: booking.Prefix, After: i.sweep.after, Limit: sweepPage})
}

// sweeps reports whether this instance sweeps. Two at once are harmless: each deletion
// requires the version that was read.
func (i *Instance) sweeps(now time.Time) bool {
	homes := i.view.Homes(now, sweepKey, 1, func(string) int { return 0 })
	return len(homes) > 0 && homes[0] == i.self
}

func (i *Instance) onScan(now time.Time, e ScanResult) {
	i.store.heard(e.OK)
	if !e.OK {
		return
	}
	if tx, ok := booking.Expired(now, e.Rows); ok {
		i.count("bookings_total", "swept_pages")
		i.emit(Commit{Op: opSweep, Tx: tx})
	}
	if len(e.Rows) < sweepPage {
		i.sweep = sweeper{due: now.Add(sweepPause)}
		return
	}
	i.sweep.after = e.Rows[len(e.Rows)-1].Key
}
