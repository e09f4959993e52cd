package apply

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/response"
)

// maxResponse is the maximum size of the response of an instance in bytes. The largest one has a configuration as
// large as an apply request may be.
const maxResponse = 64 << 20

// Result is the body of an instance's HTTP response to an operator who applies a
// change through it. Exactly one field is set.
type Result struct {
	Applied   *core.ConfigPointer `json:"applied,omitempty"`
	Problems  config.Problems     `json:"problems,omitempty"`
	Conflict  *Conflict           `json:"conflict,omitempty"`
	Undecided *UndecidedResult    `json:"undecided,omitempty"`
	// Failed is the reason why nothing was changed.
	Failed string `json:"failed,omitempty"`
}

// UndecidedResult is the JSON form of an Undecided.
type UndecidedResult struct {
	ApplyID string `json:"apply_id"`
	Base    int64  `json:"base"`
	Cause   string `json:"cause"`
}

// ResultOf returns the HTTP status and the body for a result of Apply or Cordon.
func ResultOf(p core.ConfigPointer, err error) (int, Result) {
	var conflict *Conflict
	var undecided *Undecided
	var problems config.Problems
	switch {
	case err == nil:
		return http.StatusOK, Result{Applied: &p}
	case errors.As(err, &problems):
		return http.StatusUnprocessableEntity, Result{Problems: problems}
	case errors.As(err, &conflict):
		return http.StatusConflict, Result{Conflict: conflict}
	case errors.As(err, &undecided):
		u := &UndecidedResult{ApplyID: undecided.ApplyID, Base: undecided.Base, Cause: undecided.Err.Error()}
		return http.StatusGatewayTimeout, Result{Undecided: u}
	default:
		return http.StatusServiceUnavailable, Result{Failed: err.Error()}
	}
}

// result returns the result of Apply or Cordon that the response was made from.
func (a Result) result() (core.ConfigPointer, error) {
	switch {
	case a.Applied != nil:
		return *a.Applied, nil
	case len(a.Problems) > 0:
		return core.ConfigPointer{}, a.Problems
	case a.Conflict != nil:
		return core.ConfigPointer{}, a.Conflict
	case a.Undecided != nil:
		u := a.Undecided
		return core.ConfigPointer{}, &Undecided{ApplyID: u.ApplyID, Base: u.Base, Err: errors.New(u.Cause)}
	default:
		return core.ConfigPointer{}, errors.New(a.Failed)
	}
}

// ApplyThrough sends an apply to an instance's operator address. It returns the same
// results as Apply. Without a response the outcome is unknown, as the instance
// may have applied the configuration.
func ApplyThrough(ctx context.Context, address string, req Request) (core.ConfigPointer, error) {
	return post(ctx, address, "/v1/apply", req, Undecided{ApplyID: req.ApplyID, Base: req.Base})
}

// CordonThrough sends a cordon change to an instance's operator address. It
// returns the same results as Cordon.
func CordonThrough(ctx context.Context, address string, req CordonRequest) (core.ConfigPointer, error) {
	return post(ctx, address, "/v1/cordons", req, Undecided{ApplyID: req.ApplyID, Base: -1})
}

// post sends a change to an instance's operator address. If no valid response arrives, it
// returns undecided with the cause.
func post(ctx context.Context, address, path string, req any, undecided Undecided) (core.ConfigPointer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return core.ConfigPointer{}, fmt.Errorf("nothing was changed: encode request: %w", err)
	}
	noResponse := func(err error) (core.ConfigPointer, error) {
		undecided.Err = fmt.Errorf("send change through %s: %w", address, err)
		return core.ConfigPointer{}, &undecided
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return core.ConfigPointer{}, fmt.Errorf("nothing was changed: send change through %s: %w", address, err)
	}
	resp, err := response.DefaultClient.Do(r)
	if err != nil {
		return noResponse(err)
	}
	defer resp.Body.Close()
	var a Result
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxResponse)).Decode(&a); err != nil {
		return noResponse(fmt.Errorf("status %d: decode response: %w", resp.StatusCode, err))
	}
	return a.result()
}

// InForce is the body of an operator address's response to a request for the
// configuration in force.
type InForce struct {
	Number int64          `json:"number"`
	Config *config.Config `json:"config"`
}

// CurrentThrough requests the version number and the configuration in force from
// an instance's operator address.
func CurrentThrough(ctx context.Context, address string) (int64, *config.Config, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/config", nil)
	if err != nil {
		return 0, nil, fmt.Errorf("get configuration from %s: %w", address, err)
	}
	resp, err := response.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, fmt.Errorf("get configuration from %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, nil, fmt.Errorf("get configuration from %s: status %d", address, resp.StatusCode)
	}
	var f InForce
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxResponse)).Decode(&f); err != nil || f.Config == nil {
		return 0, nil, fmt.Errorf("get configuration from %s: decode response: %w", address, err)
	}
	return f.Number, f.Config, nil
}
