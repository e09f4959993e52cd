package hosted

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// ErrHistoryGone: the store no longer holds the requested changes, and the whole state must be
// read.
var ErrHistoryGone = errors.New("history is no longer held")

// ConfigRead is an answer about the configuration.
type ConfigRead struct {
	// Version is the store's version that the answer reflects.
	Version int64
	// Config is nil if the answer holds none.
	Config *route.Config
	// Cordoned lists the cordoned data centres.
	Cordoned []string
	// Unreadable tells which cordons could not be read in full.
	Unreadable []error
}

// ListRead is an answer about the list of upstreams.
type ListRead struct {
	Version int64
	Changes []roster.Change
	// Unreadable tells why entries among the changes can't be used.
	Unreadable []error
}

// Store is the platform's store. ListSince is a long poll for changes after a version, and
// returns ErrHistoryGone if those are no longer held.
type Store interface {
	Config(ctx context.Context) (ConfigRead, error)
	List(ctx context.Context) (ListRead, error)
	ListSince(ctx context.Context, after int64, wait time.Duration) (ListRead, error)
	// Join registers an instance, Members lists the registered ones, Remove deletes rows that
	// were not written since.
	Join(ctx context.Context, self msg.Heartbeat) error
	Members(ctx context.Context) ([]fleet.Row, error)
	Remove(ctx context.Context, rows []fleet.Row) error
}

// Answer is the decoded head of an upstream's answer.
type Answer struct {
	// Ours is false for an answer to another request.
	Ours bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Signed is set if the answer carries the upstream's signature.
	Signed bool
	// Leaving is set if the upstream closes the connection after the answer.
	Leaving bool
	// Load is nil if unknown.
	Load *forward.Report
	// Cold is the remaining warm-up; 0 if unknown.
	Cold time.Duration
}

// Call is a call to an upstream other than a caller's request.
type Call struct {
	Method string
	Target string
	Body   []byte
}

// Copy is an upstream's answer to a move.
type Copy struct {
	// Handle names the copy.
	Handle string
	// Events is the number of events that the run had produced.
	Events  int
	Outcome msg.MoveOutcome
}

// Report is an upstream's state, some hundred milliseconds old.
type Report struct {
	Leaving bool
	// Closing is set if the upstream closes the connection of the report.
	Closing bool
	// LeavesIn is the time until it ends, if Known.
	LeavesIn time.Duration
	Known    bool
	// Waiting counts the requests held but not running.
	Waiting int
	// Events counts the produced events by request; nil if unknown.
	Events map[string]int
}

// Wire translates between the platform's HTTP and the core's types.
type Wire interface {
	// IsReady and IsDirectory report which endpoint a request is for.
	IsReady(r *http.Request) bool
	IsDirectory(r *http.Request) bool
	// Caller returns a directory request's location and the host it asks for.
	Caller(r *http.Request) (near fleet.Place, host string)
	// Addresses writes a directory answer.
	Addresses(w http.ResponseWriter, addresses []string, keep time.Duration) error
	// Request decodes a caller's request without its body.
	Request(r *http.Request) forward.Request
	// Outgoing returns an attempt's headers, derived from the caller's.
	Outgoing(caller http.Header, c *forward.Call, a *forward.Attempt) http.Header
	// Answer decodes the head of an answer.
	Answer(resp *http.Response, requestID string) Answer
	// Passed copies the headers of an answer that concern the caller, without the signature
	// unless the status is the upstream's.
	Passed(to, from http.Header, signed bool)
	// Move copies a run's memory to another upstream; with last, the run stops first. Moved
	// decodes the answer, DropCopy frees a copy and CopyAt names one to the upstream that
	// continues from it.
	Move(id, to string, last bool) (Call, error)
	Moved(status int, body []byte) Copy
	DropCopy(handle string) Call
	CopyAt(address, handle string) string
	// Report requests an upstream's state, Reported decodes the answer.
	Report() Call
	Reported(body []byte) (Report, error)
	// Refuse writes a refusal of this system.
	Refuse(w http.ResponseWriter, requestID string, r forward.Refusal) error
}
