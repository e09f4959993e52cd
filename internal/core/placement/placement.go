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
	// ReasonCordoned: all upstreams where an ask may run are cordoned.
	ReasonCordoned = "cordoned"
)

// reportMaxAge is how old an upstream's last report may be for it to get new
// work. Reports come every quarter second, so three may be lost; an upstream that
// is leaving or cut off gets nothing new after this long.
const reportMaxAge = 1200 * time.Millisecond

// Ask is a request for the permission to run one attempt.
type Ask struct {
	Attempt     string
	Org         string
	Fingerprint uint64
	// Prompt and MaxOutput are in tokens.
	Prompt    int
	MaxOutput int
	// Prefix holds chained hashes of the prompt's blocks, for prefix affinity.
	Prefix []uint64
	// Expected is the caller's own estimate of the output in tokens, 0 if it
	// gives none.
	Expected int
	// Exclude lists upstreams that this request must not run on again.
	Exclude []string
	// DataCentre is where the entry stands, which passes the answer on; "" if
	// that does not matter. The home knows it of the asker.
	DataCentre string `msgpack:"-"`
	// DataCentres are those that the request may run in; none allows all.
	DataCentres []string `msgpack:",omitempty"`
	// FirstTarget is when the first token is due after the ask, 0 if nothing is.
	FirstTarget time.Duration
	// Suspect marks a request with one strike: it runs beside no other suspect.
	Suspect bool
	// MaxWait is the longest the request may queue.
	MaxWait time.Duration
}

// GenLoad is one generation in an upstream's report.
type GenLoad struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
}

// Report is an upstream's own account of its load. It lags.
type Report struct {
	Upstream string `json:"upstream"`
	// Boot changes whenever the upstream starts anew.
	Boot string `json:"boot"`
	// Version is the model version that the engine runs.
	Version string `json:"version"`
	Leaving bool   `json:"leaving"`
	// MaxStarts bounds the requests that the upstream is given in any second; 0 is no
	// bound. The home sets it.
	MaxStarts int `json:"-" msgpack:"-"`
	// DataCentre is where the upstream stands, if its home was told.
	DataCentre string `json:"data_centre,omitempty"`
	// Penalty is what speaks against the upstream beside its load, as a part
	// of its memory; its home sets it.
	Penalty float64 `json:"-" msgpack:"-"`
	// Capacity and Used are in tokens of engine memory; a plain service
	// reports calls at once instead.
	Capacity int `json:"capacity"`
	Used     int `json:"used"`
	MaxBatch int `json:"max_batch"`
	// Running and Waiting count generations inside the upstream.
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	Preemptions int64     `json:"preemptions"`
	Gens        []GenLoad `json:"gens"`
}

// Kind says what a decision is.
type Kind int

// Kinds of decision.
const (
	Granted Kind = iota + 1
	Queued
	Refused
)

// String names the kind for metrics.
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

// Decision answers an ask, at once or later.
type Decision struct {
	Attempt  string
	Kind     Kind
	Upstream string
	// Priority is handed to the engine; lower runs first.
	Priority   int
	Reason     string
	RetryAfter time.Duration
	// Position in the queue, from 1, if Queued.
	Position int
	// Forecast is what a grant was based on; it is for the log of the home.
	Forecast Forecast `msgpack:"-"`
}

// Forecast is what is predicted of a granted answer.
type Forecast struct {
	// Unread is how many prompt tokens the upstream had to read before its prompt.
	Unread int
	// First is when the first token is expected after the grant, Pace the time
	// between tokens while nothing disturbs, Output how many there will be.
	First  time.Duration
	Pace   time.Duration
	Output int
	// Free is the part of the memory that was forecast to be free.
	Free float64
}

// Settings of a home.
type Settings struct {
	Weights config.Weights
	// Engine is false for pools of plain services, whose load is a count of calls.
	Engine bool
	// Service is what the pool serves.
	Service string
	// PromptRate is how many prompt tokens a second an upstream computes
	// beside its running generations; 0 takes promptRate.
	PromptRate float64
	// Predict chooses by the time in flight that is predicted for the ask and for
	// what runs beside it, in place of the free memory. It needs entries that tell
	// of first tokens.
	Predict bool
	// Without lists the mechanisms that are left out, for comparison.
	Without mechanism.Set
	// Ways are the ways in which decisions are made.
	Ways mechanism.Ways
	// Lengths is what has been learnt of answers' lengths; homes of one
	// instance share it. Nil gives the home its own.
	Lengths *Lengths
}
