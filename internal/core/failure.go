package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/retry"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/stream"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// attemptFailed handles a failed attempt. It retries on another upstream if that is safe, and
// ends the request otherwise.
func (i *Instance) attemptFailed(now time.Time, r *request, e UpstreamFailed) {
	r.run.failed = e.Sent
	if !e.Sent {
		r.run.sent = false // no byte of the call was sent
	}
	if r.NotRepeatable {
		i.bookingFailed(now, r, e)
		return
	}
	if r.isEngine() && e.Sent {
		i.emit(Cancel{Address: r.run.address, Attempt: r.attempt})
	}
	if !i.mayRetry(now, r) {
		i.finish(now, r, r.failureFinish(e))
		return
	}
	i.retryAttempt(now, r, e)
}

// mayRetry reports whether another attempt is safe and within the limits and the retry budget. A
// stream that has delivered a token cannot be retried, as another generation would have different
// tokens.
func (i *Instance) mayRetry(now time.Time, r *request) bool {
	if r.hasDelivered() || r.disconnected || r.tries >= maxAttempts || now.Sub(r.started) >= r.service.Timeout.D() {
		return false
	}
	if v := i.retries.Take(now, r.org.Name); v != retry.Allowed {
		i.count("retries_refused_total", string(v))
		return false
	}
	return true
}

// hasDelivered reports whether a token of the current generation was streamed to the caller.
func (r *request) hasDelivered() bool { return r.Stream && r.seq.Bound() }

// failureFinish returns the finish of a request whose last attempt failed.
func (r *request) failureFinish(e UpstreamFailed) Finish {
	f := Finish{
		Outcome: NotRun, Status: status.BadGateway, Reason: ReasonUpstreamFailed, Step: e.Step, Peer: r.run.upstream,
		RetryAfter: retryAfterNoHome, Tokens: r.seq.Next(),
	}
	switch {
	case r.hasDelivered():
		f.Outcome = Partial
	case r.mayHaveRun():
		f.Outcome = Unknown
	}
	return f
}

// retryAttempt releases what the failed attempt held and starts the next one after a backoff.
func (i *Instance) retryAttempt(now time.Time, r *request, e UpstreamFailed) {
	i.count("retries_total", "upstream_"+e.Step)
	i.settle(r, Finish{Outcome: Unknown, Tokens: r.seq.Next()})
	i.endGrant(r, e.Sent)
	r.place.failedUpstream = r.run.upstream
	r.place.failedBoot = ""
	if e.Sent {
		r.place.failedBoot = r.run.boot
	}
	r.excluded = append(r.excluded, r.run.upstream)
	r.seq = stream.Sequencer{}
	r.text = r.text[:0]
	r.earlierSent = r.mayHaveRun()
	r.run = runState{}
	r.phase = phaseBackingOff
	i.wakeAt(r, now.Add(i.retries.Backoff(r.tries)))
}
