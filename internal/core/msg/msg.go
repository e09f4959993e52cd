// Package msg defines the messages between instances. They are plain data;
// package peer frames and encodes them.
package msg

import (
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// Message is implemented by the message types of this package.
type Message interface{ Kind() Kind }

// Kind is the number of a message type on the wire.
type Kind uint8

// String returns the name of the kind in metrics and logs.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("kind_%d", uint8(k))
}

var kindNames = map[Kind]string{
	KindGrantRequest: "grant_ask", KindGrantResponse: "grant_answer", KindGrantEnd: "grant_end",
	KindReserveRequest: "reserve_ask", KindReserveResponse: "reserve_answer", KindSettle: "settle",
	KindStrike: "strike", KindConfigVersion: "config_told", KindAnnounce: "announce",
	KindExplainRequest: "explain_ask", KindExplainResponse: "explain_answer",
	KindAdopted: "adopted", KindFollowRequest: "follow_ask", KindFollowResponse: "follow_answer",
	KindStrikesRequest: "strikes_ask", KindStrikes: "strikes",
	KindConfigRequest: "config_ask", KindConfigObjectRequest: "config_object_ask", KindConfigObjectPart: "config_object_part", KindLeaving: "leaving",
	KindHeartbeat: "heartbeat", KindSyncRequest: "sync_ask", KindSyncResponse: "sync_answer",
	KindMoveOrder: "move_order", KindMoveResult: "moved", KindUpstreamFailing: "failing", KindFirstToken: "begun", KindJoinRequest: "join_ask", KindJoinResponse: "join_answer",
	KindPresences: "presences", KindPresenceRequest: "presence_ask",
	KindRateStatement: "rate_stated", KindPermitRequest: "permit_ask", KindPermitResponse: "permit_answer", KindPermitCancel: "permit_cancel", KindUpstreamLeaving: "upstream_leaving",
	KindRankedGrantRequest: "ranked_grant_request", KindUpstreamSpeed: "upstream_speed", KindInstanceLoad: "instance_load",
	KindTunnelRequest: "tunnel_request", KindTunnelResponse: "tunnel_response", KindPartsSound: "parts_sound", KindCrashEvidence: "crash_evidence",
	KindWithSoftware: "with_software", KindStreamOrigins: "stream_origins", KindOriginsStored: "origins_stored", KindOriginRequest: "origin_request", KindOriginResponse: "origin_response",
}

// Message kinds that are not in one of the ranges of numbers below. Numbers are never reused.
const (
	KindGrantRequest Kind = iota + 1
	KindGrantResponse
	KindGrantEnd
	KindReserveRequest
	KindReserveResponse
	KindSettle
	KindStrike
	KindConfigVersion
	KindAnnounce
	KindExplainRequest
	KindExplainResponse
)

// Message kinds for resumed streams, orphans and strikes. They have their own range of numbers.
const (
	KindAdopted Kind = iota + 32
	KindFollowRequest
	KindFollowResponse
	KindStrikesRequest
	KindStrikes
)

// GrantRequest requests the permission of a pool's home to run an attempt. It is idempotent by
// attempt and repeated while the entry waits.
type GrantRequest struct {
	Pool    string
	Request placement.Request
	// FailedUpstream is the upstream whose failure caused this attempt. The home checks whether it
	// has crashed before it grants the attempt.
	FailedUpstream string
	// FailedBoot identifies the process run of that upstream in which the previous attempt failed.
	// It is empty if the request cannot have reached the upstream.
	FailedBoot string
	// Number counts the requests for the attempt to this home, from 1.
	Number int
}

// GrantResponse is the response to a GrantRequest. It is sent immediately, and again when a queued
// attempt is granted.
type GrantResponse struct {
	Pool     string
	Decision placement.Decision
	// Address is the upstream's address for calls, if the attempt is granted.
	Address string
	// Entry is the upstream's entry in the list; nil if the receiver is expected to have it.
	Entry *roster.Entry
	// Boot identifies the upstream's process run, as of its last report.
	Boot string
	// TTL is how long the grant may be used, counted from when the request was sent; Number is
	// the number of that request.
	TTL    time.Duration
	Number int
}

