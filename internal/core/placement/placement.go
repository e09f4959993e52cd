// Package placement decides which upstream runs which request, and when. A Home keeps the ledger
// of granted and queued requests for one pool of upstreams. It processes requests, load reports
// and the ends of attempts, and returns decisions. It does no I/O and has no clock: time is an
// argument.
//
// lengths.go and curve.go learn the distribution of answer lengths, and forecast.go predicts the
// memory that an upstream will need. speed.go measures upstreams, backlog.go tracks their pending
// prefill, and cost.go rates a placement. tuning.go derives headroom and queue order from the
// deployment's weights. queue.go is the fair queue, drain.go measures its throughput, and wait.go
// predicts waits and refuses early. rank.go divides what is granted among urgent and less urgent
// requests, admission.go decides who waits and who is refused immediately, flow.go measures what reaches each
// rank, and turns.go gives refused callers a time to return. choose.go selects an upstream, move.go a destination for a
// running generation. home.go and ledger.go combine them, and progress.go processes the
// announcements of running attempts.
package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// Refusal reasons.
const (
	ReasonNoUpstream = "no_upstream"
	ReasonQueueFull  = "queue_wait"
	ReasonPoison     = "poison"
	// ReasonDeferred: the request cannot be in time and has a turn at its Retry-After.
	ReasonDeferred = "deferred"
	// ReasonCordoned: every upstream on which the request may run is cordoned.
	ReasonCordoned = "cordoned"
)

// reportMaxAge is the age at which a report expires and its upstream gets no new work until the
// next one. Reports arrive every 250 ms, so several may be lost.
const reportMaxAge = 1200 * time.Millisecond

// Request is a request to run one attempt.
type Request struct {
	Attempt string
	Org     string
	// Fingerprint identifies requests of the same content; 0 if unknown.
	Fingerprint uint64
	// Prompt and MaxOutput are in tokens.
	Prompt    int
	MaxOutput int
	// Prefix holds chained hashes of the prompt's blocks, for prefix affinity.
	Prefix []uint64
	// Expected is the caller's estimate of the output in tokens; 0 if none.
	Expected int
	// Exclude lists upstreams on which this request must not run again.
	Exclude []string
	// DataCentre is the entry's location, known from the connection; "" if it is not considered.
	DataCentre string `msgpack:"-"`
	// DataCentres limits where the request may run; empty allows all.
	DataCentres []string `msgpack:",omitempty"`
	// Software is the software version of the only upstreams on which the request may run, because a
	// stream goes on; "" allows all. It arrives in msg.WithSoftware.
	Software string `msgpack:"-"`
	// FirstTarget is the target time from the request to the first token; 0 if there is none.
	FirstTarget time.Duration
	// Suspect marks a request with one strike. It shares no upstream with another such request.
	Suspect bool
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// Rank is the urgency; 0 is the most urgent. TimeLeft is the time until the deadline of the
	// request; 0 if unknown. Both arrive beside the request, in msg.RankedGrantRequest.
	Rank     int           `msgpack:"-"`
	TimeLeft time.Duration `msgpack:"-"`
}

// GenLoad is one generation in an upstream's report.
type GenLoad struct {
	Attempt string `json:"attempt"`
	// Tokens is the number of output tokens so far.
	Tokens int `json:"tokens"`
}

