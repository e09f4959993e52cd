package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/stream"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// Action is an effect requested by the instance. Instance.Handle returns actions in the order
// in which they must be started.
type Action interface{ action() }

// Send sends a message to another instance. It may be lost.
type Send struct {
	To      string
	Address string
	Msg     msg.Message
}

// ResetPeer closes the connection to an instance that did not answer, so that the next Send
// dials anew. A connection that a middlebox has dropped stays silent while new ones work.
type ResetPeer struct{ To string }

// Dispatch starts an attempt at an upstream, or reads on from a running one.
type Dispatch struct {
	Request string
	Attempt string
	// Upstream and Address name the worker.
	Upstream string
	Address  string
	// Engine is true for a generation, false for a plain call.
	Engine bool
	Method string
	Path   string
	Body   []byte
	// Key is the caller's idempotency key, for plain calls.
	Key      string
	MaxToken int
	Priority int
	// Resume reads the generation from token From on a new connection.
	Resume bool
	From   int
	// Link numbers the connections of an attempt; its events carry it.
	Link int
	// Before is the deadline for sending the call, when the grant expires. It is checked right
	// before the first byte.
	Before  time.Time
	Timeout time.Duration
}

// Cancel tells an engine to stop a generation.
type Cancel struct {
	Address string
	Attempt string
}

// CloseUpstream stops reading from an attempt without cancelling it.
type CloseUpstream struct{ Attempt string }

// Deliver passes a token to the caller.
type Deliver struct {
	Request string
	// Handle is shared by the tokens of a stream, which spares a copy per token for slow
	// readers.
	Handle string
	Index  int
	Text   string
}

// EventID returns the id from which the caller can resume.
func (d Deliver) EventID() string { return stream.EventID(d.Handle, d.Index) }

// Outcome is how a request ended.
type Outcome string

// Outcomes.
const (
	// Done: the whole answer was delivered.
	Done Outcome = "done"
	// NotRun: the request did not run, and will not.
	NotRun Outcome = "not_run"
	// Partial: the answer ended early.
	Partial Outcome = "partial"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// Finish ends a request. It is its last action.
type Finish struct {
	Request string
	Outcome Outcome
	// Status is the HTTP status for answers that have not begun.
	Status int
	// Reason, Step and Peer explain any outcome other than Done.
	Reason     string
	Step       string
	Peer       string
	RetryAfter time.Duration
	// Text is a whole answer; Body a plain service's answer.
	Text         string
	Body         []byte
	Tokens       int
	FinishReason string
}

// Commit runs a transaction on the table. CommitResult answers it.
type Commit struct {
	Op string
	Tx table.Tx
}

// Read reads rows of the table. ReadResult answers it.
type Read struct {
	Op   string
	Keys []string
}

// Scan reads rows ordered by key. ScanResult answers it.
type Scan struct {
	Op     string
	Prefix string
	// After is the last key already seen, "" for none.
	After string
	Limit int
}

// Fetch reads an object. ObjectResult answers it.
type Fetch struct{ Hash string }

// Poll requests an upstream's load. UpstreamReport or UpstreamSilent answers it.
type Poll struct {
	Upstream string
	Address  string
}

// Count increments a counter.
type Count struct {
	// Group is the metric, for example "refusals_total"; Name its label.
	Group string
	Name  string
}

// Log writes a line of key=value pairs.
type Log struct {
	Event string
	Pairs []any
}

// Explained answers AskExplain.
type Explained struct {
	ID    uint64
	Lines []string
}

// Exit reports that a drain is complete.
type Exit struct{}

func (Send) action()          {}
func (ResetPeer) action()     {}
func (Dispatch) action()      {}
func (Cancel) action()        {}
func (CloseUpstream) action() {}
func (Deliver) action()       {}
func (Finish) action()        {}
func (Commit) action()        {}
func (Read) action()          {}
func (Scan) action()          {}
func (Fetch) action()         {}
func (Poll) action()          {}
func (Count) action()         {}
func (Log) action()           {}
func (Explained) action()     {}
func (Exit) action()          {}
