package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/retry"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/stream"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// attemptFailed retries on another upstream where that is safe, or ends the request.
func (i *Instance) attemptFailed(now time.Time, r *request, e UpstreamFailed) {
	r.run.failed = e.Sent
	if !e.Sent {
		r.run.sent = false // not a byte of it has left
	}
	if r.NotRepeatable {
		i.bookingFailed(now, r, e)
		return
	}
	if r.engine() && e.Sent {
		i.emit(Cancel{Address: r.run.address, Attempt: r.attempt})
	}
	if !i.mayTryAgain(now, r) {
		i.finish(now, r, r.failure(e))
		return
	}
	i.tryAgain(now, r, e)
}

// mayTryAgain reports whether another attempt is safe and within the budgets. A stream that
// has delivered a token cannot be retried: another generation has different tokens.
func (i *Instance) mayTryAgain(now time.Time, r *request) bool {
	if r.delivered() || r.gone || r.tries >= maxAttempts || now.Sub(r.started) >= r.service.Timeout.D() {
		return false
	}
	if v := i.retries.Take(now, r.org.Name); v != retry.Allowed {
		i.count("retries_refused_total", string(v))
		return false
	}
	return true
}

// delivered reports whether a token of the current generation has left.
func (r *request) delivered() bool { return r.Stream && r.seq.Bound() }

func (r *request) failure(e UpstreamFailed) Finish {
	f := Finish{
		Outcome: NotRun, Status: status.BadGateway, Reason: ReasonUpstreamCut, Step: e.Step, Peer: r.run.upstream,
		RetryAfter: retryNoHome, Tokens: r.seq.Next(),
	}
	switch {
	case r.delivered():
		f.Outcome = Partial
	case r.mayHaveRun():
		f.Outcome = Unknown
	}
	return f
}

func (i *Instance) tryAgain(now time.Time, r *request, e UpstreamFailed) {
	i.count("retries_total", "upstream_"+e.Step)
	i.settle(r, Finish{Outcome: Unknown, Tokens: r.seq.Next()})
	i.endGrant(r, e.Sent)
	r.place.failed = r.run.upstream
	r.place.failedBoot = ""
	if e.Sent {
		r.place.failedBoot = r.run.boot
	}
	r.exclude = append(r.exclude, r.run.upstream)
	r.seq = stream.Sequencer{}
	r.text = r.text[:0]
	r.ran = r.mayHaveRun()
	r.run = runState{}
	r.phase = backingOff
	i.wakeAt(r, now.Add(i.retries.Backoff(r.tries)))
}
