package core

import (
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/stream"
)

// progressTimeout is how long an attempt's connection may be silent. Engines send a keep-alive
// every second.
const progressTimeout = 4 * time.Second

// dispatch sends the attempt to its upstream.
func (i *Instance) dispatch(now time.Time, r *request) {
	r.phase = running
	r.run.sent = true
	r.run.progress = now
	r.run.link++
	i.count("attempts_total", r.service.Name)
	i.wakeAt(r, now.Add(i.quietLimit(r)))
	i.emit(Dispatch{
		Request: r.ID, Attempt: r.attempt, Upstream: r.run.upstream, Address: r.run.address, Link: r.run.link,
		Engine: r.engine(), Method: r.Method, Path: r.Path, Body: r.Body, MaxToken: r.MaxTokens, Key: r.IdempotencyKey,
		Priority: r.run.priority, Before: r.run.before, Timeout: r.service.Timeout.D(),
	})
}

// quietLimit returns how long the upstream may be silent. Plain services answer whole, within
// their timeout.
func (i *Instance) quietLimit(r *request) time.Duration {
	if r.engine() {
		return progressTimeout
	}
	return r.service.Timeout.D()
}

func (i *Instance) byAttempt(attempt string) *request {
	id, _, _ := strings.Cut(attempt, "/")
	if r := i.requests[id]; r != nil && r.attempt == attempt {
		return r
	}
	return nil
}

// current returns the request if the event belongs to its current attempt.
func (i *Instance) current(id, attempt, kind string) *request {
	r := i.requests[id]
	if r == nil || r.attempt != attempt || r.phase != running {
		i.count("late_answers_total", kind)
		return nil
	}
	return r
}

// reading returns the request if the event arrived over its current connection. Late events of
// an earlier one must not count as failures: one gap would use up every resume.
func (i *Instance) reading(id, attempt string, link int, kind string) *request {
	r := i.current(id, attempt, kind)
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
	r := i.reading(e.Request, e.Attempt, e.Link, "token")
	if r == nil {
		return
	}
	r.run.progress = now
	if e.Index >= r.MaxTokens && r.seq.Next() >= r.MaxTokens {
		i.overrun(now, r)
		return
	}
	switch r.seq.Accept(stream.Generation{ID: e.Attempt, Boot: e.Boot}, e.Index) {
	case stream.Deliver:
		i.deliver(r, e)
	case stream.Duplicate:
		i.count("tokens_dropped_total", "duplicate")
	case stream.Foreign:
		i.foreign(now, r)
	case stream.Gap:
		i.count("tokens_dropped_total", "gap")
		i.resumeOrFail(now, r, "gap")
	}
}

func (i *Instance) deliver(r *request, e UpstreamToken) {
	r.run.resumes = 0
	if !r.Stream {
		r.text = append(r.text, e.Text...)
	} else if !r.gone {
		if r.run.handle == "" {
			r.run.handle = i.signHandle(r)
		}
		i.emit(Deliver{Request: r.ID, Handle: r.run.handle, Index: e.Index, Text: e.Text})
	}
}

// overrun ends an answer that exceeds its limit: its cost was not reserved.
func (i *Instance) overrun(now time.Time, r *request) {
	i.emit(CloseUpstream{Attempt: r.attempt})
	i.emit(Cancel{Address: r.run.address, Attempt: r.attempt})
	i.done(now, r, "length")
}

// foreign gives up a generation whose id the engine has reused after a restart.
func (i *Instance) foreign(now time.Time, r *request) {
	i.count("tokens_dropped_total", "foreign")
	i.emit(CloseUpstream{Attempt: r.attempt})
	i.attemptFailed(now, r, UpstreamFailed{Sent: true, Gone: true, Step: "stream", Err: "another generation"})
}

func (i *Instance) onAlive(now time.Time, e UpstreamAlive) {
	if r := i.reading(e.Request, e.Attempt, e.Link, "alive"); r != nil {
		r.run.progress = now
	}
}

