package hosted

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// endReason is why a request that was read ended without a complete response. It is logged, and the label
// of incomplete_responses_total. docs/ENDS.md lists where each one arises.
type endReason string

const (
	// endUpstreamBrokeOff: the upstream ended its response early. endUpstreamUnreachable: the connection to it
	// timed out. endEventTooLarge: its stream had an event larger than maxEventBytes.
	endUpstreamBrokeOff    endReason = "upstream_broke_off"
	endUpstreamUnreachable endReason = "upstream_unreachable"
	endEventTooLarge       endReason = "event_too_large"
	// endAttemptClosed: this instance closed the connection of an attempt in progress, because its stream was
	// found to be lost. endMoving: the attempt ended while its generation was being moved.
	endAttemptClosed endReason = "attempt_closed"
	endMoving        endReason = "moving"
	// endConvicted: the parts of the prompt were convicted after the response had begun.
	endConvicted endReason = "part_convicted"
	// endOutOfTime: the deadline passed before the upstream had ended its response. endDelivery: it passed
	// while the caller was still reading a response that had arrived completely.
	endOutOfTime endReason = "out_of_time"
	endDelivery  endReason = "out_of_time_in_delivery"
	// endCallerClosed: the caller closed its connection, or its sending half. endCallerReset: it reset the
	// connection. endCallerUnreachable: the connection to it timed out. endCallerReadsNothing: it accepted no
	// byte for its patience; what is written to it is then no sign of whether it is still there.
	endCallerClosed       endReason = "caller_closed"
	endCallerReset        endReason = "caller_reset"
	endCallerUnreachable  endReason = "caller_unreachable"
	endCallerReadsNothing endReason = "caller_reads_nothing"
	// endProcess: this process closed the caller's connection as it ended.
	endProcess endReason = "process_ends"
	// endBodyMalformed: the body of the request was not valid HTTP. endBodyTooLong: it became longer than the
	// configuration permits after the response had begun.
	endBodyMalformed endReason = "body_malformed"
	endBodyTooLong   endReason = "body_too_large"
	// endPanic: the handler panicked.
	endPanic endReason = "panic"
)

// Causes of the end of a request's context, beside its deadline and the context that net/http ends.
var (
	errCallerLeft  = errors.New("the caller has left")
	errProcessEnds = errors.New("the process ends")
	errBodyTooLong = errors.New("the body is longer than max_body_bytes")
)

// isTimeout reports whether the kernel gave up a connection whose peer did not acknowledge or was out of reach.
func isTimeout(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// connReason returns why a read from a caller's connection or a write to it failed, or "" if the error is
// not one of the connection.
func connReason(err error) endReason {
	switch {
	case errors.Is(err, errReadsNothing):
		return endCallerReadsNothing
	case errors.Is(err, net.ErrClosed):
		return endProcess
	case errors.Is(err, syscall.ECONNRESET):
		return endCallerReset
	case isTimeout(err):
		return endCallerUnreachable
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.EPIPE):
		return endCallerClosed
	}
	return ""
}

// callerReason returns why the caller is taken to have left, and the error that shows it. The kernel reports what
// ended a connection to the first call only, and writes that are aborted fail with errors of their own.
func (x *exchange) callerReason() (endReason, error) {
	c := callerConnOf(x.r.Context())
	failed := []error{x.out.callerError(), x.writeErr}
	if c != nil {
		// A write fails with EPIPE after a read has got the cause, whose goroutine may run later.
		if slices.ContainsFunc(failed, func(err error) bool { return errors.Is(err, syscall.EPIPE) }) {
			c.awaitReadError()
		}
		failed = append(failed, c.readError())
	}
	why, cause := endCallerClosed, cmp.Or(failed...)
	for _, err := range failed {
		reason := connReason(err)
		if reason == "" {
			continue
		}
		why, cause = reason, err
		if reason != endCallerClosed {
			break
		}
	}
	if why == endCallerUnreachable && c != nil && c.paused.Load() {
		why = endCallerReadsNothing // the kernel has given up first
	}
	return why, cause
}

// cutReason returns why a response whose head was delivered is broken off.
func (x *exchange) cutReason(step forward.Step) endReason {
	switch {
	case step.Why == forward.OutOfTime:
		return endOutOfTime
	case step.Why == forward.Draining:
		return endProcess
	case step.Why == forward.TooLarge:
		return endBodyTooLong
	case x.isConvicted():
		return endConvicted
	case x.moving:
		return endMoving
	case errors.Is(x.lastErr, net.ErrClosed):
		return endAttemptClosed
	case errors.Is(x.lastErr, errEventTooLarge):
		return endEventTooLarge
	case isTimeout(x.lastErr):
		return endUpstreamUnreachable
	}
	return endUpstreamBrokeOff
}

// deadlineReason returns why a response is broken off whose deadline passed, whose process ended, or whose request became
// too long, while parts of it were buffered.
func (x *exchange) deadlineReason() endReason {
	switch {
	case errors.Is(context.Cause(x.ctx), errBodyTooLong):
		return endBodyTooLong
	case !errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return endProcess
	case x.outcome == forward.Done:
		return endDelivery
	}
	return endOutOfTime
}

