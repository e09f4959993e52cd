package core

import (
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/stream"
)

// phase is the state of a request at its entry.
type phase int

const (
	phaseReserving phase = iota + 1
	phasePlacing
	phaseClaiming
	phaseRunning
	phaseRecording
	phaseBackingOff
	phaseFencing
	phaseAwaiting
	phaseLookingUp
)

// request is a caller's request at its entry.
type request struct {
	CallerRequest
	org     *config.Organisation
	service *config.Service
	version *config.Version
	phase   phase
	started time.Time
	// wake is the time at which onWake runs next; zero means never.
	wake time.Time

	// attempt is the id of the current attempt. tries is the number of attempts so far.
	attempt string
	tries   int
	// excluded lists the upstreams on which earlier attempts failed.
	excluded []string

	reserve reserveState
	place   placeState
	run     runState
	book    bookState

	seq  stream.Sequencer
	text []byte
	// earlierSent is set if an earlier attempt may have reached an upstream.
	earlierSent bool
	// disconnected is set once the caller's connection has ended, at disconnectedAt.
	disconnected   bool
	disconnectedAt time.Time
}

// reserveState is the state of the reservation from the organisation's budget.
type reserveState struct {
	home       string
	homesTried int
	amount     config.Money
	held       bool
}

// placeState is the state of the request for a grant.
type placeState struct {
	pools     []*config.Pool
	poolIndex int
	home      string
	// requestedAt is the send time of the last grant request. repliedAt is the time of the home's
	// last reply. unanswered is the number of consecutive grant requests without a reply.
	requestedAt time.Time
	// requestTimes holds the send times of all grant requests; request number n is at index n-1.
	requestTimes []time.Time
	repliedAt    time.Time
	unanswered   int
	// failedUpstream and failedBoot identify the upstream, and the run of its process, on which
	// the previous attempt failed.
	failedUpstream string
	failedBoot     string
	// cordonsSent is set once the cordons were sent to a home that granted a cordoned upstream.
	cordonsSent bool
}

// runState is the state of the running attempt.
type runState struct {
	upstream string
	address  string
	// boot identifies the run of the upstream's process, as stated by the pool's home or by a
	// resume handle.
	boot string
	// handle is the signed resume handle, created with the first delivered token.
	handle       string
	priority     int
	sendBefore   time.Time
	lastProgress time.Time
	// link is the number of the attempt's current connection.
	link int
	// resumes counts consecutive resumes without a token. totalResumes counts all resumes.
	resumes      int
	totalResumes int
	// sent is set once the attempt was dispatched. failed is set once it failed at its upstream.
	sent   bool
	failed bool
	// resumeAt is the end of the backoff before the next resume; zero if there is none.
	resumeAt time.Time
	// produced is the number of tokens that the upstream reported. It is valid only if
	// producedKnown is set.
	produced      int
	producedKnown bool
}

// bookState is the state of the claim of a call that may not be repeated.
type bookState struct {
	// baseVersion is the version of the row that the claim requires. version is the version that
	// the claim wrote. claims is the number of claims made.
	baseVersion int64
	version     int64
	claims      int
	record      booking.Record
	// pendingFinish is the finish of the request once its answer is recorded, or once the
	// look-up before a refusal has found no earlier call that may have run.
	pendingFinish Finish
	// lookedUp is set once the look-up before a refusal was made.
	lookedUp bool
	// awaitDeadline ends the wait for the first call with the key; awaitInterval is the time until
	// the next read of its row.
	awaitDeadline time.Time
	awaitInterval time.Duration
}

// mayHaveRun reports whether any attempt may have reached an upstream. A request
// whose first attempt failed and whose second attempt was refused for lack of
// budget must not end as NotRun, as an engine has worked on it.
func (r *request) mayHaveRun() bool { return r.earlierSent || r.run.sent }

func (r *request) isEngine() bool { return r.service.Kind == config.KindEngine }

func (r *request) currentPool() *config.Pool { return r.place.pools[r.place.poolIndex] }

// wakeAt sets the request's only timer.
func (i *Instance) wakeAt(r *request, at time.Time) {
	r.wake = at
	i.timers.add(at, r.ID)
}

func (i *Instance) newAttempt(r *request) {
	r.tries++
	r.attempt = fmt.Sprintf("%s/%d", r.ID, r.tries)
}

// onWake handles the expiry of the request's timer.
func (i *Instance) onWake(now time.Time, r *request) {
	r.wake = time.Time{}
	switch r.phase {
	case phaseReserving:
		i.onReserveTimeout(now, r)
	case phasePlacing:
		i.onPlaceTimeout(now, r)
	case phaseRunning:
		i.onRunTimeout(now, r)
	case phaseBackingOff:
		i.startAttempt(now, r)
	case phaseAwaiting:
		i.pollAwaited(r)
	case phaseClaiming, phaseRecording, phaseFencing, phaseLookingUp:
		// These phases end with the result of the table call, which has its own deadline.
	}
}

// refuse ends a request that gets no further attempt. The outcome is NotRun, or
// Unknown if an earlier attempt may have run. A booking's key is looked up first.
func (i *Instance) refuse(now time.Time, r *request, f Finish) {
	f.Outcome = NotRun
	if i.lookUpBeforeRefusal(now, r, &f) {
		return
	}
	i.count("refusals_total", f.Reason)
	i.finish(now, r, f)
}

// finish ends a request and releases its reservation and its grant.
func (i *Instance) finish(now time.Time, r *request, f Finish) {
	f.Request = r.ID
	if f.Outcome == NotRun && r.mayHaveRun() {
		f.Outcome = Unknown
	}
	i.settle(r, f)
	i.endGrant(r, r.run.failed)
	delete(i.requests, r.ID)
	i.count("outcomes_total", string(f.Outcome))
	i.recordDecision(now, r.ID, "finish", "outcome", f.Outcome, "reason", f.Reason, "step", f.Step, "peer", f.Peer, "tokens", f.Tokens)
	i.emit(Log{Event: "request", Pairs: []any{
		"request", r.ID, "outcome", f.Outcome, "reason", f.Reason, "step", f.Step,
		"peer", f.Peer, "attempts", r.tries, "tokens", f.Tokens, "ms", now.Sub(r.started).Milliseconds(),
	}})
	i.emit(f)
}