func (i *Instance) onEnd(now time.Time, e UpstreamEnd) {
	r := i.reading(e.Request, e.Attempt, e.Link, "end")
	if r == nil {
		return
	}
	g := stream.Generation{ID: e.Attempt, Boot: e.Boot}
	switch {
	case r.seq.Bound() && r.seq.Generation() != g:
		i.foreign(now, r)
	case e.Reason == FinishCancelled:
		i.cancelled(now, r, e)
	case r.seq.Next() != e.Tokens:
		i.count("tokens_dropped_total", "short_end")
		i.resumeOrFail(now, r, "short_end")
	default:
		i.done(now, r, e.Reason)
	}
}

func (i *Instance) done(now time.Time, r *request, reason string) {
	i.retries.Success(r.org.Name)
	i.finish(now, r, Finish{
		Outcome: Done, Status: status.OK, Text: string(r.text), Tokens: r.seq.Next(), FinishReason: reason,
	})
}

// cancelled ends a request whose generation the pool's home cancelled after the resume window.
// The engine reports the tokens produced, so the cost is known.
func (i *Instance) cancelled(now time.Time, r *request, e UpstreamEnd) {
	r.run.produced = e.Tokens
	r.run.counted = true
	if !r.gone && !(r.Stream && r.seq.Bound()) {
		i.attemptFailed(now, r, UpstreamFailed{Sent: true, Gone: true, Step: "stream", Err: "cancelled"})
		return
	}
	i.finish(now, r, Finish{
		Outcome: Partial, Status: status.BadGateway, Reason: ReasonCancelled, Step: "stream",
		Peer: r.run.upstream, Tokens: r.seq.Next(), RetryAfter: retryNoHome,
	})
}

func (i *Instance) onAnswer(now time.Time, e UpstreamAnswer) {
	r := i.current(e.Request, e.Attempt, "answer")
	if r == nil {
		return
	}
	i.retries.Success(r.org.Name)
	f := Finish{Outcome: Done, Status: e.Status, Body: e.Body}
	if r.NotRepeatable {
		i.record(now, r, f)
		return
	}
	i.finish(now, r, f)
}

// runTimeout checks whether an attempt has been silent for too long.
func (i *Instance) runTimeout(now time.Time, r *request) {
	if r.gone && now.Sub(r.goneAt) >= i.abandonAfter(r) {
		i.abandon(now, r)
		return
	}
	if !r.run.readAt.IsZero() {
		i.readOn(now, r)
		return
	}
	limit := i.quietLimit(r)
	if quiet := now.Sub(r.run.progress); quiet < limit {
		i.wakeAt(r, i.nextCheck(r, limit))
		return
	}
	i.emit(CloseUpstream{Attempt: r.attempt})
	if !r.engine() {
		i.attemptFailed(now, r, UpstreamFailed{Sent: true, Step: "await", Err: "timeout"})
		return
	}
	i.resumeOrFail(now, r, "silent")
}

// nextCheck returns when runTimeout is due again.
func (i *Instance) nextCheck(r *request, limit time.Duration) time.Time {
	at := r.run.progress.Add(limit)
	if r.gone {
		if end := r.goneAt.Add(i.abandonAfter(r)); end.Before(at) {
			return end
		}
	}
	return at
}

func (i *Instance) onFailed(now time.Time, e UpstreamFailed) {
	r := i.reading(e.Request, e.Attempt, e.Link, "failure")
	if r == nil {
		return
	}
	i.note(now, r.ID, "failed", "upstream", r.run.upstream, "step", e.Step, "error", e.Err, "sent", e.Sent)
	// The first connection of a generation that is read on had sent it.
	e.Sent = e.Sent || r.run.link > 1
	if r.engine() && e.Sent && !e.Gone {
		i.resumeOrFail(now, r, "broken")
		return
	}
	i.attemptFailed(now, r, e)
}
