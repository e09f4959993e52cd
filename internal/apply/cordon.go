package apply

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"mulberrylug.example/mulberrylug/internal/core"
)

// CordonRequest is an operator's request to cordon a data centre, so that its upstreams get no
// new work, or to lift its cordon.
type CordonRequest struct {
	DataCentre string `json:"data_centre"`
	// Lift is true to lift the cordon, false to cordon.
	Lift     bool   `json:"lift"`
	Operator string `json:"operator"`
	// ApplyID is unique to this change. It identifies the change after a lost response.
	ApplyID string `json:"apply_id"`
}

// cordonTries is the maximum number of tries of a cordon change that conflicts with other
// operators' changes. A retry overwrites nothing, since a cordon change leaves the configuration
// as it is.
const cordonTries = 5

// errNoConfig is the error for a cordon change before the first configuration.
var errNoConfig = errors.New("no configuration is in force")

// Cordon cordons a data centre or lifts its cordon, and leaves the configuration as it is. It
// returns an *Undecided if the outcome is not known. After any other error nothing has changed.
// If the data centre is already in the requested state, Cordon writes nothing and returns the
// pointer in force.
func Cordon(ctx context.Context, s Store, req CordonRequest) (core.ConfigPointer, error) {
	var err error
	for range cordonTries {
		var p core.ConfigPointer
		if p, err = cordonOnce(ctx, s, req); err == nil {
			return p, nil
		}
		var conflict *Conflict
		if !errors.As(err, &conflict) {
			break
		}
	}
	return core.ConfigPointer{}, err
}

// cordonOnce makes one try of a cordon change.
func cordonOnce(ctx context.Context, s Store, req CordonRequest) (core.ConfigPointer, error) {
	now, err := readState(ctx, s)
	if err != nil {
		return core.ConfigPointer{}, fmt.Errorf("nothing was changed: read version row: %w", err)
	}
	if done, ok := now.findApplied(req.ApplyID); ok {
		return done, nil
	}
	if now.pointer.Number == 0 {
		return core.ConfigPointer{}, fmt.Errorf("nothing was changed: %w", errNoConfig)
	}
	next := now.pointer
	next.Cordoned = slices.DeleteFunc(slices.Clone(next.Cordoned), func(dc string) bool { return dc == req.DataCentre })
	if !req.Lift {
		next.Cordoned = append(next.Cordoned, req.DataCentre)
		slices.Sort(next.Cordoned)
	}
	if slices.Equal(next.Cordoned, now.pointer.Cordoned) {
		return now.pointer, nil
	}
	next.Number, next.ApplyID, next.Operator = now.pointer.Number+1, req.ApplyID, req.Operator
	return commit(ctx, s, now, next)
}

// InForceNow returns the pointer in force: the version number with the configuration object's
// hash and the cordoned data centres. Its number is 0 before the first apply.
func InForceNow(ctx context.Context, s Store) (core.ConfigPointer, error) {
	st, err := readState(ctx, s)
	return st.pointer, err
}
