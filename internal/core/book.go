package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// Reasons of booking outcomes.
const (
	ReasonStore          = "store_unavailable"
	ReasonKeyReused      = "idempotency_key_reused"
	ReasonNoRecord       = "earlier_attempt_unknown"
	ReasonInProgress     = "earlier_attempt_in_progress"
	ReasonReleased       = "earlier_attempt_not_run"
	ReasonUpstreamFailed = "upstream_failed"
	ReasonGrantExpired   = "grant_lapsed"
)

const (
	// retryAfterStore is the Retry-After while the table is unavailable.
	retryAfterStore = 2 * time.Second
	// retryAfterReleased is the Retry-After for a key whose earlier attempt was released.
	retryAfterReleased = 200 * time.Millisecond
	// recordSlack is added to the service's timeout to cover the writes of the claim and the
	// record.
	recordSlack = 5 * time.Second
	// maxClaims is the maximum number of claims of one attempt when the key's row is released
	// repeatedly.
	maxClaims = 3
)

// claim writes the booking's row, which gives the attempt the permission to dispatch.
func (i *Instance) claim(now time.Time, r *request) {
	r.phase = phaseClaiming
	r.book.claims++
	r.book.record = booking.NewClaim(now, r.attempt, r.BodyHash, r.service.Timeout.D()+recordSlack)
	i.recordDecision(now, r.ID, "claim", "row", r.bookingRow(), "base", r.book.baseVersion)
	i.emit(Commit{Op: opClaim + r.ID, Tx: booking.PutTx(r.bookingRow(), r.book.baseVersion, r.book.record)})
}

func (r *request) bookingRow() string {
	return booking.RowKey(r.org.Name, r.service.Name, r.IdempotencyKey)
}

func (i *Instance) onClaim(now time.Time, id string, res table.Result) {
	r := i.requests[id]
	if r == nil || r.phase != phaseClaiming {
		return
	}
	row := res.Find(r.bookingRow())
	i.afterClaim(now, r, booking.AfterClaim(now, res, row.Key, r.attempt, r.BodyHash), row)
}

func (i *Instance) onFence(now time.Time, id string, res table.Result) {
	r := i.requests[id]
	if r == nil || r.phase != phaseFencing {
		return
	}
	row := res.Find(r.bookingRow())
	i.afterClaim(now, r, booking.AfterFence(now, res, row.Key, r.attempt, r.BodyHash), row)
}

// afterClaim performs the step that follows from the result of a claim or fence.
func (i *Instance) afterClaim(now time.Time, r *request, step booking.Step, row table.Row) {
	switch step {
	case booking.Dispatch:
		r.book.version = row.Version
		i.dispatchClaimed(now, r)
	case booking.RetryClaim:
		i.reclaim(now, r, row)
	case booking.Fence:
		i.fence(now, r)
	case booking.NotRun:
		i.refuse(now, r, notRunFinish(ReasonStore, retryAfterStore))
	case booking.Renounce:
		// The table may still apply the claim. This attempt never dispatches, so
		// that NotRun is true whatever happens to the row.
		i.undoClaim(now, r, table.Row{Key: row.Key, Version: r.book.baseVersion})
		i.refuse(now, r, notRunFinish(ReasonStore, retryAfterStore))
	default:
		i.finishFromRow(now, r, step, row)
	}
}

// finishFromRow finishes a request whose key another attempt has used, or holds the request while
// that attempt is running.
func (i *Instance) finishFromRow(now time.Time, r *request, step booking.Step, row table.Row) {
	switch step {
	case booking.Replay:
		i.count("bookings_total", "replayed")
		rec, err := booking.Decode(row.Value)
		if err != nil { // Replay is only chosen for a row that decodes
			panic(err)
		}
		i.finish(now, r, Finish{Outcome: Done, Status: rec.Status, Body: rec.Body})
	case booking.Await:
		i.awaitFirstCall(now, r, row)
	case booking.Refuse:
		f := notRunFinish(ReasonKeyReused, 0)
		f.Status = status.UnprocessableEntity
		i.refuse(now, r, f)
	default:
		i.finish(now, r, Finish{
			Outcome: Unknown, Status: status.Conflict, Reason: ReasonNoRecord, Step: "claim", Peer: "table",
		})
	}
}

