// Package apply publishes a configuration: it stores one immutable object and
// then updates the version row by one compare-and-set, which takes effect either
// completely or not at all.
package apply

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/table"
	"mulberrylug.example/mulberrylug/internal/platform"
)

// Request is an operator's request to apply a configuration.
type Request struct {
	Files    []config.File `json:"files"`
	Operator string        `json:"operator"`
	// ApplyID is unique to this apply. It identifies the apply after a lost
	// response.
	ApplyID string `json:"apply_id"`
	// Base is the version that the change is based on, or -1 for any version
	// that is in force.
	Base int64 `json:"base"`
}

// Conflict is the error for a change that was not made because another one came
// first. Its fields describe the version in force.
type Conflict struct {
	Number   int64  `json:"number"`
	Operator string `json:"operator"`
	ApplyID  string `json:"apply_id"`
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("nothing was applied: version %d by %q (apply %s) is in force; compare with diff and apply on -base %d",
		c.Number, c.Operator, c.ApplyID, c.Number)
}

// Undecided is the error for an apply that may or may not have taken effect: its
// write was sent, and either neither a response nor the version row could be
// read, or the write may still be in transit. Repeating the same apply with its
// id and base resolves the outcome.
type Undecided struct {
	ApplyID string
	Base    int64
	// Err is the reason why the outcome is unknown.
	Err error
}

// Error implements error.
func (u *Undecided) Error() string {
	return fmt.Sprintf("the outcome is not known: repeat it with -id %s -base %d: %v", u.ApplyID, u.Base, u.Err)
}

// Unwrap returns the reason why the outcome is unknown.
func (u *Undecided) Unwrap() error { return u.Err }

// Store is the part of the platform that this package uses.
type Store interface {
	platform.Table
	platform.Objects
}

const (
	// appliesRow is the table key of the record of recent applies.
	appliesRow = "config/applies"
	// maxRecentApplies is the maximum number of applies in the record. At 1,900
	// changes a day the record covers three hours, which is longer than an
	// operator keeps repeating an apply of unknown outcome.
	maxRecentApplies = 256
	// readBackTries and readBackInterval limit the wait for the table after a
	// lost response.
	readBackTries    = 3
	readBackInterval = 300 * time.Millisecond
)

// errNoResponse is the cause of an Undecided if the version row is still
// unchanged.
var errNoResponse = errors.New("the table did not respond, and the write may still take effect")

// Apply validates and publishes a configuration. It returns config.Problems for
// an invalid configuration, a *Conflict if another change came first and an
// *Undecided if the outcome is not known. After any other error nothing was
// applied.
func Apply(ctx context.Context, s Store, req Request) (core.ConfigPointer, error) {
	cfg, err := config.Parse(req.Files)
	if err != nil {
		return core.ConfigPointer{}, err
	}
	object, hash, err := cfg.Encode()
	if err != nil {
		return core.ConfigPointer{}, err
	}
	if err := s.Put(ctx, hash, object); err != nil {
		return core.ConfigPointer{}, fmt.Errorf("nothing was applied: publish configuration object: %w", err)
	}
	now, err := readState(ctx, s)
	if err != nil {
		return core.ConfigPointer{}, fmt.Errorf("nothing was applied: read version row: %w", err)
	}
	return applyOnce(ctx, s, req, hash, now)
}

// applyOnce changes the version row from the base to the new version and adds
// the apply to the record, in one transaction.
func applyOnce(ctx context.Context, s Store, req Request, hash string, now state) (core.ConfigPointer, error) {
	if done, ok := now.findApplied(req.ApplyID); ok {
		return done, nil // repeated apply that has already taken effect
	}
	if req.Base >= 0 && now.pointer.Number != req.Base {
		return core.ConfigPointer{}, now.conflict()
	}
	next := core.ConfigPointer{
		Number: now.pointer.Number + 1, Hash: hash, ApplyID: req.ApplyID, Operator: req.Operator, Cordoned: now.pointer.Cordoned,
	}
	return commit(ctx, s, now, next)
}

// commit puts the pointer next in force, unless the version row has changed since now was
// read.
func commit(ctx context.Context, s Store, now state, next core.ConfigPointer) (core.ConfigPointer, error) {
	tx, err := now.transaction(next)
	if err != nil {
		return core.ConfigPointer{}, err
	}
	if s.Commit(ctx, tx).Status == table.Committed {
		return next, nil
	}
	return readBack(ctx, s, next)
}

