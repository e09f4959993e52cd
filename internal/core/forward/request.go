package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/status"
)

// Request is a caller's request as far as decisions depend on it.
type Request struct {
	// ID is the caller's id of this attempt.
	ID   string
	Host string
	Path string
	// Key is the API key, "" if there is none.
	Key string
	// Timeout is the caller's time limit; 0 if it set none.
	Timeout time.Duration
	// PromptTokens and MaxOutput are the declared sizes of a generation, Hint the caller's
	// estimate of the output, 0 if it gave none.
	PromptTokens int
	MaxOutput    int
	Hint         int
	// Print is the fingerprint of path, key and body.
	Print uint64
	// Length is the Content-Length, -1 if unknown.
	Length int64
	// Replayable is set if the whole body is buffered.
	Replayable bool
}

// Reason is the reason of a refusal or failure, used as a metric label and in logs.
type Reason string

// Reasons of refusals and failures.
const (
	NoConfig   Reason = "no_configuration"
	NoCordons  Reason = "cordons_not_known"
	NoRoute    Reason = "no_route"
	NoService  Reason = "no_service"
	UnknownKey Reason = "unknown_key"
	StaleKeys  Reason = "keys_not_confirmed"
	// StaleConfig: the configuration lacks the route or key, but may be outdated.
	StaleConfig Reason = "configuration_not_confirmed"
	NoUpstream  Reason = "no_upstream"
	// Cordoned: all data centres that the request may use are cordoned.
	Cordoned Reason = "cordoned"
	// Cold: the remaining upstreams are cold and accept no more requests at present.
	Cold Reason = "upstreams_cold"
	// OtherRegions: the service has no upstream in the allowed regions; NoRegion: route and
	// organisation allow no region in common.
	OtherRegions  Reason = "no_upstream_in_regions"
	NoRegion      Reason = "no_region_allowed"
	PoolFull      Reason = "pool_full"
	Draining      Reason = "instance_leaving"
	Crashes       Reason = "crashes_upstreams"
	OutOfTime     Reason = "out_of_time"
	NoAttempts    Reason = "attempts_used"
	NoBudget      Reason = "retry_budget_used"
	NotReplayable Reason = "body_not_held"
	Unrepeatable  Reason = "not_repeatable"
	Memory        Reason = "body_memory"
	TooLarge      Reason = "body_too_large"
	GrantLapsed   Reason = "grant_lapsed"
)

// Refusal is an answer of the instance itself.
type Refusal struct {
	Status int
	Reason Reason
	// RetryAfter tells the caller when to retry; 0 leaves it open.
	RetryAfter time.Duration
}

// PromisesNotRun reports whether a status promises that the request has not run and never
// will.
func PromisesNotRun(code int) bool {
	switch code {
	case status.ServiceUnavailable, status.TooManyRequests,
		status.RequestTimeout, status.MisdirectedRequest:
		return true
	}
	return false
}

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	// Done: the whole answer was delivered.
	Done Outcome = "done"
	// NotSent: no connection could be established and nothing was sent.
	NotSent Outcome = "not_sent"
	// Rejected: the upstream stated that it has not run the request.
	Rejected Outcome = "rejected"
	// Misdirected: the address belongs to another upstream now; nothing ran.
	Misdirected Outcome = "misdirected"
	// Lost: the request was sent without a usable answer, so it may have run.
	Lost Outcome = "lost"
	// Failed: the upstream answered with an error of its own.
	Failed Outcome = "failed"
	// Cut: the answer ended after its head.
	Cut Outcome = "cut"
	// Cancelled: the caller left or the deadline passed.
	Cancelled Outcome = "cancelled"
)

// Attempt is one transmission of a request to an upstream.
type Attempt struct {
	// Upstream may change at any time; Entry is its state when the attempt was decided.
	Upstream *roster.Upstream
	Entry    roster.Entry
	// Number counts the attempts of the call from 1.
	Number int
	Sent   time.Time
	// Within is the time limit passed to the upstream.
	Within time.Duration
	// GiveUp is when the attempt is cancelled in favour of another upstream; zero if only the
	// call's deadline ends it.
	GiveUp time.Time
	// CopyAt references a copy of the generation to continue from; "" starts from the
	// beginning.
	CopyAt string
	tokens int
}

// Call is a request in progress.
type Call struct {
	Request
	Route   *route.Route
	Service string
	// Pool is the pool whose home was last asked.
	Pool string
	// Organisation owns the key; "" on public routes.
	Organisation string
	Rank         int
	// Regions restricts where the call may run; empty means no restriction.
	Regions []string
	Arrived time.Time
	// Deadline is the earlier of the route's and the caller's time limit.
	Deadline time.Time
	// ConfigVersion is the configuration version that admitted the request.
	ConfigVersion int64
	// Events counts the events delivered to the caller.
	Events int
	// LastEvent is the id of the last of them.
	LastEvent string

	current *Attempt
	silence silence
	// redirect lists where a moved generation can continue, best first.
	redirect []*Attempt
	// resumed is set while a resumed attempt has not delivered an event; redirect then holds
	// the alternatives.
	resumed bool
	// offers counts the pools asked.
	offers int
	// grants counts the requests for grants after the first.
	grants int
	sends  int
	dials  int
	// mayHaveRun is set after an attempt ended without proof that it did not run.
	mayHaveRun bool
	tried      []*roster.Upstream
}

// Current returns the attempt in progress, or nil.
func (c *Call) Current() *Attempt { return c.current }

// Sends returns the number of attempts so far.
func (c *Call) Sends() int { return c.sends }

// MayHaveRun reports whether an upstream may have run the request.
func (c *Call) MayHaveRun() bool { return c.mayHaveRun }

// Step is the next action for a call: exactly one field is set.
type Step struct {
	Send   *Attempt
	Refuse *Refusal
	// AskHome requests a grant from the pool's home.
	AskHome bool
	// Relay passes on the upstream's error.
	Relay bool
	// Abort breaks off an answer whose head was already delivered.
	Abort bool
	// End finishes the call: the answer is complete or the caller has left.
	End bool
	// Why is the reason if nothing is sent.
	Why Reason
}
