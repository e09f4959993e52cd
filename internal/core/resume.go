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
	// maxConsecutiveResumes is the maximum number of consecutive resumes without a new token. After it,
	// the attempt has failed.
	maxConsecutiveResumes = 5
	// resumeBackoffOffset is added to the retry number in the backoff between these resumes. The
	// delays range from none to 2 s, so that a link may be down for some seconds.
	resumeBackoffOffset = 2
	// maxTotalResumes is the maximum number of resumes of one attempt in total.
	maxTotalResumes = 30
	// cancelGrace is added to the resume window for the time that an entry follows a generation
	// without a caller. The pool's home cancels the generation in this time, and the engine then
	// reports the number of tokens, which gives the cost.
	cancelGrace = 15 * time.Second
)

// Reasons of streams that end early.
const (
	// ReasonResumedElsewhere: the caller has resumed the stream on another connection.
	ReasonResumedElsewhere = "resumed_elsewhere"
	// ReasonCancelled: the generation was cancelled.
	ReasonCancelled = "cancelled"
	// ReasonCallerDisconnected: the caller disconnected and did not resume.
	ReasonCallerDisconnected = "caller_gone"
)

// signHandle returns the signed handle with which the caller can resume the stream at any instance.
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
	// The generation has run, so a refusal of the resume must not end as NotRun.
	r := &request{CallerRequest: CallerRequest{ID: e.ID, APIKey: e.APIKey, Stream: true}, version: i.version, started: now, earlierSent: true}
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
	i.adoptGeneration(now, r, h, last+1)
}

func badHandle() Finish {
	return Finish{Status: status.BadRequest, Reason: ReasonBadHandle, Step: "resume"}
}

// adoptGeneration takes over a generation that this instance or another entry has started. The
// generation's events get a new handle with the id of request r, so that the entry which handles
// the next resume notifies this instance.
func (i *Instance) adoptGeneration(now time.Time, r *request, h stream.Handle, next int) {
	r.service = r.version.Service(h.Service)
	r.attempt = h.Generation
	r.tries = 1
	r.Prompt, r.MaxTokens, r.Fingerprint = h.Prompt, h.MaxTokens, h.Fingerprint
	r.seq = stream.Resume(stream.Generation{ID: h.Generation, Boot: h.Boot}, next)
	r.reserve = reserveState{home: h.BudgetHome, amount: config.Money(h.Reserved), held: true}
	member, _ := i.view.Member(h.Upstream)
	r.run = runState{upstream: h.Upstream, address: member.Address, boot: h.Boot, sent: true, lastProgress: now, link: 1}
	r.phase = phaseRunning
	i.count("retries_total", "caller_resumed")
	i.recordDecision(now, r.ID, "adopted", "generation", h.Generation, "from", next)
	i.notifyPreviousEntry(now, r, h)
	if pool := r.version.Pool(r.version.PoolOf(h.Upstream)); pool != nil {
		r.place.pools = []*config.Pool{pool}
		r.place.home = i.poolHomeName(now, pool)
		i.announce(now, r)
	}
	i.resumeReading(now, r)
}

// notifyPreviousEntry notifies the previous entry that this instance has adopted the generation. If the
// message is lost, that entry settles the reservation at its maximum after the resume window.
func (i *Instance) notifyPreviousEntry(now time.Time, r *request, h stream.Handle) {
	for _, old := range i.requests {
		if old != r && old.attempt == r.attempt {
			i.releaseAdopted(now, old)
		}
	}
	owner, _, _ := strings.Cut(h.Request, ":")
	if owner != i.self {
		i.send(owner, msg.Adopted{Request: h.Request, Attempt: h.Generation})
	}
}

func (i *Instance) onAdopted(now time.Time, m msg.Adopted) {
	if r := i.requests[m.Request]; r != nil && r.attempt == m.Attempt && r.phase == phaseRunning {
		i.releaseAdopted(now, r)
	}
}

// releaseAdopted ends a request whose generation another request has adopted. The reservation, the
// grant and the generation itself now belong to that request and are left as they are.
func (i *Instance) releaseAdopted(now time.Time, r *request) {
	i.emit(CloseUpstream{Attempt: r.attempt})
	r.reserve.held = false
	r.place.home = ""
	i.finish(now, r, Finish{
		Outcome: Partial, Status: status.Conflict, Reason: ReasonResumedElsewhere, Step: "stream", Tokens: r.seq.Next(),
	})
}

