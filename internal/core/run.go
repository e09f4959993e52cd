package core

import (
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/stream"
)

// progressTimeout is how long an engine's connection may carry neither a token nor a keep-alive.
// Engines send a keep-alive every second.
const progressTimeout = 4 * time.Second

// dispatch sends the attempt to its upstream.
func (i *Instance) dispatch(now time.Time, r *request) {
	r.phase = phaseRunning
	r.run.sent = true
	r.run.lastProgress = now
	r.run.link++
	i.count("attempts_total", r.service.Name)
	i.wakeAt(r, now.Add(i.silenceTimeout(r)))
	i.emit(Dispatch{
		Request: r.ID, Attempt: r.attempt, Upstream: r.run.upstream, Address: r.run.address, Boot: r.run.boot, Link: r.run.link,
		Engine: r.isEngine(), Method: r.Method, Path: r.Path, Body: r.Body, MaxToken: r.MaxTokens, Key: r.IdempotencyKey,
		Priority: r.run.priority, SendBefore: r.run.sendBefore, Timeout: r.service.Timeout.D(),
	})
}

// silenceTimeout returns how long the upstream may be silent. Plain services send their complete
// answer at once, within the service's timeout.
func (i *Instance) silenceTimeout(r *request) time.Duration {
	if r.isEngine() {
		return progressTimeout
	}
	return r.service.Timeout.D()
}

// requestByAttempt returns the request whose current attempt has the given id, or nil.
func (i *Instance) requestByAttempt(attempt string) *request {
	id, _, _ := strings.Cut(attempt, "/")
	if r := i.requests[id]; r != nil && r.attempt == attempt {
		return r
	}
	return nil
}

// currentRequest returns the request if the event belongs to its current, running attempt.
// Otherwise it counts the event as late and returns nil.
func (i *Instance) currentRequest(id, attempt, kind string) *request {
	r := i.requests[id]
	if r == nil || r.attempt != attempt || r.phase != phaseRunning {
		i.count("late_answers_total", kind)
		return nil
	}
	return r
}

// requestOnLink returns the request if the event arrived over its attempt's current connection, or
// nil. Late events of an earlier connection must not count as failures, as the remaining events
// after a single gap would use up all resumes.
func (i *Instance) requestOnLink(id, attempt string, link int, kind string) *request {
	r := i.currentRequest(id, attempt, kind)
	if r == nil {
		return nil
	}
	if link != r.run.link {
		i.count("late_answers_total", "old_link_"+kind)
		return nil
	}
	return r
}

func (i *Instance) onToken(now time.Time, e UpstreamToken) {
	r := i.requestOnLink(e.Request, e.Attempt, e.Link, "token")
	if r == nil {
		return
	}
	r.run.lastProgress = now
	if e.Index >= r.MaxTokens && r.seq.Next() >= r.MaxTokens {
		i.truncate(now, r)
		return
	}
	switch r.seq.Accept(stream.Generation{ID: e.Attempt, Boot: e.Boot}, e.Index) {
	case stream.Deliver:
		i.deliver(r, e)
	case stream.Duplicate:
		i.count("tokens_dropped_total", "duplicate")
	case stream.Foreign:
		i.failForeign(now, r)
	case stream.Gap:
		i.count("tokens_dropped_total", "gap")
		i.resumeOrFail(now, r, "gap")
	}
}

func (i *Instance) deliver(r *request, e UpstreamToken) {
	r.run.resumes = 0
	if !r.Stream {
		r.text = append(r.text, e.Text...)
	} else if !r.disconnected {
		if r.run.handle == "" {
			r.run.handle = i.signHandle(r)
		}
		i.emit(Deliver{Request: r.ID, Handle: r.run.handle, Index: e.Index, Text: e.Text})
	}
}

// truncate ends an answer that exceeds its token limit, as the cost of further tokens is not
// reserved.
func (i *Instance) truncate(now time.Time, r *request) {
	i.emit(CloseUpstream{Attempt: r.attempt})
	i.emit(Cancel{Address: r.run.address, Attempt: r.attempt})
	i.complete(now, r, "length")
}

// failForeign fails the attempt because the engine, restarted, uses its id for another generation.
func (i *Instance) failForeign(now time.Time, r *request) {
	i.count("tokens_dropped_total", "foreign")
	i.emit(CloseUpstream{Attempt: r.attempt})
	i.attemptFailed(now, r, UpstreamFailed{Sent: true, NotFound: true, Step: "stream", Err: "the engine restarted and sent tokens of another generation under the attempt's id"})
}

