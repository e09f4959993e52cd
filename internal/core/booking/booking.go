// Package booking decides whether a call that must not be repeated is dispatched. The permission
// to dispatch is a conditional write of the row (organisation, service, idempotency key): only
// the attempt that wrote it dispatches, and it does so once.
package booking

import (
	"encoding/json"
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/table"
)

// Prefix is the table key prefix of all bookings.
const Prefix = "booking/"

// OutcomeTTL is how long the outcome of a key is stored after its claim. A repeated call after
// that runs as a new one.
const OutcomeTTL = 24 * time.Hour

// Row states.
const (
	// Claimed means that an attempt holds the permission and may have dispatched.
	Claimed = "claimed"
	// Done means that the call ran and its response is recorded.
	Done = "done"
	// Unknown means that the call was dispatched and got no response.
	Unknown = "unknown"
	// Released means that nothing ran and that no attempt holds the permission. The row is not
	// deleted: a claim whose response was lost may still be in transit, and it requires the row
	// to be absent, so that it cannot commit while the row exists.
	Released = "released"
)

// Record is the stored row of a booking.
type Record struct {
	Attempt  string `json:"attempt"`
	BodyHash string `json:"body_hash"`
	State    string `json:"state"`
	// Until is when the attempt will have ended, Expires when the row may be deleted; both are
	// Unix milliseconds.
	Until   int64 `json:"until"`
	Expires int64 `json:"expires"`
	// Status and Body are the service's response if State is Done.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// RowKey returns the table key of a booking. The parts are quoted, so that two bookings never
// share a row, whatever their names and keys contain.
func RowKey(org, service, key string) string {
	return fmt.Sprintf("%s%q/%q/%q", Prefix, org, service, key)
}

// NewClaim returns the claim of an attempt that ends within the given time.
func NewClaim(now time.Time, attempt, bodyHash string, within time.Duration) Record {
	return Record{
		Attempt: attempt, BodyHash: bodyHash, State: Claimed,
		Until: now.Add(within).UnixMilli(), Expires: now.Add(OutcomeTTL).UnixMilli(),
	}
}

// PutTx returns the transaction that replaces a row of the given version, 0 if absent, by a
// record. Every change of a booking is such a compare-and-set, so that a late write never
// overwrites a state that its writer has not read.
func PutTx(rowKey string, version int64, rec Record) table.Tx {
	return table.Tx{
		Conds:  []table.Cond{{Key: rowKey, Version: version}},
		Writes: []table.Write{{Key: rowKey, Value: encode(rec)}},
	}
}

// Step is the next action of an attempt after the result of its claim.
type Step int

// Steps.
const (
	// Dispatch: this attempt holds the permission.
	Dispatch Step = iota + 1
	// Replay: the caller gets the recorded response.
	Replay
	// AnswerUnknown: another attempt claimed the key and recorded no response.
	AnswerUnknown
	// Await: another attempt holds the key and may still be running.
	Await
	// Refuse: the key was used with a different body.
	Refuse
	// RetryClaim: no attempt holds the key; claim it again, against the current version of the
	// row.
	RetryClaim
	// Fence: the response was lost; ensure that the claim cannot commit later.
	Fence
	// NotRun: the claim can no longer commit, so that nothing ran.
	NotRun
	// Renounce: the outcome is unknown; never dispatch, and fence in the background.
	Renounce
)

// AfterClaim returns the step after the result of a claim.
func AfterClaim(now time.Time, res table.Result, rowKey, attempt, bodyHash string) Step {
	switch res.Status {
	case table.Committed:
		return Dispatch
	case table.Conflict:
		return AfterRow(now, res.Find(rowKey), attempt, bodyHash)
	default:
		return Fence
	}
}

// AfterFence returns the step after the result of UndoClaim, which was sent because the claim's
// response was lost.
func AfterFence(now time.Time, res table.Result, rowKey, attempt, bodyHash string) Step {
	switch res.Status {
	case table.Committed:
		return NotRun
	case table.Conflict:
		return AfterRow(now, res.Find(rowKey), attempt, bodyHash)
	default:
		return Renounce
	}
}

// AfterRow returns the step of an attempt that found the given row.
func AfterRow(now time.Time, row table.Row, attempt, bodyHash string) Step {
	if row.Version == 0 {
		return RetryClaim
	}
	rec, err := Decode(row.Value)
	switch {
	case err != nil:
		return AnswerUnknown
	case rec.State == Released:
		return RetryClaim
	case rec.BodyHash != bodyHash:
		return Refuse
	case rec.State == Done:
		return Replay
	case rec.State != Claimed:
		return AnswerUnknown
	case rec.Attempt == attempt:
		return Dispatch
	case now.UnixMilli() < rec.Until:
		return Await
	default:
		return AnswerUnknown
	}
}

// UndoClaim returns the transaction that removes the claim of an attempt that never dispatched, and
// that prevents the claim from committing later. row is the row as last read, base the version
// that the claim required. ok is false if nothing is left to undo: the row has changed, so that
// the claim can no longer commit.
func UndoClaim(now time.Time, row table.Row, base int64, attempt, bodyHash string) (tx table.Tx, ok bool) {
	rec, err := Decode(row.Value)
	claimApplied := err == nil && rec.State == Claimed && rec.Attempt == attempt
	if row.Version != base && !claimApplied {
		return table.Tx{}, false
	}
	rec = NewClaim(now, attempt, bodyHash, 0)
	rec.State = Released
	return PutTx(row.Key, row.Version, rec), true
}

// Expired returns the transaction that deletes the expired rows among rows. ok is false if there
// are none.
func Expired(now time.Time, rows []table.Row) (tx table.Tx, ok bool) {
	for _, row := range rows {
		rec, err := Decode(row.Value)
		if err != nil || now.UnixMilli() < rec.Expires {
			continue
		}
		tx.Conds = append(tx.Conds, table.Cond{Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, table.Write{Key: row.Key, Delete: true})
	}
	return tx, len(tx.Writes) > 0
}

// Decode decodes a stored record.
func Decode(value []byte) (Record, error) {
	var rec Record
	if err := json.Unmarshal(value, &rec); err != nil {
		return rec, fmt.Errorf("decode booking record: %w", err)
	}
	return rec, nil
}

func encode(rec Record) []byte {
	b, err := json.Marshal(rec)
	if err != nil { // a struct of strings, numbers and bytes always encodes
		panic(err)
	}
	return b
}