// noteOutcome records how an attempt ended.
func (x *exchange) noteOutcome(o forward.Outcome) {
	x.outcome = o
	x.server.decide(func(time.Time, *forward.Gate) { x.moving = x.activeMove != nil })
}

// breakOff aborts the caller's connection, so that the response does not look complete.
func (x *exchange) breakOff(outcome string, reason endReason, pairs ...any) {
	x.server.countIncomplete(reason)
	left := x.call.Deadline.Sub(boottime.Now())
	x.logEnd(outcome, 0, append([]any{
		"reason", reason, "attempt_outcome", x.outcome, "upstream_at_work", x.upstreamAtWork(reason), "left", left.Round(time.Millisecond),
	}, pairs...)...)
	panic(http.ErrAbortHandler)
}

// upstreamAtWork tells whether the upstream of the last attempt was still at work when the request ended, as
// far as this instance knows.
func (x *exchange) upstreamAtWork(reason endReason) string {
	switch {
	case x.outcome == forward.Cancelled, reason == endConvicted:
		return "yes"
	case reason == endUpstreamUnreachable, reason == endMoving, reason == endAttemptClosed:
		return "unknown"
	}
	return "no"
}

// finish logs a response that was handed over completely, or breaks it off if a write of it has failed.
func (x *exchange) finish(outcome string, status int) {
	if x.writeErr == nil {
		x.logEnd(outcome, status)
		return
	}
	x.breakOffAtCaller()
}

// breakOffAtCaller breaks off a response because the connection to its caller has ended.
func (x *exchange) breakOffAtCaller() {
	reason, err := x.callerReason()
	outcome := "caller_left"
	if reason == endProcess {
		outcome = "cut" // this process closed the connection, and the caller was there
	}
	x.breakOff(outcome, reason, "error", err)
}

func (s *server) countIncomplete(reason endReason) {
	s.metrics.Count("incomplete_responses_total", string(reason))
}

// abortUnreceived aborts the connection of a request whose body was not received.
func (s *server) abortUnreceived(id string, began time.Time, err error) {
	reason := connReason(err)
	if reason == "" {
		reason = endBodyMalformed
	}
	s.log.Info("request_ended", "request", id, "outcome", "body_not_received", "reason", reason, "error", err, "took", time.Since(began).Round(time.Millisecond))
	s.metrics.Count("requests_total", "body_not_received")
	s.countIncomplete(reason)
	panic(http.ErrAbortHandler)
}

// onPanic is deferred by the handler. It logs a panic with the request and aborts the connection, as net/http
// does. The panic of a response that is broken off on purpose passes.
func (s *server) onPanic(req *forward.Request, began time.Time) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares in the same way
		s.log.Error("request_ended", "request", req.ID, "outcome", "panicked", "reason", endPanic, "path", req.Path,
			"error", cause, "stack", panicStack(), "took", time.Since(began).Round(time.Millisecond))
		s.metrics.Count("requests_total", "panicked")
		s.countIncomplete(endPanic)
	}
	panic(http.ErrAbortHandler)
}

// maxUnfinishedLines is the maximum number of requests that are logged one by one as the process ends. Their
// lines fit the queue of the log.
const maxUnfinishedLines = 100

// unfinished is a request in progress as the process ends.
type unfinished struct {
	arrived time.Time
	pairs   []any
}

// logUnfinished logs the requests that are in progress as the process ends, the oldest first, and how many
// there are, including those that are not admitted yet.
func (s *server) logUnfinished() {
	var all []unfinished
	s.decide(func(now time.Time, _ *forward.Gate) {
		for _, x := range s.running {
			all = append(all, unfinished{arrived: x.call.Arrived, pairs: x.unfinishedPairs(now)})
		}
	})
	count := max(int(s.handling.Load()), len(all))
	if count == 0 {
		return
	}
	slices.SortFunc(all, func(a, b unfinished) int { return a.arrived.Compare(b.arrived) })
	for _, u := range all[:min(len(all), maxUnfinishedLines)] {
		s.log.Warn("request_unfinished", u.pairs...)
	}
	s.log.Warn("requests_unfinished", "count", count, "not_admitted", count-len(all), "logged", min(len(all), maxUnfinishedLines))
}

// unfinishedPairs describes a request in progress. The server's lock is held.
func (x *exchange) unfinishedPairs(now time.Time) []any {
	c := x.call
	pairs := []any{
		"request", c.ID, "reason", endProcess, "route", c.Route.Name, "service", c.Service, "events", c.Events,
		"took", now.Sub(c.Arrived).Round(time.Millisecond), "left", c.Deadline.Sub(now).Round(time.Millisecond),
	}
	a := c.Current()
	if a == nil {
		return append(pairs, "upstream_at_work", "no", "moving", x.activeMove != nil)
	}
	return append(pairs, "upstream_at_work", "yes", "upstream", a.Entry.ID, "attempt", a.Number,
		"responded", !a.Responded.IsZero(), "after", now.Sub(a.Sent).Round(time.Millisecond), "moving", x.activeMove != nil)
}