func (i *Instance) onAlive(now time.Time, e UpstreamAlive) {
	if r := i.requestOnLink(e.Request, e.Attempt, e.Link, "alive"); r != nil {
		r.run.lastProgress = now
	}
}

func (i *Instance) onEnd(now time.Time, e UpstreamEnd) {
	r := i.requestOnLink(e.Request, e.Attempt, e.Link, "end")
	if r == nil {
		return
	}
	g := stream.Generation{ID: e.Attempt, Boot: e.Boot}
	switch {
	case r.seq.Bound() && r.seq.Generation() != g:
		i.failForeign(now, r)
	case e.Reason == FinishCancelled:
		i.onCancelled(now, r, e)
	case r.seq.Next() != e.Tokens:
		i.count("tokens_dropped_total", "short_end")
		i.resumeOrFail(now, r, "short_end")
	default:
		i.complete(now, r, e.Reason)
	}
}

func (i *Instance) complete(now time.Time, r *request, reason string) {
	i.retries.Success(r.org.Name)
	i.finish(now, r, Finish{
		Outcome: Done, Status: status.OK, Text: string(r.text), Tokens: r.seq.Next(), FinishReason: reason,
	})
}

// onCancelled handles the end of a cancelled generation. The engine reports the number of tokens
// produced, so the cost is known. The pool's home cancels a generation after the resume window; a
// request whose caller is still connected and has received no token is retried.
func (i *Instance) onCancelled(now time.Time, r *request, e UpstreamEnd) {
	r.run.produced = e.Tokens
	r.run.producedKnown = true
	if !r.disconnected && !(r.Stream && r.seq.Bound()) {
		i.attemptFailed(now, r, UpstreamFailed{Sent: true, NotFound: true, Step: "stream", Err: "cancelled"})
		return
	}
	i.finish(now, r, Finish{
		Outcome: Partial, Status: status.BadGateway, Reason: ReasonCancelled, Step: "stream",
		Peer: r.run.upstream, Tokens: r.seq.Next(), RetryAfter: retryAfterNoHome,
	})
}

func (i *Instance) onUpstreamResponse(now time.Time, e UpstreamResponse) {
	r := i.currentRequest(e.Request, e.Attempt, "answer")
	if r == nil {
		return
	}
	i.retries.Success(r.org.Name)
	f := Finish{Outcome: Done, Status: e.Status, Body: e.Body}
	if r.NotRepeatable {
		i.recordAnswer(now, r, f)
		return
	}
	i.finish(now, r, f)
}

// onRunTimeout starts a resume whose backoff has ended, resumes or fails an attempt that has been
// silent for too long, and abandons a generation without a caller.
func (i *Instance) onRunTimeout(now time.Time, r *request) {
	if r.disconnected && now.Sub(r.disconnectedAt) >= i.abandonTimeout(r) {
		i.abandon(now, r)
		return
	}
	if !r.run.resumeAt.IsZero() {
		i.resumeReading(now, r)
		return
	}
	limit := i.silenceTimeout(r)
	if silence := now.Sub(r.run.lastProgress); silence < limit {
		i.wakeAt(r, i.nextCheck(r, limit))
		return
	}
	i.emit(CloseUpstream{Attempt: r.attempt})
	if !r.isEngine() {
		i.attemptFailed(now, r, UpstreamFailed{Sent: true, Step: "await", Err: "timeout"})
		return
	}
	i.resumeOrFail(now, r, "silent")
}

// nextCheck returns the time at which onRunTimeout must run next.
func (i *Instance) nextCheck(r *request, limit time.Duration) time.Time {
	at := r.run.lastProgress.Add(limit)
	if r.disconnected {
		if end := r.disconnectedAt.Add(i.abandonTimeout(r)); end.Before(at) {
			return end
		}
	}
	return at
}

func (i *Instance) onFailed(now time.Time, e UpstreamFailed) {
	r := i.requestOnLink(e.Request, e.Attempt, e.Link, "failure")
	if r == nil {
		return
	}
	i.recordDecision(now, r.ID, "failed", "upstream", r.run.upstream, "step", e.Step, "error", e.Err, "sent", e.Sent)
	// A resumed generation was sent over its first connection.
	e.Sent = e.Sent || r.run.link > 1
	if r.isEngine() && e.Sent && !e.NotFound {
		i.resumeOrFail(now, r, "broken")
		return
	}
	i.attemptFailed(now, r, e)
}
