package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const (
	// awaitMin and awaitMax bound the interval between reads of a key held by another attempt.
	awaitMin = 100 * time.Millisecond
	awaitMax = time.Second
	// awaitTimeout is how long a repeat of a key waits for the first call before it ends with a
	// Retry-After.
	awaitTimeout = 5 * time.Second
)

// awaitFirstCall holds a repeat of a key whose first call may still be running, until the outcome is
// recorded or awaitTimeout has passed. The repeat holds no reservation and no grant during this
// time.
func (i *Instance) awaitFirstCall(now time.Time, r *request, row table.Row) {
	if r.phase != phaseAwaiting {
		i.settle(r, Finish{Outcome: NotRun})
		i.endGrant(r, false)
		r.phase = phaseAwaiting
		r.book.awaitDeadline = now.Add(awaitTimeout)
		r.book.awaitInterval = awaitMin
		i.count("bookings_total", "awaited")
	}
	if !now.Before(r.book.awaitDeadline) {
		i.finishInProgress(now, r, row)
		return
	}
	i.wakeAt(r, now.Add(r.book.awaitInterval))
	r.book.awaitInterval = min(2*r.book.awaitInterval, awaitMax)
}

// finishInProgress ends a repeat whose first call may still be running. The Retry-After is the time
// until that call must have ended.
func (i *Instance) finishInProgress(now time.Time, r *request, row table.Row) {
	after := awaitMax
	if rec, err := booking.Decode(row.Value); err == nil {
		after = max(after, time.UnixMilli(rec.Until).Sub(now))
	}
	i.finish(now, r, Finish{
		Outcome: Unknown, Status: status.Conflict, Reason: ReasonInProgress,
		Step: "await", Peer: "table", RetryAfter: after,
	})
}

func (i *Instance) pollAwaited(r *request) {
	i.emit(Read{Op: opAwait + r.ID, Keys: []string{r.bookingRow()}})
}

func (i *Instance) onAwait(now time.Time, id string, e ReadResult) {
	r := i.requests[id]
	if r == nil || r.phase != phaseAwaiting {
		return
	}
	row := table.Result{Rows: e.Rows}.Find(r.bookingRow())
	if !e.OK {
		i.finishInProgress(now, r, row)
		return
	}
	step := booking.AfterRow(now, row, r.attempt, r.BodyHash)
	if step == booking.RetryClaim {
		i.refuse(now, r, notRunFinish(ReasonReleased, retryAfterReleased))
		return
	}
	i.finishFromRow(now, r, step, row)
}

// lookUpBeforeRefusal reads the row of a booking that is about to be refused before its claim,
// and reports whether the refusal must wait for that row. An earlier call with the key may have
// run; then the repeat must get its outcome instead of NotRun. While the table is unavailable,
// the request is refused with ReasonStore, where NotRun refers to this request only.
func (i *Instance) lookUpBeforeRefusal(now time.Time, r *request, f *Finish) bool {
	if !r.NotRepeatable || r.service == nil || r.IdempotencyKey == "" || r.book.claims > 0 || r.book.lookedUp {
		return false
	}
	if i.tableHealth.down() {
		*f = notRunFinish(ReasonStore, retryAfterStore)
		f.Outcome = NotRun
		return false
	}
	i.settle(r, *f)
	i.endGrant(r, false)
	r.book.lookedUp = true
	r.book.pendingFinish = *f
	r.phase = phaseLookingUp
	i.recordDecision(now, r.ID, "look_up", "refusal", f.Reason)
	i.emit(Read{Op: opLookUp + r.ID, Keys: []string{r.bookingRow()}})
	return true
}

func (i *Instance) onLookUp(now time.Time, id string, e ReadResult) {
	r := i.requests[id]
	if r == nil || r.phase != phaseLookingUp {
		return
	}
	row := table.Result{Rows: e.Rows}.Find(r.bookingRow())
	step := booking.AfterRow(now, row, r.attempt, r.BodyHash)
	switch {
	case !e.OK:
		i.refuse(now, r, notRunFinish(ReasonStore, retryAfterStore))
	case step == booking.RetryClaim:
		i.refuse(now, r, r.book.pendingFinish)
	default:
		i.finishFromRow(now, r, step, row)
	}
}