// GrantEnd notifies the home that an attempt has ended or was abandoned.
type GrantEnd struct {
	Pool    string
	Attempt string
	Tokens  int
	// Failed is set if the upstream broke off the attempt: the home keeps the grant until it is
	// known whether the upstream has crashed. Upstream and Boot identify the upstream and its
	// process run, Fingerprint the request.
	Failed      bool
	Upstream    string
	Boot        string
	Fingerprint uint64
	// Unreachable is set if no connection to Upstream could be made.
	Unreachable bool
	// CallerDisconnected is set if the caller had disconnected. Tokens is then not the length of a
	// complete generation; the same holds for a failed attempt.
	CallerDisconnected bool
}

// ReserveRequest requests a reservation from the home of an organisation.
type ReserveRequest struct{ Request budget.Request }

// ReserveResponse is the response to a ReserveRequest.
type ReserveResponse struct{ Response budget.Response }

// Settle ends a reservation and reports what was used.
type Settle struct {
	Org     string
	Request string
	Used    int64
	Tokens  int
}

// Strike announces to every instance that an upstream crashed while it ran a request.
type Strike struct {
	Fingerprint uint64
	Upstream    string
	// Boot identifies the process run of the upstream that ended in the crash.
	Boot string
	// Age is the time since the crash. It is relative because instances do not share a clock.
	Age time.Duration
}

// StrikesRequest requests the strikes recorded by an instance: an instance that has just started
// has none, and a Strike can be lost.
type StrikesRequest struct{}

// Strikes is the response to a StrikesRequest, with the newest strike first.
type Strikes struct{ List []Strike }

// Adopted notifies an entry that another entry has taken over a generation, because its caller
// resumed there.
type Adopted struct {
	Request string
	Attempt string
}

// FollowRequest lists attempts and requests which of them the receiver follows for a caller. A home
// sends it to every instance before it cancels a generation that no entry announces.
type FollowRequest struct {
	Pool     string
	Attempts []string
}

// FollowResponse is the response to a FollowRequest. Following lists those of Attempts that the
// instance follows.
type FollowResponse struct {
	Pool      string
	Attempts  []string
	Following []string
}

// Announce notifies a pool's home which attempts of an entry still run. A new home rebuilds its
// state from these messages, and homes cancel generations that no entry announces.
type Announce struct {
	Pool    string
	Running []RunningAttempt
}

// RunningAttempt is one running attempt in an Announce.
type RunningAttempt struct {
	Request  placement.Request
	Upstream string
	Tokens   int
	// Pace is the time between tokens while the upstream computes no prompt in the same batch;
	// 0 if it is not known.
	Pace time.Duration
}

// ExplainRequest requests the decisions recorded for a request.
type ExplainRequest struct {
	ID      uint64
	Request string
}

// ExplainResponse is the response to an ExplainRequest: the recorded decisions, oldest first.
type ExplainResponse struct {
	ID    uint64
	Lines []string
}

// Kind implements Message.
func (GrantRequest) Kind() Kind { return KindGrantRequest }

// Kind implements Message.
func (GrantResponse) Kind() Kind { return KindGrantResponse }

// Kind implements Message.
func (GrantEnd) Kind() Kind { return KindGrantEnd }

// Kind implements Message.
func (ReserveRequest) Kind() Kind { return KindReserveRequest }

// Kind implements Message.
func (ReserveResponse) Kind() Kind { return KindReserveResponse }

// Kind implements Message.
func (Settle) Kind() Kind { return KindSettle }

// Kind implements Message.
func (Strike) Kind() Kind { return KindStrike }

// Kind implements Message.
func (Announce) Kind() Kind { return KindAnnounce }

// Kind implements Message.
func (ExplainRequest) Kind() Kind { return KindExplainRequest }

// Kind implements Message.
func (StrikesRequest) Kind() Kind { return KindStrikesRequest }

// Kind implements Message.
func (Strikes) Kind() Kind { return KindStrikes }

// Kind implements Message.
func (Adopted) Kind() Kind { return KindAdopted }

// Kind implements Message.
func (FollowRequest) Kind() Kind { return KindFollowRequest }

// Kind implements Message.
func (FollowResponse) Kind() Kind { return KindFollowResponse }

// Kind implements Message.
func (ExplainResponse) Kind() Kind { return KindExplainResponse }
