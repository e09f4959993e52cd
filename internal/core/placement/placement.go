// Package placement decides which upstream runs which request, and when. A
// Home keeps the ledger of granted and queued work for one pool of upstreams;
// it takes asks, reports and ends, and returns decisions. It does no I/O and
// has no clock: time is an argument.
//
// One file holds one concern: lengths.go and curve.go learn how long answers
// get, forecast.go what memory an upstream will need, tuning.go turns the
// deployment's weights into headroom and order, queue.go is the fair queue,
// choose.go picks an upstream, wait.go predicts waits and refuses early, and
// home.go and ledger.go put them together.
package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// Refusal reasons.
const (
	ReasonNoUpstream = "no_upstream"
	ReasonQueueFull  = "queue_wait"
	ReasonPoison     = "poison"
	// ReasonCordoned: every upstream that the ask may run on is cordoned.
	ReasonCordoned = "cordoned"
)

// reportMaxAge is the age at which a report expires and the upstream gets no new work. Reports
// arrive every 250 ms, so several may be lost.
const reportMaxAge = 1200 * time.Millisecond

// Ask is a request to run one attempt.
type Ask struct {
	Attempt     string
	Org         string
	Fingerprint uint64
	// Prompt and MaxOutput are in tokens.
	Prompt    int
	MaxOutput int
	// Prefix holds chained hashes of the prompt's blocks, for prefix affinity.
	Prefix []uint64
	// Expected is the caller's estimate of the output in tokens; 0 if none.
	Expected int
	// Exclude lists upstreams that this request must not run on again.
	Exclude []string
	// DataCentre is the entry's location, known from the connection; "" if it does not matter.
	DataCentre string `msgpack:"-"`
	// DataCentres limits where the request may run; empty allows all.
	DataCentres []string `msgpack:",omitempty"`
	// FirstTarget is the deadline for the first token after the ask; 0 if there is none.
	FirstTarget time.Duration
	// Suspect marks a request with one strike, which shares no upstream with another suspect.
	Suspect bool
	// MaxWait is the longest time in the queue.
	MaxWait time.Duration
}

// GenLoad is one generation in an upstream's report.
type GenLoad struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
}

// Report is an upstream's own, delayed account of its load.
type Report struct {
	Upstream string `json:"upstream"`
	// Boot changes with every start of the upstream.
	Boot string `json:"boot"`
	// Version is the model version that the engine runs.
	Version string `json:"version"`
	Leaving bool   `json:"leaving"`
	// MaxStarts limits the requests sent in any second; 0 is no limit. Set by the home.
	MaxStarts int `json:"-" msgpack:"-"`
	// DataCentre is the upstream's location; "" if unknown.
	DataCentre string `json:"data_centre,omitempty"`
	// Penalty lowers the score of the upstream, as a fraction of its memory. Set by the home.
	Penalty float64 `json:"-" msgpack:"-"`
	// Capacity and Used are in tokens of engine memory; in concurrent calls for a plain
	// service.
	Capacity int `json:"capacity"`
	Used     int `json:"used"`
	MaxBatch int `json:"max_batch"`
	// Running and Waiting count generations inside the upstream.
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

// Decision answers an ask, immediately or later.
type Decision struct {
	Attempt  string
	Kind     Kind
	Upstream string
	// Priority is passed to the engine; lower runs first.
	Priority   int
	Reason     string
	RetryAfter time.Duration
	// Position is the place in the queue, from 1, if Queued.
	Position int
	// Forecast is the basis of a grant, for the log.
	Forecast Forecast `msgpack:"-"`
}

// Forecast is the predicted course of a granted answer.
type Forecast struct {
	// Unread is the number of prompt tokens that the upstream computes first.
	Unread int
	// First is the expected time to first token from the grant, Pace the undisturbed time per
	// token, Output the expected length.
	First  time.Duration
	Pace   time.Duration
	Output int
	// Free is the fraction of memory forecast to be free.
	Free float64
}

// Settings configure a home.
type Settings struct {
	Weights config.Weights
	// Engine is false for plain services, whose load is a number of calls.
	Engine bool
	// Service is the name of the pool's service.
	Service string
	// PromptRate is the prefill throughput in tokens a second beside running generations; 0
	// means promptRate.
	PromptRate float64
	// Predict places by predicted time in flight, of the ask and of what runs beside it,
	// instead of by free memory. It requires entries that announce first tokens.
	Predict bool
	// Without lists disabled mechanisms.
	Without mechanism.Set
	// Ways selects between alternative ways of deciding.
	Ways mechanism.Ways
	// Lengths is shared by the homes of one instance. Nil creates one.
	Lengths *Lengths
}
