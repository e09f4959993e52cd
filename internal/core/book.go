package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// Reasons of booking outcomes.
const (
	ReasonStore       = "store_unavailable"
	ReasonKeyReused   = "idempotency_key_reused"
	ReasonNoRecord    = "earlier_attempt_unknown"
	ReasonInProgress  = "earlier_attempt_in_progress"
	ReasonReleased    = "earlier_attempt_not_run"
	ReasonUpstreamCut = "upstream_failed"
	ReasonGrantLapsed = "grant_lapsed"
)

const (
	// retryStore is when to come back while the table does not answer.
	retryStore = 2 * time.Second
	// retryReleased is when to come back for a key that is free again.
	retryReleased = 200 * time.Millisecond
	// recordSlack is added to the longest call for its claim and its record.
	recordSlack = 5 * time.Second
	// claimTries bounds the claims of one attempt over released rows.
	claimTries = 3
)

// claim writes the booking's row: the permission to dispatch.
func (i *Instance) claim(now time.Time, r *request) {
	r.phase = claiming
	r.book.tries++
	r.book.record = booking.NewClaim(now, r.attempt, r.BodyHash, r.service.Timeout.D()+recordSlack)
	i.note(now, r.ID, "claim", "row", r.bookingRow(), "base", r.book.base)
	i.emit(Commit{Op: opClaim + r.ID, Tx: booking.Put(r.bookingRow(), r.book.base, r.book.record)})
}

func (r *request) bookingRow() string {
	return booking.RowKey(r.org.Name, r.service.Name, r.IdempotencyKey)
}

func (i *Instance) onClaim(now time.Time, id string, res table.Result) {
	r := i.requests[id]
	if r == nil || r.phase != claiming {
		return
	}
	row := res.Find(r.bookingRow())
	i.afterClaim(now, r, booking.AfterClaim(now, res, row.Key, r.attempt, r.BodyHash), row)
}

func (i *Instance) onFence(now time.Time, id string, res table.Result) {
	r := i.requests[id]
	if r == nil || r.phase != fencing {
		return
	}
	row := res.Find(r.bookingRow())
	i.afterClaim(now, r, booking.AfterFence(now, res, row.Key, r.attempt, r.BodyHash), row)
}

// afterClaim goes on once the row is known, or known to be unreachable.
func (i *Instance) afterClaim(now time.Time, r *request, step booking.Step, row table.Row) {
	switch step {
	case booking.Dispatch:
		r.book.version = row.Version
		i.dispatchClaimed(now, r)
	case booking.ClaimAgain:
		i.claimAgain(now, r, row)
	case booking.Fence:
		i.fence(now, r)
	case booking.NotRun:
		i.refuse(now, r, notRun(ReasonStore, retryStore))
	case booking.Renounce:
		// The claim may still land. This attempt never dispatches, so that
		// "not run" is true whatever happens to the row.
		i.renounce(now, r, table.Row{Key: row.Key, Version: r.book.base})
		i.refuse(now, r, notRun(ReasonStore, retryStore))
	default:
		i.answerFromRow(now, r, step, row)
	}
}

// answerFromRow ends, or holds, a request whose key another attempt has used.
func (i *Instance) answerFromRow(now time.Time, r *request, step booking.Step, row table.Row) {
	switch step {
	case booking.Replay:
		i.count("bookings_total", "replayed")
		rec, err := booking.Decode(row.Value)
		if err != nil { // Replay is only chosen for a row that decodes
			panic(err)
		}
		i.finish(now, r, Finish{Outcome: Done, Status: rec.Status, Body: rec.Body})
	case booking.Await:
		i.await(now, r, row)
	case booking.Refuse:
		f := notRun(ReasonKeyReused, 0)
		f.Status = status.UnprocessableEntity
		i.refuse(now, r, f)
	default:
		i.finish(now, r, Finish{
			Outcome: Unknown, Status: status.Conflict, Reason: ReasonNoRecord, Step: "claim", Peer: "table",
		})
	}
}

