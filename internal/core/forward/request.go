package forward

import (
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward/admission"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/status"
)

// Request holds the properties of a caller's request that decisions depend on.
type Request struct {
	// ID is the request id. It also identifies the first grant.
	ID   string
	Host string
	Path string
	// Key is the API key, "" if the request carries none.
	Key string
	// Timeout is the time limit that the caller set; 0 means none.
	Timeout time.Duration
	// PromptTokens and MaxOutput are the declared sizes of a generation, in tokens. Hint is the
	// caller's estimate of the output in tokens; 0 means none.
	PromptTokens int
	MaxOutput    int
	Hint         int
	// AfterEvent is the id of the last event that the caller has of a stream that it takes up again, and
	// Resumes the request id of the try that brought the first event; "" for other requests, and where the
	// caller does not state it.
	AfterEvent string
	Resumes    string
	// Fingerprint is the fingerprint of path, key and body.
	Fingerprint uint64
	// Parts are hashes of the parts of the prompt that other requests may share: all but the last. At most
	// suspect.MaxParts are considered.
	Parts []uint64
	// HeadBytes is the size of the head in bytes, without the spaces round the values of its fields.
	HeadBytes int
	// Length is the Content-Length in bytes, -1 if unknown. Received is the number of bytes of the body that have
	// arrived so far.
	Length, Received int64
	// Replayable is set if the complete body is buffered, so that it can be sent again.
	Replayable bool
}

// GoesOn reports whether the caller takes up a stream of which it already has events.
func (r *Request) GoesOn() bool { return r.AfterEvent != "" || r.Resumes != "" }

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
	// StaleConfig: the configuration lacks the route or key, but it may be outdated.
	StaleConfig Reason = "configuration_not_confirmed"
	NoUpstream  Reason = "no_upstream"
	// UnknownOrigin: the caller has events of the stream, and it is not known which software made them.
	UnknownOrigin Reason = "stream_origin_unknown"
	// NoSameSoftware: the caller has events of the stream, and no upstream of the software version that
	// made the first one takes it.
	NoSameSoftware Reason = "no_upstream_of_version"
	// Cordoned: all data centres that the request may use are cordoned.
	Cordoned Reason = "cordoned"
	// Cold: the upstreams that could take the request are cold and accept no more requests at
	// present.
	Cold Reason = "upstreams_cold"
	// OtherRegions: the service has no upstream in the allowed regions. NoRegion: no region is
	// allowed by both the route and the organisation.
	OtherRegions Reason = "no_upstream_in_regions"
	NoRegion     Reason = "no_region_allowed"
	PoolFull     Reason = "pool_full"
	// ServiceFull: the request is predicted to be too late at each upstream that could take it, or
	// all of them are full.
	ServiceFull Reason = "service_full"
	// Deferred: the request cannot be in time, and has a turn if it is sent again after Retry-After.
	Deferred Reason = "deferred"
	Draining Reason = "instance_leaving"
	// RateLimit: the upstreams that could take the request accept no more requests at present
	// because of the rate limits that they state.
	RateLimit Reason = "upstream_rate_limits"
	// Paused: the upstreams that could take the request have asked this instance for a pause.
	Paused        Reason = "upstreams_paused"
	Crashes       Reason = "crashes_upstreams"
	OutOfTime     Reason = "out_of_time"
	NoAttempts    Reason = "attempts_used"
	NoBudget      Reason = "retry_budget_used"
	NotReplayable Reason = "body_not_held"
	Unrepeatable  Reason = "not_repeatable"
	Memory        Reason = "body_memory"
	// NoMemory: the memory account of this instance has no room for another request.
	NoMemory     Reason = "memory"
	TooLarge     Reason = "body_too_large"
	HeadTooLarge Reason = "head_too_large"
	// BodyLate: the caller has not sent the body of its request in time.
	BodyLate     Reason = "body_late"
	GrantExpired Reason = "grant_lapsed"
)