// notRunFinish returns the refusal of a booking because of the state of its row or of the table.
func notRunFinish(reason string, after time.Duration) Finish {
	return Finish{Status: status.ServiceUnavailable, Reason: reason, Step: "claim", Peer: "table", RetryAfter: after}
}

// reclaim claims a key that its previous holder has released.
func (i *Instance) reclaim(now time.Time, r *request, row table.Row) {
	if r.book.claims >= maxClaims {
		i.refuse(now, r, notRunFinish(ReasonReleased, retryAfterReleased))
		return
	}
	r.book.baseVersion = row.Version
	i.claim(now, r)
}

// fence resolves a claim whose result is unknown. A read would be inconclusive, as the table may
// apply the claim after it. The fence writes the row, so that the claim either was applied before
// it or never can be.
func (i *Instance) fence(now time.Time, r *request) {
	r.phase = phaseFencing
	i.count("bookings_total", "claim_answer_lost")
	tx, _ := booking.UndoClaim(now, table.Row{Key: r.bookingRow(), Version: r.book.baseVersion}, r.book.baseVersion, r.attempt, r.BodyHash)
	i.emit(Commit{Op: opFence + r.ID, Tx: tx})
}

// dispatchClaimed dispatches a claimed call. If the grant expired in the meantime, because the
// table was slow or this instance was frozen, it releases the claim and the call has not run.
func (i *Instance) dispatchClaimed(now time.Time, r *request) {
	if now.After(r.run.sendBefore) {
		i.releaseKey(now, r)
		i.refuse(now, r, notRunFinish(ReasonGrantExpired, retryAfterReleased))
		return
	}
	i.dispatch(now, r)
}

// releaseKey frees the key of an attempt that will never be dispatched.
func (i *Instance) releaseKey(now time.Time, r *request) {
	rec := r.book.record
	rec.State = booking.Released
	i.writeBack(now, pendingWrite{tx: booking.PutTx(r.bookingRow(), r.book.version, rec)})
}

// undoClaim ensures in the background that a claim with an unknown result does not occupy the key.
func (i *Instance) undoClaim(now time.Time, r *request, row table.Row) {
	tx, ok := booking.UndoClaim(now, row, r.book.baseVersion, r.attempt, r.BodyHash)
	if ok {
		i.writeBack(now, pendingWrite{tx: tx, undo: true, baseVersion: r.book.baseVersion, attempt: r.attempt, bodyHash: r.BodyHash})
	}
}

// recordAnswer stores the service's answer for repeats of the key, before the caller receives it.
func (i *Instance) recordAnswer(now time.Time, r *request, f Finish) {
	r.phase = phaseRecording
	r.book.pendingFinish = f
	r.book.record.State, r.book.record.Status, r.book.record.Body = booking.Done, f.Status, f.Body
	i.endGrant(r, false)
	i.recordDecision(now, r.ID, "record")
	i.emit(Commit{Op: opRecord + r.ID, Tx: booking.PutTx(r.bookingRow(), r.book.version, r.book.record)})
}

// onRecorded finishes the request. If the result of writing the record is unknown, the write is
// retried in the background; without the record, repeats of the key would end as Unknown.
func (i *Instance) onRecorded(now time.Time, id string, res table.Result) {
	r := i.requests[id]
	if r == nil || r.phase != phaseRecording {
		return
	}
	if res.Status != table.Committed {
		i.count("bookings_total", "record_answer_lost")
		i.writeBack(now, pendingWrite{tx: booking.PutTx(r.bookingRow(), r.book.version, r.book.record)})
	}
	i.finish(now, r, r.book.pendingFinish)
}

// bookingFailed ends a booking whose call failed. If the call cannot have reached the upstream,
// the key is released and the request has not run. Otherwise the outcome is Unknown and the call
// is never retried.
func (i *Instance) bookingFailed(now time.Time, r *request, e UpstreamFailed) {
	f := Finish{Status: status.BadGateway, Reason: ReasonUpstreamFailed, Step: e.Step, Peer: r.run.upstream}
	if !e.Sent {
		i.releaseKey(now, r)
		f.Status, f.RetryAfter = status.ServiceUnavailable, retryAfterNoHome
		i.refuse(now, r, f)
		return
	}
	f.Outcome = Unknown
	rec := r.book.record
	rec.State = booking.Unknown
	i.writeBack(now, pendingWrite{tx: booking.PutTx(r.bookingRow(), r.book.version, rec)})
	i.finish(now, r, f)
}
