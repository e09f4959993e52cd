package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/stream"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// Action is an effect that the instance requests. Actions must be started in the order in which
// Instance.Handle returns them.
type Action interface{ action() }

// Send sends a message to another instance. The message may be lost.
type Send struct {
	To      string
	Address string
	Msg     msg.Message
}

// ResetPeer closes the connection to an instance that did not reply, so that the next Send
// dials a new one. A connection that a middlebox has dropped stays silent while new connections
// work.
type ResetPeer struct{ To string }

// Dispatch starts an attempt at an upstream, or resumes reading from a running attempt.
type Dispatch struct {
	Request string
	Attempt string
	// Upstream and Address are the upstream's name and network address. Boot identifies the run of
	// its process, "" if unknown.
	Upstream string
	Address  string
	Boot     string
	// Engine is true for a generation, false for a plain call.
	Engine bool
	Method string
	Path   string
	Body   []byte
	// Key is the caller's idempotency key, for plain calls.
	Key      string
	MaxToken int
	Priority int
	// Resume makes the dispatch read a running generation, from the token with index From, on a
	// new connection.
	Resume bool
	From   int
	// Link is the number of the connection within the attempt. Events that arrive over
	// the connection carry the same number.
	Link int
	// SendBefore is the expiry of the grant, after which the call must not be sent. It is checked
	// right before the first byte. Timeout bounds the call.
	SendBefore time.Time
	Timeout    time.Duration
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
	// Handle is the signed handle with which the caller can resume the stream. All tokens of a
	// stream share one string, which saves a copy per token that waits for a slow reader.
	Handle string
	Index  int
	Text   string
}

// EventID returns the event id with which the caller can resume after this token.
func (d Deliver) EventID() string { return stream.EventID(d.Handle, d.Index) }

// Outcome is how a request ended.
type Outcome string

// Outcomes.
const (
	// Done: the complete answer was delivered.
	Done Outcome = "done"
	// NotRun: the request did not run and will not run.
	NotRun Outcome = "not_run"
	// Partial: the answer ended early.
	Partial Outcome = "partial"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// Finish ends a request. It is the last action of a request.
type Finish struct {
	Request string
	Outcome Outcome
	// Status is the HTTP status, used only if no part of the answer has been sent yet.
	Status int
	// Reason, Step and Peer explain an outcome other than Done: why the request ended, in which
	// step, and which instance, upstream or table was involved.
	Reason     string
	Step       string
	Peer       string
	RetryAfter time.Duration
	// Text is the text of a generation that was not streamed. Body is the answer of a plain service.
	Text         string
	Body         []byte
	Tokens       int
	FinishReason string
}

// Commit runs a transaction on the table. The result arrives as a CommitResult.
type Commit struct {
	Op string
	Tx table.Tx
}

// Read reads rows of the table. The result arrives as a ReadResult.
type Read struct {
	Op   string
	Keys []string
}

// Scan reads rows of the table in the order of their keys. The result arrives as a ScanResult.
type Scan struct {
	Op     string
	Prefix string
	// After is the key after which the scan starts, "" for the start of the prefix.
	After string
	Limit int
}

// Fetch reads the object with the given hash from the object store. The result arrives as an
// ObjectResult.
type Fetch struct{ Hash string }

// Poll requests an upstream's load report. The result arrives as an UpstreamReport or a
// PollFailed.
type Poll struct {
	Upstream string
	Address  string
}

// Count increments a counter.
type Count struct {
	// Group is the name of the metric, for example "refusals_total"; Name is the value of its
	// label.
	Group string
	Name  string
}

// Log writes a log line of key=value pairs. Pairs alternates keys and values.
type Log struct {
	Event string
	Pairs []any
}

// ExplainResult is the result of RequestExplain with the same ID.
type ExplainResult struct {
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
func (ExplainResult) action() {}
func (Exit) action()          {}