// readBack determines the outcome of a write after a conflict or a lost
// response: it looks up the apply id in the record.
//
// A write whose response was lost may be applied by the table after the
// read-back. That does no harm: the write is conditional on the row's version, so that
// either it or a repeat of the apply succeeds, but not both.
func readBack(ctx context.Context, s Store, next core.ConfigPointer) (core.ConfigPointer, error) {
	undecided := &Undecided{ApplyID: next.ApplyID, Base: next.Number - 1, Err: errNoResponse}
	for range readBackTries {
		now, err := readState(ctx, s)
		if err != nil {
			undecided.Err = err
		} else if done, ok := now.findApplied(next.ApplyID); ok {
			return done, nil
		} else if now.pointer.Number >= next.Number {
			return core.ConfigPointer{}, now.conflict()
		} else {
			undecided.Err = errNoResponse
		}
		select {
		case <-ctx.Done():
			return core.ConfigPointer{}, undecided
		case <-time.After(readBackInterval):
		}
	}
	return core.ConfigPointer{}, undecided
}

// state is the content of the two rows about configurations in the table.
type state struct {
	versionRow table.Row
	recordRow  table.Row
	// pointer is the decoded version row.
	pointer core.ConfigPointer
	// recent is the decoded record of recent applies, oldest first.
	recent []core.ConfigPointer
}

// findApplied looks up an apply by its id in the record of those that took
// effect. The record includes applies that have been followed by others, since
// otherwise repeating such an apply would undo the later ones.
func (st state) findApplied(id string) (core.ConfigPointer, bool) {
	for _, p := range st.recent {
		if p.ApplyID == id && id != "" {
			return p, true
		}
	}
	return core.ConfigPointer{}, false
}

// conflict returns the error for a change that the version in force precludes.
func (st state) conflict() *Conflict {
	return &Conflict{Number: st.pointer.Number, Operator: st.pointer.Operator, ApplyID: st.pointer.ApplyID}
}

// transaction returns the transaction that puts next in force and adds it to
// the record of applies, on condition that neither row has changed since st was
// read.
func (st state) transaction(next core.ConfigPointer) (table.Tx, error) {
	recent := append(slices.Clone(st.recent), next)
	recent = recent[max(0, len(recent)-maxRecentApplies):]
	record, err := json.Marshal(recent)
	if err != nil {
		return table.Tx{}, fmt.Errorf("nothing was changed: encode record of applies: %w", err)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return table.Tx{}, fmt.Errorf("nothing was changed: encode version row: %w", err)
	}
	return table.Tx{
		Conds: []table.Cond{
			{Key: core.ConfigRow, Version: st.versionRow.Version},
			{Key: appliesRow, Version: st.recordRow.Version},
		},
		Writes: []table.Write{{Key: core.ConfigRow, Value: value}, {Key: appliesRow, Value: record}},
	}, nil
}

// readState reads and decodes the version row and the record of applies.
func readState(ctx context.Context, s Store) (state, error) {
	var st state
	rows, err := s.Read(ctx, []string{core.ConfigRow, appliesRow})
	if err != nil {
		return st, err
	}
	st.versionRow = table.Result{Rows: rows}.Find(core.ConfigRow)
	st.recordRow = table.Result{Rows: rows}.Find(appliesRow)
	if err := decodeRow(st.versionRow, &st.pointer); err != nil {
		return st, err
	}
	return st, decodeRow(st.recordRow, &st.recent)
}

// decodeRow decodes a row's value into v, and leaves v unchanged if the row does
// not exist.
func decodeRow(row table.Row, v any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return nil
}

// Current returns the version number and the configuration in force. Before the
// first apply it returns 0 and an empty configuration.
func Current(ctx context.Context, s Store) (int64, *config.Config, error) {
	st, err := readState(ctx, s)
	if err != nil || st.versionRow.Version == 0 {
		return 0, &config.Config{}, err
	}
	object, err := s.Get(ctx, st.pointer.Hash)
	if err != nil {
		return st.pointer.Number, nil, fmt.Errorf("read configuration object: %w", err)
	}
	cfg, err := config.Decode(object, st.pointer.Hash)
	return st.pointer.Number, cfg, err
}
