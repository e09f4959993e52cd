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
	// awaitTimeout is how long a repeat of a key waits for the first call before it is told to
	// come back.
	awaitTimeout = 5 * time.Second
)

// await holds a repeat of a key whose first call is still running, without occupying anything,
// and answers it with the recorded outcome.
func (i *Instance) await(now time.Time, r *request, row table.Row) {
	if r.phase != awaiting {
		i.settle(r, Finish{Outcome: NotRun})
		i.endGrant(r, false)
		r.phase = awaiting
		r.book.awaitEnd = now.Add(awaitTimeout)
		r.book.pause = awaitMin
		i.count("bookings_total", "awaited")
	}
	if !now.Before(r.book.awaitEnd) {
		i.answerInProgress(now, r, row)
		return
	}
	i.wakeAt(r, now.Add(r.book.pause))
	r.book.pause = min(2*r.book.pause, awaitMax)
}

// answerInProgress tells a repeat when the first call must have ended.
func (i *Instance) answerInProgress(now time.Time, r *request, row table.Row) {
	after := awaitMax
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

// lookUpFirst reads the key of a booking that is about to be refused before its claim, and
// reports whether the refusal has to wait. An earlier call under the key may have run: its
// repeat must get that outcome rather than "not run". While the table is unavailable, the
// refusal refers to this request only.
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
