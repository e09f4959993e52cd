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
	// retryStore is the Retry-After while the table is unavailable.
	retryStore = 2 * time.Second
	// retryReleased is the Retry-After for a key that was released.
	retryReleased = 200 * time.Millisecond
	// recordSlack extends the longest call by the time for its claim and its record.
	recordSlack = 5 * time.Second
	// maxClaims bounds the claims of one attempt over released rows.
	maxClaims = 3
)

// claim writes the booking's row, which permits the dispatch.
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

// afterClaim continues once the row is known, or known to be unreachable.
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

// answerFromRow ends or holds a request whose key another attempt has used.
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

// claimAgain claims a key that its previous holder has renounced.
func (i *Instance) claimAgain(now time.Time, r *request, row table.Row) {
	if r.book.tries >= maxClaims {
		i.refuse(now, r, notRun(ReasonReleased, retryReleased))
		return
	}
	r.book.base = row.Version
	i.claim(now, r)
}

// fence settles a claim whose answer was lost. A read would be inconclusive, as the write may
// land after it. The fence occupies the row, so that the claim has either landed already or
// never will.
func (i *Instance) fence(now time.Time, r *request) {
	r.phase = fencing
	i.count("bookings_total", "claim_answer_lost")
	tx, _ := booking.Undo(now, table.Row{Key: r.bookingRow(), Version: r.book.base}, r.book.base, r.attempt, r.BodyHash)
	i.emit(Commit{Op: opFence + r.ID, Tx: tx})
}

// dispatchClaimed dispatches, unless the grant expired while the table answered: then the
// claim is released and the call has not run. It also stops holders that were frozen between
// claim and dispatch.
func (i *Instance) dispatchClaimed(now time.Time, r *request) {
	if now.After(r.run.before) {
		i.release(now, r)
		i.refuse(now, r, notRun(ReasonGrantLapsed, retryReleased))
		return
	}
	i.dispatch(now, r)
}

// release frees the key of an attempt that will never be dispatched.
func (i *Instance) release(now time.Time, r *request) {
	rec := r.book.record
	rec.State = booking.Released
	i.writeBack(now, backWrite{tx: booking.Put(r.bookingRow(), r.book.version, rec)})
}

// renounce ensures in the background that a claim that may still land does not occupy the key.
func (i *Instance) renounce(now time.Time, r *request, row table.Row) {
	tx, ok := booking.Undo(now, row, r.book.base, r.attempt, r.BodyHash)
	if ok {
		i.writeBack(now, backWrite{tx: tx, undo: true, base: r.book.base, attempt: r.attempt, bodyHash: r.BodyHash})
	}
}

// record stores the service's answer before the caller receives it, for repeats of the key.
func (i *Instance) record(now time.Time, r *request, f Finish) {
	r.phase = recording
	r.book.answer = f
	r.book.record.State, r.book.record.Status, r.book.record.Body = booking.Done, f.Status, f.Body
	i.endGrant(r, false)
	i.note(now, r.ID, "record")
	i.emit(Commit{Op: opRecord + r.ID, Tx: booking.Put(r.bookingRow(), r.book.version, r.book.record)})
}

// onRecorded answers the caller. A record whose answer was lost is rewritten in the
// background: without it, repeats of the key would get "unknown".
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

// bookingFailed ends a booking whose call failed: released and not run if it cannot have left,
// otherwise unknown and never retried.
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