// Report is the load of an upstream as the upstream itself reports it, with some delay.
type Report struct {
	Upstream string `json:"upstream"`
	// Boot changes with every start of the upstream.
	Boot string `json:"boot"`
	// Version is the model version that the engine runs.
	Version string `json:"version"`
	Leaving bool   `json:"leaving"`
	// MaxStarts limits the requests sent to the upstream in any second; 0 means no limit. It is
	// set by the pool's home.
	MaxStarts int `json:"-" msgpack:"-"`
	// StatedRate is the rate of requests per second that the upstream accepts from all instances
	// together; nil if it states none.
	StatedRate *float64 `json:"rate_limit,omitempty" msgpack:"-"`
	// RateLimit is the limit to enforce. It is set by the pool's home.
	RateLimit ratelimit.Limit `json:"-" msgpack:"-"`
	// DataCentre is the upstream's location; "" if unknown.
	DataCentre string `json:"data_centre,omitempty"`
	// Software is the version of the upstream's software; "" if unknown. It is set by the pool's home.
	Software string `json:"-" msgpack:"-"`
	// Slowdown is the stated factor by which work takes longer than usual on the machine.
	Slowdown slowdown.Stated `json:"slowdown,omitzero" msgpack:"-"`
	// Penalty lowers the score of the upstream: in seconds in flight if scores are predicted
	// costs, otherwise as a fraction of the memory. It is set by the pool's home.
	Penalty float64 `json:"-" msgpack:"-"`
	// Capacity and Used are in tokens of engine memory; in concurrent calls for a plain
	// service.
	Capacity int `json:"capacity"`
	Used     int `json:"used"`
	MaxBatch int `json:"max_batch"`
	// Running and Waiting are the numbers of generations that the upstream runs and queues.
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	Preemptions int64     `json:"preemptions"`
	Gens        []GenLoad `json:"gens"`
}

// Kind is the kind of a decision.
type Kind int

// Kinds of decision.
const (
	Granted Kind = iota + 1
	Queued
	Refused
)

// String returns the name for metrics.
func (k Kind) String() string {
	switch k {
	case Granted:
		return "granted"
	case Queued:
		return "queued"
	default:
		return "refused"
	}
}

// Decision is the decision on a request, made immediately or while it is queued.
type Decision struct {
	Attempt  string
	Kind     Kind
	Upstream string
	// Priority is passed to the engine; a lower value runs first.
	Priority   int
	Reason     string
	RetryAfter time.Duration
	// Position is the place in the queue, from 1, if Queued.
	Position int
	// Forecast holds the predictions behind a grant, for the log.
	Forecast Forecast `msgpack:"-"`
	// Refusal holds the predictions behind a refusal, for the log. Turn is set if the caller had
	// returned for its turn and is now queued or granted. Rank is the request's rank in both cases.
	Refusal Refusal `msgpack:"-"`
	Turn    bool    `msgpack:"-"`
	Rank    int     `msgpack:"-"`
}

// Refusal is what a refusal of a request with a target was decided by.
type Refusal struct {
	// Ahead is the number of requests that would have been served first.
	Ahead int
	// First is the predicted time to the first token.
	First  time.Duration
	Target time.Duration
	// Turns is the number of turns that the home has given.
	Turns int
	// Returned is set if the caller had been refused before and had returned.
	Returned bool
}

// Forecast is the predicted course of a granted generation.
type Forecast struct {
	// Unread is the number of other prompt tokens that the upstream computes first.
	Unread int
	// First is the expected time from the grant to the first token. Pace is the expected time per
	// token without concurrent prefill. Output is the expected number of output tokens.
	First  time.Duration
	Pace   time.Duration
	Output int
	// Slowdown is the expected factor by which work takes longer than usual there at the time of the
	// grant; 0 if the upstream has stated nothing about that.
	Slowdown float64
	// Free is the fraction of the memory that is free at the forecast peak.
	Free float64
}

// Settings configure a home.
type Settings struct {
	Weights config.Weights
	// Engine is false for plain services, whose load is measured in concurrent calls.
	Engine bool
	// Service is the name of the pool's service.
	Service string
	// PromptRate is the prefill throughput in tokens a second while generations run; 0 means
	// defaultPrefillRate.
	PromptRate float64
	// Predict selects upstreams by the predicted time in flight of the new generation and of
	// those that its prefill delays, instead of by free memory. It requires entries that
	// announce first tokens.
	Predict bool
	// Without lists disabled mechanisms.
	Without mechanism.Set
	// Ways selects alternative algorithms for some decisions.
	Ways mechanism.Ways
	// Lengths is shared by the homes of one instance. Nil creates one.
	Lengths *Lengths
}
