package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/response"
)

// A response without a length and without chunks ends with its connection. The kernel also closes the connections of a
// process that is killed, so that the end alone does not prove that the response is complete: the upstream must
// show that its process goes on. An engine does so by its report, which states when it was started. An upstream without
// reports must accept a new connection, and keep one open that is older than the request: a process that was started again at
// the address also accepts connections.

const (
	// endProofTimeout is for how long an upstream may be silent before the end of its response counts as unproved.
	// A sound upstream may be silent for a second or two.
	endProofTimeout = 3 * time.Second
	// endProofInterval is the time between two attempts to reach it.
	endProofInterval = 100 * time.Millisecond
)

// unframedServices holds the services without reports whose upstreams have sent responses without a length. Requests to
// them are sent beside a second connection, which proves the end of the response.
type unframedServices struct{ names sync.Map }

func (u *unframedServices) add(service string) { u.names.Store(service, true) }

func (u *unframedServices) has(service string) bool {
	_, ok := u.names.Load(service)
	return ok
}

// openLivenessConn opens a second connection to the upstream of an attempt if the end of its response may need it as a proof.
// Without one, the end remains unproved.
func (x *exchange) openLivenessConn(a *forward.Attempt) {
	if !x.server.unframed.has(x.call.Service) {
		return
	}
	if c, err := x.server.conns.Get(x.ctx, a.Entry.Address); err == nil {
		x.livenessConn = c
	}
}

// returnLivenessConn returns the second connection to the pool.
func (x *exchange) returnLivenessConn() {
	if x.livenessConn != nil {
		x.server.conns.Return(x.livenessConn)
		x.livenessConn = nil
	}
}

// errStopped reports that a stream ended with its connection after its generation was ordered to stop.
var errStopped = errors.New("the generation was stopped")

// errEndUnproved reports that a response ended with its connection, and that its upstream may have crashed.
var errEndUnproved = errors.New("the end of the response is not proved")

// errTimeLimit reports that a response ended with its connection when its upstream had to stop.
var errTimeLimit = fmt.Errorf("%w: the time limit of the attempt has passed", errEndUnproved)

// confirmStreamEnd returns an error if the end of a stream's connection does not prove that the stream is complete.
func (x *exchange) confirmStreamEnd(a *forward.Attempt) error {
	if x.framing != response.FramedByClose {
		return nil
	}
	// An engine that stops a generation closes its stream. Whether it was still running, only the response to the
	// call tells.
	x.awaitMove()
	err := x.awaitEndProof(a)
	stopped := false
	x.server.decide(func(time.Time, *forward.Gate) { stopped = x.call.Redirected() })
	if stopped {
		return errStopped
	}
	return err
}

// awaitEndProof returns nil once the upstream of an attempt has shown that its process did not end with the response.
func (x *exchange) awaitEndProof(a *forward.Attempt) error {
	if a.PastTimeLimit(boottime.Now()) {
		x.server.metrics.Count("closed_responses_total", "unproved")
		return errTimeLimit
	}
	ctx, cancel := context.WithTimeout(x.ctx, endProofTimeout)
	defer cancel()
	for {
		proved, err := x.checkUpstreamGoesOn(ctx, a)
		switch {
		case proved:
			x.server.metrics.Count("closed_responses_total", "complete")
			return nil
		case err == nil, ctx.Err() != nil, errors.Is(err, errUpstreamDown), errors.Is(err, syscall.ECONNREFUSED):
			x.server.metrics.Count("closed_responses_total", "unproved")
			return errors.Join(errEndUnproved, err)
		}
		sleep(ctx, endProofInterval)
	}
}

// checkUpstreamGoesOn reports whether the process of an attempt's upstream goes on, by its report or, where its service
// gives none, by a new connection. An error means that it was not reached, or may not be asked at present.
func (x *exchange) checkUpstreamGoesOn(ctx context.Context, a *forward.Attempt) (bool, error) {
	s, reports := x.server, false
	s.decide(func(_ time.Time, g *forward.Gate) { reports = g.Reports(x.call.Service) })
	if reports {
		report, err := s.requestReport(ctx, a.Entry.Address)
		switch {
		case err != nil:
			return false, err
		case report.Status != http.StatusOK && report.Status != http.StatusNotFound:
			return false, fmt.Errorf("%w: report of %s with status %d", errUnreadable, a.Entry.Address, report.Status)
		default: // status 404: it gives no reports, but it responds
			return x.isEndOf(a, report), nil
		}
	}
	c, err := s.conns.Dial(ctx, a.Entry.Address)
	if err != nil {
		return false, fmt.Errorf("connect to %s after its response: %w", a.Entry.Address, err)
	}
	s.conns.Adopt(c, a.Entry.Address)
	s.unframed.add(x.call.Service)
	// Checked after the new connection: when a process that was started again accepts one, all those to the process
	// before it have been closed.
	return x.livenessConn != nil && x.livenessConn.IsOpen() || s.conns.HasOpenSince(a.Entry.Address, x.sentAt), nil
}

// isEndOf reports whether a report agrees that the generation of an attempt has ended.
func (x *exchange) isEndOf(a *forward.Attempt, r Report) (ended bool) {
	events, listed := r.Events[x.call.ID]
	x.server.decide(func(time.Time, *forward.Gate) {
		ended = x.call.HasEnded(a, forward.RunReport{Born: r.Born, Listed: listed, Events: events})
	})
	return ended
}