// Refusal is an error response of the instance itself, not forwarded from an upstream.
type Refusal struct {
	Status int
	Reason Reason
	// RetryAfter is the delay after which the caller should retry; 0 means unspecified.
	RetryAfter time.Duration
}

// PromisesNotRun reports whether an HTTP status code promises that the request has not run and
// never will.
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
	// Done: the complete response was delivered.
	Done Outcome = "done"
	// NotSent: no connection could be established and nothing was sent.
	NotSent Outcome = "not_sent"
	// Withheld: the upstream no longer accepted the request once the connection was established, and nothing was
	// sent.
	Withheld Outcome = "withheld"
	// Rejected: the upstream responded that it has not run the request.
	Rejected Outcome = "rejected"
	// Misdirected: the address now belongs to another upstream, which did not run the request.
	Misdirected Outcome = "misdirected"
	// Lost: the request was sent and no usable response arrived, so it may have run.
	Lost Outcome = "lost"
	// Unread: the request was sent, so it may have run, and this instance had no memory for the response. That says
	// nothing about the upstream.
	Unread Outcome = "unread"
	// Failed: the upstream responded with an error, so the request may have run.
	Failed Outcome = "failed"
	// Cut: the response broke off after its header.
	Cut Outcome = "cut"
	// Cancelled: the caller disconnected or the deadline passed.
	Cancelled Outcome = "cancelled"
)

// Attempt is one transmission of a request to an upstream.
type Attempt struct {
	// Upstream is the live state, which may change at any time. Entry is the upstream's roster
	// entry at the time when it was chosen.
	Upstream *roster.Upstream
	Entry    roster.Entry
	// Number counts the attempts of the call from 1.
	Number int
	Sent   time.Time
	// Responded is when the head of the response arrived; zero if it has not, or is not recorded.
	Responded time.Time
	// TimeLimit is the time limit passed to the upstream.
	TimeLimit time.Duration
	// CancelAt is when the attempt may be cancelled in favour of another upstream; zero if only the
	// call's deadline limits it.
	CancelAt time.Time
	// CopyAt references the copy of a moved generation from which the upstream continues; ""
	// starts from the beginning.
	CopyAt string
	// toLeaving is set if the upstream was known to leave when it was chosen; see sendToLeaving.
	toLeaving bool
	// AvoidedFor is for how long this instance sends nothing more to the upstream, which turned the
	// attempt away because it was full; 0 otherwise.
	AvoidedFor time.Duration
	// Choice is how the upstream was chosen if it is one of a plain service that states its speed.
	Choice Choice
	// rounds is the predicted duration of the attempt in service times; 0 if the load of the upstream
	// was not known.
	rounds float64
	// events counts the events of the attempt that were delivered to the caller or buffered for it.
	events int
	// tokens is the estimated work, and bodyBytes the size of the body in bytes. Both are counted at
	// the upstream while the attempt runs.
	tokens    int
	bodyBytes int64
}

