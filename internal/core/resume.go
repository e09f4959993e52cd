package core

import (
	"fmt"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/stream"
)

const (
	// resumeTries is the number of consecutive connections without progress after which the
	// upstream counts as failed.
	resumeTries = 5
	// resumeBackoff multiplies the delays between them: from none to 2 s, so that a link may
	// be down for some seconds.
	resumeBackoff = 2
	// maxResumes bounds the connections of one attempt in total.
	maxResumes = 30
	// cancelGrace is how much longer than the resume window an entry follows a generation
	// without a caller. The pool's home cancels it in the meantime, which reveals its cost.
	cancelGrace = 15 * time.Second
)

// Reasons of streams that end early.
const (
	// ReasonElsewhere: the stream continues on another connection.
	ReasonElsewhere = "resumed_elsewhere"
	// ReasonCancelled: the generation was cancelled.
	ReasonCancelled = "cancelled"
	// ReasonCallerGone: the caller did not come back.
	ReasonCallerGone = "caller_gone"
)

func (i *Instance) signHandle(r *request) string {
	h := stream.Handle{
		Request: r.ID, Organisation: r.org.Name, Service: r.service.Name, Upstream: r.run.upstream,
		Boot: r.seq.Generation().Boot, Generation: r.attempt, BudgetHome: r.reserve.home,
		Reserved: int64(r.reserve.amount), Prompt: r.Prompt, MaxTokens: r.MaxTokens, Fingerprint: r.Fingerprint,
	}
	signed, err := h.Sign(r.version.Config.Deployment.StreamKey)
	if err != nil { // a struct of strings and numbers always encodes
		panic(err)
	}
	return signed
}

// onResume continues a stream for a caller that lost its connection.
func (i *Instance) onResume(now time.Time, e CallerResume) {
	// The generation has run: a refusal to read on must not say otherwise.
	r := &request{CallerRequest: CallerRequest{ID: e.ID, APIKey: e.APIKey, Stream: true}, version: i.version, started: now, ran: true}
	i.requests[r.ID] = r
	if f := r.authenticate(); f != nil {
		i.refuse(now, r, *f)
		return
	}
	signed, last, err := stream.ParseEventID(e.LastEventID)
	if err != nil {
		i.refuse(now, r, badHandle())
		return
	}
	h, err := stream.Open(r.version.Config.Deployment.StreamKey, signed)
	if err != nil || h.Organisation != r.org.Name || r.version.Service(h.Service) == nil || last >= h.MaxTokens {
		i.refuse(now, r, badHandle())
		return
	}
	i.adopt(now, r, h, last+1)
}

func badHandle() Finish {
	return Finish{Status: status.BadRequest, Reason: ReasonBadHandle, Step: "resume"}
}

// adopt takes over a generation started by another entry or this one. Its events get a handle
// that names this entry, which the next adopter notifies.
func (i *Instance) adopt(now time.Time, r *request, h stream.Handle, next int) {
	r.service = r.version.Service(h.Service)
	r.attempt = h.Generation
	r.tries = 1
	r.Prompt, r.MaxTokens, r.Fingerprint = h.Prompt, h.MaxTokens, h.Fingerprint
	r.seq = stream.Resume(stream.Generation{ID: h.Generation, Boot: h.Boot}, next)
	r.reserve = reserveState{home: h.BudgetHome, amount: config.Money(h.Reserved), held: true}
	member, _ := i.view.Member(h.Upstream)
	r.run = runState{upstream: h.Upstream, address: member.Address, boot: h.Boot, sent: true, progress: now, link: 1}
	r.phase = running
	i.count("retries_total", "caller_resumed")
	i.note(now, r.ID, "adopted", "generation", h.Generation, "from", next)
	i.tellAdopted(now, r, h)
	if pool := r.version.Pool(r.version.PoolOf(h.Upstream)); pool != nil {
		r.place.pools = []*config.Pool{pool}
		r.place.home = i.poolHomeName(now, pool)
		i.announce(now, r)
	}
	i.readOn(now, r)
}

// tellAdopted tells the previous entry to let go of the generation. If the message is lost,
// that entry settles the reservation at its maximum after the resume window.
func (i *Instance) tellAdopted(now time.Time, r *request, h stream.Handle) {
	for _, old := range i.requests {
		if old != r && old.attempt == r.attempt {
			i.letGo(now, old)
		}
	}
	owner, _, _ := strings.Cut(h.Request, ":")
	if owner != i.self {
		i.send(owner, msg.Adopted{Request: h.Request, Attempt: h.Generation})
	}
}

