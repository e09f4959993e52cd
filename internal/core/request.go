package core

import (
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/stream"
)

// phase is a request's state.
type phase int

const (
	reserving phase = iota + 1
	placing
	claiming
	running
	recording
	backingOff
	fencing
	awaiting
	lookingUp
)

// request is a caller's request at its entry.
type request struct {
	CallerRequest
	org     *config.Organisation
	service *config.Service
	version *config.Version
	phase   phase
	started time.Time
	// wake is when onWake is due; zero means never.
	wake time.Time

	// attempt is the id of the current attempt, tries their number.
	attempt string
	tries   int
	exclude []string

	reserve reserveState
	place   placeState
	run     runState
	book    bookState

	seq  stream.Sequencer
	text []byte
	// ran is set once an earlier attempt may have reached an upstream.
	ran bool
	// gone is set once the caller's connection ended, at goneAt.
	gone   bool
	goneAt time.Time
}

// reserveState is the reservation of the organisation's budget.
type reserveState struct {
	home   string
	asks   int
	amount config.Money
	held   bool
}

// placeState is the search for an upstream.
type placeState struct {
	pools []*config.Pool
	pool  int
	home  string
	asked time.Time
	// sent holds the time of each ask by its number from 1.
	sent   []time.Time
	heard  time.Time
	missed int
	// failed and failedBoot identify where the previous attempt failed.
	failed     string
	failedBoot string
	// toldCordons is set once the home was told that it grants cordoned upstreams.
	toldCordons bool
}

// runState is the running attempt.
type runState struct {
	upstream string
	address  string
	// boot is the upstream's run, as stated by its home or its answer.
	boot string
	// handle is signed with the first delivered token.
	handle   string
	priority int
	before   time.Time
	progress time.Time
	// link numbers the attempt's connections.
	link int
	// resumes counts consecutive connections without progress, resumesAll all of them.
	resumes    int
	resumesAll int
	// sent is set once the attempt was dispatched, failed once its upstream broke it off.
	sent   bool
	failed bool
	// readAt is when reading continues after a backoff; zero if there is none.
	readAt time.Time
	// produced is the upstream's count of tokens, if counted.
	produced int
	counted  bool
}

// bookState is the claim of a call that may not be repeated.
type bookState struct {
	// base is the row's version that the claim requires, version the one
	// that it wrote, tries how often it was made.
	base    int64
	version int64
	tries   int
	record  booking.Record
	// answer waits for the record, or for the look-up before a refusal.
	answer   Finish
	looked   bool
	awaitEnd time.Time
	pause    time.Duration
}

// mayHaveRun reports whether any attempt may have reached an upstream. Without
// it, a request whose first attempt broke and whose second found no budget
// would be called "not run" although an engine had worked on it.
func (r *request) mayHaveRun() bool { return r.ran || r.run.sent }

func (r *request) engine() bool { return r.service.Kind == config.KindEngine }

func (r *request) currentPool() *config.Pool { return r.place.pools[r.place.pool] }

// wakeAt sets the request's only timer.
func (i *Instance) wakeAt(r *request, at time.Time) {
	r.wake = at
	i.timers.add(at, r.ID)
}

func (i *Instance) newAttempt(r *request) {
	r.tries++
	r.attempt = fmt.Sprintf("%s/%d", r.ID, r.tries)
}

// onWake handles the request's timer.
func (i *Instance) onWake(now time.Time, r *request) {
	r.wake = time.Time{}
	switch r.phase {
	case reserving:
		i.reserveTimeout(now, r)
	case placing:
		i.placeTimeout(now, r)
	case running:
		i.runTimeout(now, r)
	case backingOff:
		i.startAttempt(now, r)
	case awaiting:
		i.awaitTimeout(r)
	case claiming, recording, fencing, lookingUp:
		// The table's own deadline ends these.
	}
}

// refuse ends a request that gets no further attempt. It did not run, unless
// an earlier attempt may have.
func (i *Instance) refuse(now time.Time, r *request, f Finish) {
	f.Outcome = NotRun
	if i.lookUpFirst(now, r, &f) {
		return
	}
	i.count("refusals_total", f.Reason)
	i.finish(now, r, f)
}

// finish ends a request and releases what it holds.
func (i *Instance) finish(now time.Time, r *request, f Finish) {
	f.Request = r.ID
	if f.Outcome == NotRun && r.mayHaveRun() {
		f.Outcome = Unknown
	}
	i.settle(r, f)
	i.endGrant(r, r.run.failed)
	delete(i.requests, r.ID)
	i.count("outcomes_total", string(f.Outcome))
	i.note(now, r.ID, "finish", "outcome", f.Outcome, "reason", f.Reason, "step", f.Step, "peer", f.Peer, "tokens", f.Tokens)
	i.emit(Log{Event: "request", Pairs: []any{
		"request", r.ID, "outcome", f.Outcome, "reason", f.Reason, "step", f.Step,
		"peer", f.Peer, "attempts", r.tries, "tokens", f.Tokens, "ms", now.Sub(r.started).Milliseconds(),
	}})
	i.emit(f)
}