// Call is a request in progress.
type Call struct {
	Request
	Route   *route.Route
	Service string
	// Pool is the pool whose home last received a grant request; "" if none did.
	Pool string
	// Organisation owns the key; "" on public routes.
	Organisation string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Regions lists the regions in which the call may run; empty means all.
	Regions []string
	Arrived time.Time
	// Deadline is the earlier of the route's and the caller's time limit.
	Deadline time.Time
	// ConfigVersion is the configuration version that admitted the request.
	ConfigVersion int64
	// Events counts the events that were delivered to the caller or are buffered for it.
	Events int
	// LastEvent is the id of the last of these events, "" if it had none.
	LastEvent string
	// sparse is set once the events of an attempt were not numbered one by one.
	sparse bool

	// origin is where the stream began; nil until its first event.
	origin *roster.Origin
	// current is the attempt in progress, nil between attempts.
	current *Attempt
	silence silence
	// readingPaused is set while no event is read because the caller has not read the earlier ones.
	readingPaused bool
	// resumeTargets lists the upstreams where a moved generation can continue, best first.
	resumeTargets []*Attempt
	// resumed is set from the start of a resumed attempt to its first event. Until then
	// resumeTargets holds the alternatives.
	resumed bool
	// poolsTried counts the pools from which a grant was requested.
	poolsTried int
	// grantRetries counts the grant requests after the first.
	grantRetries int
	// sends counts the attempts, without failed dials and resumed attempts.
	sends int
	// dials counts the failed dials.
	dials int
	// retryReserved is set while the next retry is counted against the budget and not sent yet.
	retryReserved bool
	// mayHaveRun is set after an attempt ended without proof that it did not run.
	mayHaveRun bool
	// tried lists the upstreams of all attempts except resumed ones.
	tried []*roster.Upstream
	// selfChosen is set if this instance chose the upstream of the next attempt without a grant.
	selfChosen bool
	// grantExpiresAt is the end of the validity of the home's grant otherwise.
	grantExpiresAt time.Time
	// lastOutcome is the outcome of the last attempt. headerDelivered is set if a response header
	// had been delivered to the caller by then.
	lastOutcome     Outcome
	headerDelivered bool
	// permitFor is the upstream for which a permit is requested; nil if none is. permit is the run
	// of the upstream for which there is a permit.
	permitFor *roster.Upstream
	permit    roster.Run
	// permitNumber counts the requests for permits, avoidances the upstreams that did not take the
	// call after they had been chosen.
	permitNumber int
	avoidances   int
	// permitMaxWait and permitMaxLateWait are the accepted waits for the requested permit.
	permitMaxWait, permitMaxLateWait time.Duration
	// basis is what a refusal with ServiceFull is based on, returnAfter its Retry-After.
	basis       admission.Basis
	returnAfter time.Duration
	// leastRank is the most urgent rank that calls of the service may have.
	leastRank int
	// asUrgent is set if admission control treats the call like the most urgent ones.
	asUrgent bool
	// serviceTime is the service time of the call's service when its upstream is chosen; 0 if unknown.
	serviceTime time.Duration
	// choice is how the upstream of the next attempt was chosen.
	choice Choice
	// avoided lists the upstreams that a pool's home granted and that did not take the call: for lack
	// of a permit, or because they had asked for a pause.
	avoided []string
}

// Current returns the attempt in progress, or nil.
func (c *Call) Current() *Attempt { return c.current }

// Basis returns what the refusal of the call with ServiceFull is based on. It is empty if all upstreams
// were full.
func (c *Call) Basis() admission.Basis { return c.basis }

// received returns the number of events of the stream that the caller has, also from earlier tries; ok is false
// if the event after which it takes the stream up has no number.
func (c *Call) received() (events int, ok bool) {
	if c.AfterEvent == "" {
		return c.Events, true
	}
	before, err := strconv.Atoi(c.AfterEvent)
	return before + c.Events, err == nil
}

// Sends returns the number of attempts so far, without failed dials and resumed attempts.
func (c *Call) Sends() int { return c.sends }

// MayHaveRun reports whether an upstream may have run the request.
func (c *Call) MayHaveRun() bool { return c.mayHaveRun }

// Redirected reports whether the call continues from a copy once its current attempt has ended.
func (c *Call) Redirected() bool { return len(c.resumeTargets) > 0 && !c.resumed }

// Resuming reports whether the call's next attempt continues a moved generation.
func (c *Call) Resuming() bool { return c.current == nil && len(c.resumeTargets) > 0 }

// Step is the next action for a call. Exactly one field besides Why is set.
type Step struct {
	Send   *Attempt
	Refuse *Refusal
	// RequestGrant requests a grant from the home of the call's pool.
	RequestGrant bool
	// RequestPermit requests a permit from the home of the rate limit of the call's next upstream.
	RequestPermit bool
	// Relay forwards the upstream's error response to the caller.
	Relay bool
	// Abort breaks off a response whose header was already delivered.
	Abort bool
	// End finishes the call: the response is complete or the caller has disconnected.
	End bool
	// Why is the reason if nothing is sent to an upstream.
	Why Reason
}
