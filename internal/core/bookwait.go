package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const (
	// awaitFirst and awaitMost bound the pause between two looks at a key
	// that another attempt holds.
	awaitFirst = 100 * time.Millisecond
	awaitMost  = time.Second
	// awaitTotal is how long a repeat of a key waits for the first to end
	// before it is told to come back.
	awaitTotal = 5 * time.Second
)

// await holds a repeat of a key whose first call is still running, and answers
// it with the recorded outcome. It keeps nothing that others could use.
func (i *Instance) await(now time.Time, r *request, row table.Row) {
	if r.phase != awaiting {
		i.settle(r, Finish{Outcome: NotRun})
		i.endGrant(r, false)
		r.phase = awaiting
		r.book.awaitEnd = now.Add(awaitTotal)
		r.book.pause = awaitFirst
		i.count("bookings_total", "awaited")
	}
	if !now.Before(r.book.awaitEnd) {
		i.answerInProgress(now, r, row)
		return
	}
	i.wakeAt(r, now.Add(r.book.pause))
	r.book.pause = min(2*r.book.pause, awaitMost)
}

// answerInProgress tells a repeat when the first call must have ended.
func (i *Instance) answerInProgress(now time.Time, r *request, row table.Row) {
	after := awaitMost
	if rec, err := booking.Decode(row.Value); err == nil {
		after = max(after, time.UnixMilli(rec.Until).Sub(now))
	}
	i.finish(now, r, Finish{
		Outcome: Unknown, Status: status.Conflict, Reason: ReasonInProgress,
		Step: "await", Peer: "table", RetryAfter: after,
	})
}

func (i *Instance) awaitTimeout(r *request) {
	i.emit(Read{Op: opAwait + r.ID, Keys: []string{r.bookingRow()}})
}

func (i *Instance) onAwait(now time.Time, id string, e ReadResult) {
	r := i.requests[id]
	if r == nil || r.phase != awaiting {
		return
	}
	row := table.Result{Rows: e.Rows}.Find(r.bookingRow())
	if !e.OK {
		i.answerInProgress(now, r, row)
		return
	}
	step := booking.AfterRow(now, row, r.attempt, r.BodyHash)
	if step == booking.ClaimAgain {
		i.refuse(now, r, notRun(ReasonReleased, retryReleased))
		return
	}
	i.answerFromRow(now, r, step, row)
}

// lookUpFirst looks at the key of a booking that is about to be refused before
// it made a claim. An earlier call under the same key may have run while its
// answer got lost: its repeat must get that outcome, not "not run", even when
// the limits are used up or no upstream is left. It reports whether the
// refusal has to wait. While the table does not answer, the refusal says so: it
// speaks of this request only, not of earlier ones under its key.
func (i *Instance) lookUpFirst(now time.Time, r *request, f *Finish) bool {
	if !r.NotRepeatable || r.service == nil || r.IdempotencyKey == "" || r.book.tries > 0 || r.book.looked {
		return false
	}
	if i.store.down() {
		*f = notRun(ReasonStore, retryStore)
		f.Outcome = NotRun
		return false
	}
	i.settle(r, *f)
	i.endGrant(r, false)
	r.book.looked = true
	r.book.answer = *f
	r.phase = lookingUp
	i.note(now, r.ID, "look_up", "refusal", f.Reason)
	i.emit(Read{Op: opLookUp + r.ID, Keys: []string{r.bookingRow()}})
	return true
}

func (i *Instance) onLookUp(now time.Time, id string, e ReadResult) {
	r := i.requests[id]
	if r == nil || r.phase != lookingUp {
		return
	}
	row := table.Result{Rows: e.Rows}.Find(r.bookingRow())
	step := booking.AfterRow(now, row, r.attempt, r.BodyHash)
	switch {
	case !e.OK:
		i.refuse(now, r, notRun(ReasonStore, retryStore))
	case step == booking.ClaimAgain:
		i.refuse(now, r, r.book.answer)
	default:
		i.answerFromRow(now, r, step, row)
	}
}