func (i *Instance) onAdopted(now time.Time, m msg.Adopted) {
	if r := i.requests[m.Request]; r != nil && r.attempt == m.Attempt && r.phase == running {
		i.letGo(now, r)
	}
}

// letGo ends a request whose generation another entry follows. It settles nothing, ends no
// grant and cancels nothing.
func (i *Instance) letGo(now time.Time, r *request) {
	i.emit(CloseUpstream{Attempt: r.attempt})
	r.reserve.held = false
	r.place.home = ""
	i.finish(now, r, Finish{
		Outcome: Partial, Status: status.Conflict, Reason: ReasonElsewhere, Step: "stream", Tokens: r.seq.Next(),
	})
}

// readOn reads the generation from its next token on a new connection. The service's timeout
// bounds all connections together.
func (i *Instance) readOn(now time.Time, r *request) {
	left := r.service.Timeout.D() - now.Sub(r.started)
	if left <= 0 {
		i.attemptFailed(now, r, UpstreamFailed{Sent: true, Step: "resume", Err: "timeout"})
		return
	}
	if m, ok := i.view.Member(r.run.upstream); ok {
		r.run.address = m.Address
	}
	if r.run.address == "" {
		// The list here may lack for a moment what another instance's has.
		i.resumeOrFail(now, r, "unlisted")
		return
	}
	r.run.progress = now
	r.run.readAt = time.Time{}
	r.run.link++
	i.wakeAt(r, i.nextCheck(r, progressTimeout))
	i.emit(Dispatch{
		Request: r.ID, Attempt: r.attempt, Upstream: r.run.upstream, Address: r.run.address, Link: r.run.link,
		Engine: true, Resume: true, From: r.seq.Next(), Timeout: left,
	})
}

// resumeOrFail reads on over a new connection, as the old one may be dead while the generation
// is well.
func (i *Instance) resumeOrFail(now time.Time, r *request, reason string) {
	r.run.resumes++
	r.run.resumesAll++
	if r.run.resumes > resumeTries || r.run.resumesAll > maxResumes {
		i.attemptFailed(now, r, UpstreamFailed{Sent: true, Step: "resume", Err: reason})
		return
	}
	i.count("retries_total", "resume_"+reason)
	i.note(now, r.ID, "resume", "reason", reason, "from", r.seq.Next())
	if r.run.resumes == 1 {
		i.readOn(now, r)
		return
	}
	i.emit(CloseUpstream{Attempt: r.attempt})
	r.run.link++ // what the closed connection still brings is late
	r.run.readAt = now.Add(i.retries.Backoff(r.run.resumes + resumeBackoff))
	i.wakeAt(r, r.run.readAt)
}

// onCallerGone handles the end of a caller's connection. A stream is kept for the resume
// window and a call that may not be repeated is followed to its end; anything else is given
// up.
func (i *Instance) onCallerGone(now time.Time, id string) {
	r := i.requests[id]
	if r == nil {
		return
	}
	r.gone = true
	r.goneAt = now
	i.note(now, r.ID, "caller_gone")
	if r.NotRepeatable && r.phase >= claiming {
		return
	}
	if r.phase == running && r.Stream && r.seq.Bound() {
		i.wakeAt(r, i.nextCheck(r, i.quietLimit(r)))
		return
	}
	if r.phase == running && r.engine() {
		// No event id has left, so that nobody can resume this.
		i.emit(CloseUpstream{Attempt: r.attempt})
		i.emit(Cancel{Address: r.run.address, Attempt: r.attempt})
	}
	outcome := NotRun
	if r.mayHaveRun() {
		outcome = Unknown
	}
	i.finish(now, r, Finish{Outcome: outcome, Status: status.ServiceUnavailable, Reason: ReasonCallerGone, Step: fmt.Sprint(r.phase)})
}

// abandonAfter returns how long the entry follows a generation without a caller.
func (i *Instance) abandonAfter(r *request) time.Duration {
	return r.version.Config.Deployment.ResumeWindow.D() + cancelGrace
}

// abandon stops following a generation whose caller did not come back and that the home has
// not cancelled. It does not cancel either: the caller may have resumed elsewhere.
func (i *Instance) abandon(now time.Time, r *request) {
	i.emit(CloseUpstream{Attempt: r.attempt})
	r.place.home = "" // the home finds out by itself that nobody follows this
	i.finish(now, r, Finish{
		Outcome: Partial, Status: status.Gone, Reason: ReasonCallerGone, Step: "stream", Tokens: r.seq.Next(),
	})
}
