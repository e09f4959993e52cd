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
	"mulberrylug.example/mulberrylug/internal/core/statement"
)

// ErrChangesExpired reports that the store no longer holds the requested changes, so that the full
// state must be read.
var ErrChangesExpired = errors.New("the store no longer holds the requested changes")

// ConfigResponse is a response of the store with the configuration and the cordons.
type ConfigResponse struct {
	// Version is the revision of the store that the response reflects; see package revision.
	Version int64
	// Config is nil if the response holds none.
	Config *route.Config
	// Cordoned lists the cordoned data centres.
	Cordoned []string
	// Unreadable holds an error for each cordon that could not be decoded in full.
	Unreadable []error
}

// ListResponse is a response of the store with the list of upstreams, or with changes of it.
type ListResponse struct {
	// Version is the revision of the store that the response reflects.
	Version int64
	Changes []roster.Change
	// Unreadable holds an error for each entry among the changes that cannot be used.
	Unreadable []error
}

// MembersResponse holds the rows of the instances.
type MembersResponse struct {
	Rows []fleet.Row
	// Unreadable holds an error for each row that can't be used.
	Unreadable []error
}

// Store is the platform's store. It can come back from an older copy, in a new era; all versions are revisions.
// ListSince is a long poll for changes after a version, and returns ErrChangesExpired if those are no longer
// held, or the version is of an earlier era.
type Store interface {
	// Era returns the newest era that a response has stated; 0 before the first one.
	Era() int64
	Config(ctx context.Context) (ConfigResponse, error)
	List(ctx context.Context) (ListResponse, error)
	ListSince(ctx context.Context, after int64, wait time.Duration) (ListResponse, error)
	// Join registers an instance, Members lists the registered ones, Remove deletes rows that
	// have not been written since they were read. Those that were read in an earlier era are kept.
	Join(ctx context.Context, self msg.Heartbeat) error
	Members(ctx context.Context) (MembersResponse, error)
	Remove(ctx context.Context, rows []fleet.Row) error
}

// Response is the decoded head of an upstream's response.
type Response struct {
	// Matches is false for a response to another request.
	Matches bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// Closing is set if the upstream closes the connection after the response.
	Closing bool
	// ColdRemaining is the remaining time of the upstream's warm-up; 0 if unknown.
	ColdRemaining time.Duration
}

// UpstreamCall is a call to an upstream other than a caller's request.
type UpstreamCall struct {
	Method string
	Target string
	Body   []byte
	// Request is the id of the request that the call is about, "" if there is none.
	Request string
}

// CopyResult is an upstream's response to a request to copy a generation's memory.
type CopyResult struct {
	// Handle names the copy.
	Handle string
	// Events is the number of events that the generation had produced.
	Events  int
	Outcome msg.MoveOutcome
}

// Report is an upstream's state as of some hundred milliseconds ago.
type Report struct {
	// Status is the status of the response. Without status 200, the rest is unknown.
	Status int
	// Born identifies the run of the upstream's process, like roster.Entry; 0 if unknown.
	Born    int64
	Leaving bool
	// Closing is set if the upstream closes the connection of the report.
	Closing bool
	// LeavesIn is the time until a leaving upstream ends, if Known is set.
	LeavesIn time.Duration
	Known    bool
	// Waiting is the number of requests that the upstream has accepted but does not run yet.
	Waiting int
	// Events is the number of events produced by request id; nil if unknown.
	Events map[string]int
}

// Wire translates between the platform's HTTP messages and the types of the core packages.
type Wire interface {
	// IsReady and IsDirectory report whether a request is for the respective endpoint.
	IsReady(r *http.Request) bool
	IsDirectory(r *http.Request) bool
	// DirectoryRequest returns the location of the sender of a directory request, and the host that
	// the request asks for.
	DirectoryRequest(r *http.Request) (location fleet.Place, host string)
	// WriteDirectory writes a directory response with the lifetime ttl.
	WriteDirectory(w http.ResponseWriter, addresses []string, ttl time.Duration) error
	// Request decodes a caller's request without its body.
	Request(r *http.Request) forward.Request
	// AttemptHeaders returns the headers of an attempt, derived from the caller's.
	AttemptHeaders(caller http.Header, c *forward.Call, a *forward.Attempt) http.Header
	// DecodeResponse decodes the head of a response.
	DecodeResponse(resp *http.Response, requestID string) Response
	// DecodeStatement decodes what the upstream states about itself in the head of any response,
	// also one to a call of this system.
	DecodeStatement(resp *http.Response) statement.Statement
	// DecodeLoad decodes the load that the upstream states in the head of any response. It returns
	// nil if the response states none, and an error if the load cannot be decoded.
	DecodeLoad(resp *http.Response) (*forward.Report, error)
	// CopyHeaders copies the headers of a response that are meant for the caller. The signature is
	// copied only if signed is set; it must be unset if the status is not the upstream's.
	CopyHeaders(to, from http.Header, signed bool)
	// CopyCall returns the call that copies a generation's memory to another upstream; with final,
	// the generation is stopped first. DecodeCopy decodes the response, DropCopy returns the call
	// that frees a copy, and CopyAt returns the value that names a copy to the upstream that
	// continues from it.
	CopyCall(id, to string, final bool) (UpstreamCall, error)
	DecodeCopy(status int, body []byte) CopyResult
	DropCopy(handle string) UpstreamCall
	CopyAt(address, handle string) string
	// ReportCall returns the call that requests an upstream's state, DecodeReport decodes the
	// response.
	ReportCall() UpstreamCall
	DecodeReport(body []byte) (Report, error)
	// WriteRefusal writes the response for a request that this system refuses.
	WriteRefusal(w http.ResponseWriter, requestID string, r forward.Refusal) error
}
