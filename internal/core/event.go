package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/statement"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// Event is an input of the instance. Instance.Handle processes one event at a time.
type Event interface{ event() }

// CallerRequest is a new request of a caller.
type CallerRequest struct {
	// ID is unique in the fleet. It consists of the instance name, its boot and a counter.
	ID     string
	APIKey string
	// Model is set for generations, Service for plain calls.
	Model   string
	Service string
	// Method and Path are passed on to the upstream.
	Method string
	Path   string
	Body   []byte
	// Stream requests delivery token by token; otherwise the complete answer is delivered at once.
	Stream bool
	// Prompt is the length of the prompt in tokens. MaxTokens is the caller's limit on
	// output tokens, 0 for the organisation's limit.
	Prompt    int
	MaxTokens int
	// Prefix holds chained hashes of the prompt's blocks, for prefix affinity.
	Prefix []uint64
	// Fingerprint is a 64-bit hash of the body, 0 for none. BodyHash is a collision-resistant
	// hash of the body.
	Fingerprint    uint64
	BodyHash       string
	IdempotencyKey string
	// NotRepeatable marks a call that must run at most once.
	NotRepeatable bool
}

// CallerResume is a request for the rest of a stream whose connection was lost.
type CallerResume struct {
	ID     string
	APIKey string
	// LastEventID is the id of the last event that the caller received.
	LastEventID string
}

// CallerDisconnected reports that a caller's connection has ended before the answer was complete.
type CallerDisconnected struct{ ID string }

// PeerMessage is a message from another instance.
type PeerMessage struct {
	From string
	Msg  msg.Message
}

// UpstreamToken is one token of an attempt's generation.
type UpstreamToken struct {
	Request string
	Attempt string
	// Link is the Link of the Dispatch. Events of an earlier connection are late.
	Link int
	// Boot identifies the run of the engine's process, as stated in its answer.
	Boot  string
	Index int
	Text  string
}

// UpstreamAlive reports a keep-alive on an attempt's connection.
type UpstreamAlive struct {
	Request string
	Attempt string
	Link    int
}

// UpstreamEnd reports the end of a generation. Tokens is the number of tokens it produced.
type UpstreamEnd struct {
	Request string
	Attempt string
	Link    int
	Boot    string
	Tokens  int
	// Reason is the engine's finish reason: "stop", "length" or FinishCancelled.
	Reason string
}

// FinishCancelled is the finish reason of a generation that was cancelled. The
// tokens produced until then are charged, but the answer is incomplete.
const FinishCancelled = "cancelled"

// UpstreamResponse is the complete answer of a plain service.
type UpstreamResponse struct {
	Request string
	Attempt string
	Status  int
	Body    []byte
}

// UpstreamFailed reports that an attempt's call to its upstream failed.
type UpstreamFailed struct {
	Request string
	Attempt string
	Link    int
	// Sent is false only if no byte of the call can have reached the upstream.
	Sent bool
	// NotFound is set if the upstream replied that it has no such generation.
	NotFound bool
	// Step is the step of the call that failed.
	Step string
	Err  string
}

// UpstreamStatement is what an upstream stated about itself in the head of a response to an attempt.
// It is sent for a response that states something and for the first one that states no rate limit
// any more.
type UpstreamStatement struct {
	Upstream string
	// Boot identifies the run of the upstream's process, "" if it is not known.
	Boot string
	// SentAt is the time at which the request was sent.
	SentAt time.Time
	statement.Statement
}

// UpstreamReport is the load report of an upstream, the result of a Poll.
type UpstreamReport struct {
	Report placement.Report
	// PolledAt is the time at which the poll was sent. The report may be as old as that.
	PolledAt time.Time
}

// PollFailed reports that a Poll got no reply.
type PollFailed struct {
	Upstream string
	// Refused is set if the upstream's address refused the connection, as no process listens there.
	Refused bool
}

// CommitResult is the result of the Commit with the same Op.
type CommitResult struct {
	Op     string
	Result table.Result
}

// ReadResult is the result of the Read with the same Op. OK is false if the table did not reply.
type ReadResult struct {
	Op   string
	OK   bool
	Rows []table.Row
}

// ScanResult is the result of the Scan with the same Op. OK is false if the table did not reply.
type ScanResult struct {
	Op   string
	OK   bool
	Rows []table.Row
}

// ObjectResult is the result of a Fetch. OK is false if the object store did not reply.
type ObjectResult struct {
	Hash string
	OK   bool
	Data []byte
	// Config is the decoded Data if the daemon has decoded it and checked it against
	// Hash. Nil leaves both to the core. In a deployment of the target's size, decoding takes longer
	// than a token may be delayed.
	Config *config.Config
}

// ConfigApplied reports that an operator's change through this instance was accepted. Object
// is the published configuration, nil if only the cordons changed.
type ConfigApplied struct {
	Pointer ConfigPointer
	Object  []byte
}

// InstanceList is a new copy of the platform's instance list.
type InstanceList struct{ Members []membership.Member }

// Drain makes the instance leave without cutting off a request.
type Drain struct{}

// Tick makes the instance perform periodic work and check timeouts.
type Tick struct{}

func (CallerRequest) event()      {}
func (CallerResume) event()       {}
func (CallerDisconnected) event() {}
func (PeerMessage) event()        {}
func (UpstreamToken) event()      {}
func (UpstreamAlive) event()      {}
func (UpstreamEnd) event()        {}
func (UpstreamResponse) event()   {}
func (UpstreamFailed) event()     {}
func (UpstreamStatement) event()  {}
func (UpstreamReport) event()     {}
func (PollFailed) event()         {}
func (CommitResult) event()       {}
func (ReadResult) event()         {}
func (ScanResult) event()         {}
func (ObjectResult) event()       {}
func (ConfigApplied) event()      {}
func (InstanceList) event()       {}
func (Drain) event()              {}
func (Tick) event()               {}
