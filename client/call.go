package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Call is a call of a plain service.
type Call struct {
	Service string
	Path    string
	Body    []byte
	// Key is the idempotency key: repeated calls with the same key get the
	// same outcome.
	Key string
	// NotRepeatable marks a call that must run at most once.
	NotRepeatable bool
}

// Answer is the response of a service.
type Answer struct {
	RequestID string
	Status    int
	Body      []byte
}

// callTimeout limits one try of a call at one entry.
const callTimeout = 60 * time.Second

// Do makes a call. It returns a *Problem for every outcome but Done. If the
// connection breaks, a call with a key is repeated at other entries. That is
// safe, since a key runs at most once. If a broken try may have run, the call
// is never reported as NotRun, whatever the responses to later tries say.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	repeats := 0
	uncertain := false
	for try := 0; ; try++ {
		a, err := c.doOnce(ctx, call)
		var p *Problem
		if err == nil || !errors.As(err, &p) {
			return a, err
		}
		uncertain = uncertain || p.Outcome == Unknown
		if uncertain && p.Outcome == NotRun {
			// This try did not run, but an earlier one whose response was
			// lost may have.
			p.Outcome = Unknown
		}
		switch {
		case p.repeatable(call) && repeats < resumeTries:
			repeats++
			p.RetryAfter = max(p.RetryAfter, backoff(repeats))
		case uncertain && call.Key != "" && p.RetryAfter > 0 && p.RetryAfter <= maxUncertainPause && repeats < resumeTries:
			repeats++ // refused while the outcome of an earlier try is unknown
		case p.Outcome != NotRun || p.RetryAfter == 0 || try >= c.opts.Retries:
			return a, err
		}
		if err := pause(ctx, p.RetryAfter); err != nil {
			return a, err
		}
	}
}

// maxUncertainPause is the longest RetryAfter that is waited for in order to
// repeat a call whose outcome is unknown.
const maxUncertainPause = 5 * time.Second

// reasonInProgress means that an earlier call with the same key is still
// running.
const reasonInProgress = "earlier_attempt_in_progress"

// repeatable reports whether the call may be repeated without regard to
// Options.Retries: its connection was lost or an earlier call is still running,
// and either its key makes a repeat safe or it was never sent.
func (p *Problem) repeatable(call Call) bool {
	switch p.Reason {
	case reasonLost:
		return call.Key != "" || p.Outcome == NotRun
	case reasonInProgress:
		return call.Key != ""
	default:
		return false
	}
}

// doOnce makes one try of a call at one entry.
func (c *Client) doOnce(ctx context.Context, call Call) (Answer, error) {
	address, err := c.pickEntry(ctx)
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/"+call.Service+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, fmt.Errorf("call %s: %w", call.Service, err)
	}
	req.GetBody = nil // prevents net/http from resending the request
	c.authorize(req)
	req.Header.Set("Idempotency-Key", call.Key)
	if call.NotRepeatable {
		req.Header.Set("X-Not-Repeatable", "true")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.avoid(address)
		return Answer{}, &Problem{Outcome: lostOutcome(err), Reason: reasonLost, Step: "call", Peer: address}
	}
	defer resp.Body.Close()
	if resp.Header.Get("X-Outcome") != string(Done) {
		return Answer{}, readProblem(resp)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxBody))
	if err != nil {
		c.avoid(address)
		return Answer{}, &Problem{Outcome: Unknown, Reason: reasonLost, Step: "read", Peer: address}
	}
	return Answer{RequestID: resp.Header.Get("X-Request-Id"), Status: resp.StatusCode, Body: body}, nil
}
