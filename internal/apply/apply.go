// Package apply publishes a configuration: one immutable object, then one
// compare-and-set of the version row, which either takes full effect or none.
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

// Request is what an operator applies.
type Request struct {
	Files    []config.File `json:"files"`
	Operator string        `json:"operator"`
	// ApplyID is unique to this apply and identifies it after a lost answer.
	ApplyID string `json:"apply_id"`
	// Base is the version that the operator changed, -1 for whichever is in force.
	Base int64 `json:"base"`
}

// Conflict tells that another operator's change came first.
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

// Undecided tells that nobody knows yet whether an apply took effect: its
// write was sent and neither its answer nor the row could be read, or the write
// may still be under way. The same apply repeated with its id and base settles
// it.
type Undecided struct {
	ApplyID string
	Base    int64
	Err     error
}

// Error implements error.
func (u *Undecided) Error() string {
	return fmt.Sprintf("the outcome is not known: repeat it with -id %s -base %d: %v", u.ApplyID, u.Base, u.Err)
}

// Unwrap returns what kept the outcome from being known.
func (u *Undecided) Unwrap() error { return u.Err }

// Store is what apply needs of the platform.
type Store interface {
	platform.Table
	platform.Objects
}

const (
	// appliesRow is the table key of the record of recent applies.
	appliesRow = "config/applies"
	// appliesKept bounds the record. At 1,900 changes a day it reaches back
	// three hours, longer than anybody repeats an apply of unknown outcome.
	appliesKept = 256
	// readBackTries and readBackPause bound the wait for the table after a
	// lost answer.
	readBackTries = 3
	readBackPause = 300 * time.Millisecond
)

// errNoAnswer is the cause of an Undecided whose row has not moved yet.
var errNoAnswer = errors.New("the table did not answer, and the write may still take effect")

// Apply validates and publishes. It returns config.Problems for a wrong
// configuration, a *Conflict if another operator won, an *Undecided if the
// outcome is not known, and otherwise an error after which nothing was applied.
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
	now, err := read(ctx, s)
	if err != nil {
		return core.ConfigPointer{}, fmt.Errorf("nothing was applied: read version row: %w", err)
	}
	return move(ctx, s, req, hash, now)
}

// move moves the version row from the base to the new version and enters the
// apply in the record, both or neither.
func move(ctx context.Context, s Store, req Request, hash string, now state) (core.ConfigPointer, error) {
	if done, ok := now.applied(req.ApplyID); ok {
		return done, nil // a repeat of an apply that took effect
	}
	if req.Base >= 0 && now.pointer.Number != req.Base {
		return core.ConfigPointer{}, now.conflict()
	}
	next := core.ConfigPointer{
		Number: now.pointer.Number + 1, Hash: hash, ApplyID: req.ApplyID, Operator: req.Operator, Cordoned: now.pointer.Cordoned,
	}
	return commit(ctx, s, now, next)
}

// commit puts a pointer in force, unless another has taken the place of the one that was
// read.
func commit(ctx context.Context, s Store, now state, next core.ConfigPointer) (core.ConfigPointer, error) {
	tx, err := now.moveTo(next)
	if err != nil {
		return core.ConfigPointer{}, err
	}
	if s.Commit(ctx, tx).Status == table.Committed {
		return next, nil
	}
	return readBack(ctx, s, next)
}

// readBack settles a conflict or a lost answer by the apply id.
//
// A write whose answer was lost may land after the read-back. It does no harm
// then: its condition is the row's version, so that of this write and a repeat
// of the apply only one can succeed.
func readBack(ctx context.Context, s Store, next core.ConfigPointer) (core.ConfigPointer, error) {
	undecided := &Undecided{ApplyID: next.ApplyID, Base: next.Number - 1, Err: errNoAnswer}
	for range readBackTries {
		now, err := read(ctx, s)
		if err != nil {
			undecided.Err = err
		} else if done, ok := now.applied(next.ApplyID); ok {
			return done, nil
		} else if now.pointer.Number >= next.Number {
			return core.ConfigPointer{}, now.conflict()
		} else {
			undecided.Err = errNoAnswer
		}
		select {
		case <-ctx.Done():
			return core.ConfigPointer{}, undecided
		case <-time.After(readBackPause):
		}
	}
	return core.ConfigPointer{}, undecided
}

// state is what the table holds about configurations.
type state struct {
	current table.Row
	applies table.Row
	pointer core.ConfigPointer
	// recent lists the latest applies, oldest first.
	recent []core.ConfigPointer
}

// applied finds an apply by its id among those that took effect, also when
// others have been applied since: else its repeat would undo theirs.
func (st state) applied(id string) (core.ConfigPointer, bool) {
	for _, p := range st.recent {
		if p.ApplyID == id && id != "" {
			return p, true
		}
	}
	return core.ConfigPointer{}, false
}

func (st state) conflict() *Conflict {
	return &Conflict{Number: st.pointer.Number, Operator: st.pointer.Operator, ApplyID: st.pointer.ApplyID}
}

func (st state) moveTo(next core.ConfigPointer) (table.Tx, error) {
	recent := append(slices.Clone(st.recent), next)
	recent = recent[max(0, len(recent)-appliesKept):]
	record, err := json.Marshal(recent)
	if err != nil {
		return table.Tx{}, fmt.Errorf("nothing was applied: encode record of applies: %w", err)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return table.Tx{}, fmt.Errorf("nothing was applied: encode version row: %w", err)
	}
	return table.Tx{
		Conds: []table.Cond{
			{Key: core.ConfigRow, Version: st.current.Version},
			{Key: appliesRow, Version: st.applies.Version},
		},
		Writes: []table.Write{{Key: core.ConfigRow, Value: value}, {Key: appliesRow, Value: record}},
	}, nil
}

func read(ctx context.Context, s Store) (state, error) {
	var st state
	rows, err := s.Read(ctx, []string{core.ConfigRow, appliesRow})
	if err != nil {
		return st, err
	}
	st.current = table.Result{Rows: rows}.Find(core.ConfigRow)
	st.applies = table.Result{Rows: rows}.Find(appliesRow)
	if err := decode(st.current, &st.pointer); err != nil {
		return st, err
	}
	return st, decode(st.applies, &st.recent)
}

func decode(row table.Row, v any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return nil
}

// Current returns the configuration in force and its number, or an empty one
// and 0 if none was applied.
func Current(ctx context.Context, s Store) (int64, *config.Config, error) {
	st, err := read(ctx, s)
	if err != nil || st.current.Version == 0 {
		return 0, &config.Config{}, err
	}
	object, err := s.Get(ctx, st.pointer.Hash)
	if err != nil {
		return st.pointer.Number, nil, fmt.Errorf("read configuration object: %w", err)
	}
	cfg, err := config.Decode(object, st.pointer.Hash)
	return st.pointer.Number, cfg, err
}
