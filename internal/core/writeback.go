package core

import (
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const (
	// writeBackMin and writeBackMax bound the interval between retries of a write.
	writeBackMin = 250 * time.Millisecond
	writeBackMax = 10 * time.Second
	// writeBackTimeout is how long a write is retried. After it, repeats of the key end as Unknown
	// because the row's Until has passed.
	writeBackTimeout = time.Hour
	// maxWriteBacks bounds the number of pending writes and thereby their memory, as a booking's
	// answer may be large.
	maxWriteBacks = 4096
)

// pendingWrite is a change of a booking's row that is retried in the background until the table
// replies.
type pendingWrite struct {
	tx table.Tx
	// undo marks the undo of a claim that the table may still apply. If the row has changed in the
	// meantime, the transaction is computed again from the new row.
	undo        bool
	baseVersion int64
	attempt     string
	bodyHash    string

	id            int
	startedAt     time.Time
	retryAt       time.Time
	retryInterval time.Duration
	inFlight      bool
}

// writeBacks holds the pending writes in the order in which they were added.
type writeBacks struct {
	pending []*pendingWrite
	lastID  int
}

// writeBack starts a write and retries it in the background.
func (i *Instance) writeBack(now time.Time, w pendingWrite) {
	if len(i.writeBacks.pending) >= maxWriteBacks {
		i.count("bookings_total", "write_back_dropped")
		return
	}
	i.writeBacks.lastID++
	w.id, w.startedAt, w.retryInterval = i.writeBacks.lastID, now, writeBackMin
	i.writeBacks.pending = append(i.writeBacks.pending, &w)
	i.tryWriteBack(&w)
}

func (i *Instance) tryWriteBack(w *pendingWrite) {
	w.inFlight = true
	i.emit(Commit{Op: opWriteBack + strconv.Itoa(w.id), Tx: w.tx})
}

func (i *Instance) onWriteBackResult(now time.Time, id string, res table.Result) {
	at, w := i.writeBacks.find(id)
	if w == nil {
		return
	}
	w.inFlight = false
	switch {
	case res.Status == table.Unknown && now.Sub(w.startedAt) < writeBackTimeout:
		w.retryAt = now.Add(w.retryInterval)
		w.retryInterval = min(2*w.retryInterval, writeBackMax)
		return
	case res.Status == table.Unknown:
		i.count("bookings_total", "write_back_dropped")
	case res.Status == table.Conflict && w.undo:
		row := res.Find(w.tx.Conds[0].Key)
		if tx, ok := booking.UndoClaim(now, row, w.baseVersion, w.attempt, w.bodyHash); ok {
			w.tx = tx
			i.tryWriteBack(w)
			return
		}
	}
	i.writeBacks.pending = append(i.writeBacks.pending[:at], i.writeBacks.pending[at+1:]...)
}

func (b *writeBacks) find(id string) (int, *pendingWrite) {
	for at, w := range b.pending {
		if strconv.Itoa(w.id) == id {
			return at, w
		}
	}
	return 0, nil
}

// tickWriteBacks retries the writes that are due, unless the table is known to be down.
func (i *Instance) tickWriteBacks(now time.Time) {
	if i.tableHealth.down() {
		return
	}
	for _, w := range i.writeBacks.pending {
		if w.inFlight || w.retryAt.After(now) {
			continue
		}
		i.tryWriteBack(w)
	}
}

// hasRecentWriteBacks reports whether a draining instance should wait for a write that the table may
// still accept.
func (i *Instance) hasRecentWriteBacks(now time.Time) bool {
	const maxWait = 30 * time.Second
	return len(i.writeBacks.pending) > 0 && now.Sub(i.writeBacks.pending[0].startedAt) < maxWait
}
