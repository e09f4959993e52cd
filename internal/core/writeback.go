package core

import (
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const (
	// writeBackMin and writeBackMax bound the interval between tries of a write.
	writeBackMin = 250 * time.Millisecond
	writeBackMax = 10 * time.Second
	// writeBackTimeout is how long a write is tried. After it, the row's own Until lets
	// repeats of the key be answered "unknown".
	writeBackTimeout = time.Hour
	// maxWriteBacks bounds the pending writes; a booking's answer may be large.
	maxWriteBacks = 4096
)

// backWrite is a change of a booking's row that is retried in the background until the table
// answers.
type backWrite struct {
	tx table.Tx
	// undo marks the removal of a claim that may land late: if the row has changed, the
	// remaining undo is recomputed.
	undo     bool
	base     int64
	attempt  string
	bodyHash string

	id    int
	since time.Time
	due   time.Time
	pause time.Duration
	busy  bool
}

// writeBacks are the pending writes in order of arrival.
type writeBacks struct {
	list []*backWrite
	last int
}

func (i *Instance) writeBack(now time.Time, w backWrite) {
	if len(i.backs.list) >= maxWriteBacks {
		i.count("bookings_total", "write_back_dropped")
		return
	}
	i.backs.last++
	w.id, w.since, w.pause = i.backs.last, now, writeBackMin
	i.backs.list = append(i.backs.list, &w)
	i.tryWriteBack(&w)
}

func (i *Instance) tryWriteBack(w *backWrite) {
	w.busy = true
	i.emit(Commit{Op: opBack + strconv.Itoa(w.id), Tx: w.tx})
}

func (i *Instance) onWrittenBack(now time.Time, id string, res table.Result) {
	at, w := i.backs.find(id)
	if w == nil {
		return
	}
	w.busy = false
	switch {
	case res.Status == table.Unknown && now.Sub(w.since) < writeBackTimeout:
		w.due = now.Add(w.pause)
		w.pause = min(2*w.pause, writeBackMax)
		return
	case res.Status == table.Unknown:
		i.count("bookings_total", "write_back_dropped")
	case res.Status == table.Conflict && w.undo:
		row := res.Find(w.tx.Conds[0].Key)
		if tx, ok := booking.Undo(now, row, w.base, w.attempt, w.bodyHash); ok {
			w.tx = tx
			i.tryWriteBack(w)
			return
		}
	}
	i.backs.list = append(i.backs.list[:at], i.backs.list[at+1:]...)
}

func (b *writeBacks) find(id string) (int, *backWrite) {
	for at, w := range b.list {
		if strconv.Itoa(w.id) == id {
			return at, w
		}
	}
	return 0, nil
}

// tickWriteBacks retries due writes unless the table is known to be down.
func (i *Instance) tickWriteBacks(now time.Time) {
	if i.store.down() {
		return
	}
	for _, w := range i.backs.list {
		if w.busy || w.due.After(now) {
			continue
		}
		i.tryWriteBack(w)
	}
}

// writeBacksWait reports whether a draining instance should stay for a write that the table
// may still accept.
func (i *Instance) writeBacksWait(now time.Time) bool {
	const most = 30 * time.Second
	return len(i.backs.list) > 0 && now.Sub(i.backs.list[0].since) < most
}