// resumeReading reads the generation from its next token on a new connection. The service's timeout
// bounds the time of all connections together.
func (i *Instance) resumeReading(now time.Time, r *request) {
	left := r.service.Timeout.D() - now.Sub(r.started)
	if left <= 0 {
		i.attemptFailed(now, r, UpstreamFailed{Sent: true, Step: "resume", Err: "timeout"})
		return
	}
	if m, ok := i.view.Member(r.run.upstream); ok {
		r.run.address = m.Address
	}
	if r.run.address == "" {
		// The instance list here may lag behind that of the previous entry.
		i.resumeOrFail(now, r, "unlisted")
		return
	}
	r.run.lastProgress = now
	r.run.resumeAt = time.Time{}
	r.run.link++
	i.wakeAt(r, i.nextCheck(r, progressTimeout))
	i.emit(Dispatch{
		Request: r.ID, Attempt: r.attempt, Upstream: r.run.upstream, Address: r.run.address, Link: r.run.link,
		Engine: true, Resume: true, From: r.seq.Next(), Timeout: left,
	})
}

// resumeOrFail resumes on a new connection, as the old connection may be dead while the generation
// is still running. After too many resumes, the attempt has failed.
func (i *Instance) resumeOrFail(now time.Time, r *request, reason string) {
	r.run.resumes++
	r.run.totalResumes++
	if r.run.resumes > maxConsecutiveResumes || r.run.totalResumes > maxTotalResumes {
		i.attemptFailed(now, r, UpstreamFailed{Sent: true, Step: "resume", Err: reason})
		return
	}
	i.count("retries_total", "resume_"+reason)
	i.recordDecision(now, r.ID, "resume", "reason", reason, "from", r.seq.Next())
	if r.run.resumes == 1 {
		i.resumeReading(now, r)
		return
	}
	i.emit(CloseUpstream{Attempt: r.attempt})
	r.run.link++ // events of the closed connection are now late
	r.run.resumeAt = now.Add(i.retries.Backoff(r.run.resumes + resumeBackoffOffset))
	i.wakeAt(r, r.run.resumeAt)
}

// onCallerDisconnected handles the end of a caller's connection. A stream that has delivered tokens
// is kept for the resume window, and a claimed call that may not be repeated is followed to its
// end. Any other request is ended, and its generation cancelled.
func (i *Instance) onCallerDisconnected(now time.Time, id string) {
	r := i.requests[id]
	if r == nil {
		return
	}
	r.disconnected = true
	r.disconnectedAt = now
	i.recordDecision(now, r.ID, "caller_gone")
	if r.NotRepeatable && r.phase >= phaseClaiming {
		return
	}
	if r.phase == phaseRunning && r.Stream && r.seq.Bound() {
		i.wakeAt(r, i.nextCheck(r, i.silenceTimeout(r)))
		return
	}
	if r.phase == phaseRunning && r.isEngine() {
		// The caller has received no event id, so that the generation can't be resumed.
		i.emit(CloseUpstream{Attempt: r.attempt})
		i.emit(Cancel{Address: r.run.address, Attempt: r.attempt})
	}
	outcome := NotRun
	if r.mayHaveRun() {
		outcome = Unknown
	}
	i.finish(now, r, Finish{Outcome: outcome, Status: status.ServiceUnavailable, Reason: ReasonCallerDisconnected, Step: fmt.Sprint(r.phase)})
}

// abandonTimeout returns how long the entry follows a generation without a caller.
func (i *Instance) abandonTimeout(r *request) time.Duration {
	return r.version.Config.Deployment.ResumeWindow.D() + cancelGrace
}

// abandon stops following a generation whose caller did not come back and that the pool's home has
// not cancelled. It does not cancel the generation, as the caller may have resumed at another entry.
func (i *Instance) abandon(now time.Time, r *request) {
	i.emit(CloseUpstream{Attempt: r.attempt})
	r.place.home = "" // no GrantEnd is sent: the home detects by itself that no entry follows the generation
	i.finish(now, r, Finish{
		Outcome: Partial, Status: status.Gone, Reason: ReasonCallerDisconnected, Step: "stream", Tokens: r.seq.Next(),
	})
}