func notRun(reason string, after time.Duration) Finish {
	return Finish{Status: status.ServiceUnavailable, Reason: reason, Step: "claim", Peer: "table", RetryAfter: after}
}

// claimAgain claims a key whose earlier holder has renounced it.
func (i *Instance) claimAgain(now time.Time, r *request, row table.Row) {
	if r.book.tries >= claimTries {
		i.refuse(now, r, notRun(ReasonReleased, retryReleased))
		return
	}
	r.book.base = row.Version
	i.claim(now, r)
}

// fence settles a claim whose answer was lost. A read would not do: the lost
// write may land after it. The fence occupies the row instead, so that the
// claim either has landed already or never will.
func (i *Instance) fence(now time.Time, r *request) {
	r.phase = fencing
	i.count("bookings_total", "claim_answer_lost")
	tx, _ := booking.Undo(now, table.Row{Key: r.bookingRow(), Version: r.book.base}, r.book.base, r.attempt, r.BodyHash)
	i.emit(Commit{Op: opFence + r.ID, Tx: tx})
}

// dispatchClaimed dispatches, unless the grant has lapsed while the table
// answered: then the claim is released and the call has not run. A holder that
// was frozen between claim and dispatch ends here.
func (i *Instance) dispatchClaimed(now time.Time, r *request) {
	if now.After(r.run.before) {
		i.release(now, r)
		i.refuse(now, r, notRun(ReasonGrantLapsed, retryReleased))
		return
	}
	i.dispatch(now, r)
}

// release gives the key of an attempt back that will never dispatch.
func (i *Instance) release(now time.Time, r *request) {
	rec := r.book.record
	rec.State = booking.Released
	i.writeBack(now, backWrite{tx: booking.Put(r.bookingRow(), r.book.version, rec)})
}

// renounce makes sure in the background that a claim that may still land does
// not keep the key.
func (i *Instance) renounce(now time.Time, r *request, row table.Row) {
	tx, ok := booking.Undo(now, row, r.book.base, r.attempt, r.BodyHash)
	if ok {
		i.writeBack(now, backWrite{tx: tx, undo: true, base: r.book.base, attempt: r.attempt, bodyHash: r.BodyHash})
	}
}

// record stores the service's answer before the caller gets it, so that a
// repeat of the key gets the same answer.
func (i *Instance) record(now time.Time, r *request, f Finish) {
	r.phase = recording
	r.book.answer = f
	r.book.record.State, r.book.record.Status, r.book.record.Body = booking.Done, f.Status, f.Body
	i.endGrant(r, false)
	i.note(now, r.ID, "record")
	i.emit(Commit{Op: opRecord + r.ID, Tx: booking.Put(r.bookingRow(), r.book.version, r.book.record)})
}

// onRecorded answers the caller. A record whose answer was lost is written
// again in the background: without it, each repeat of the key would get
// "unknown" although the answer is known here.
func (i *Instance) onRecorded(now time.Time, id string, res table.Result) {
	r := i.requests[id]
	if r == nil || r.phase != recording {
		return
	}
	if res.Status != table.Committed {
		i.count("bookings_total", "record_answer_lost")
		i.writeBack(now, backWrite{tx: booking.Put(r.bookingRow(), r.book.version, r.book.record)})
	}
	i.finish(now, r, r.book.answer)
}

// bookingFailed ends a booking whose call broke: a call that can't have left
// is released and not run, any other is unknown and never tried again.
func (i *Instance) bookingFailed(now time.Time, r *request, e UpstreamFailed) {
	f := Finish{Status: status.BadGateway, Reason: ReasonUpstreamCut, Step: e.Step, Peer: r.run.upstream}
	if !e.Sent {
		i.release(now, r)
		f.Status, f.RetryAfter = status.ServiceUnavailable, retryNoHome
		i.refuse(now, r, f)
		return
	}
	f.Outcome = Unknown
	rec := r.book.record
	rec.State = booking.Unknown
	i.writeBack(now, backWrite{tx: booking.Put(r.bookingRow(), r.book.version, rec)})
	i.finish(now, r, f)
}
