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
	KindGrantAsk: "grant_ask", KindGrantAnswer: "grant_answer", KindGrantEnd: "grant_end",
	KindReserveAsk: "reserve_ask", KindReserveAnswer: "reserve_answer", KindSettle: "settle",
	KindStrike: "strike", KindConfigTold: "config_told", KindAnnounce: "announce",
	KindExplainAsk: "explain_ask", KindExplainAnswer: "explain_answer",
	KindAdopted: "adopted", KindFollowAsk: "follow_ask", KindFollowAnswer: "follow_answer",
	KindStrikesAsk: "strikes_ask", KindStrikes: "strikes",
	KindConfigAsk: "config_ask", KindConfigObjectAsk: "config_object_ask", KindConfigObjectPart: "config_object_part", KindLeaving: "leaving",
	KindHeartbeat: "heartbeat", KindSyncAsk: "sync_ask", KindSyncAnswer: "sync_answer",
	KindMoveOrder: "move_order", KindMoved: "moved", KindFailing: "failing", KindBegun: "begun", KindJoinAsk: "join_ask", KindJoinAnswer: "join_answer",
	KindPresences: "presences", KindPresenceAsk: "presence_ask",
}

// Message kinds that are not in one of the ranges of numbers below. Numbers are never reused.
const (
	KindGrantAsk Kind = iota + 1
	KindGrantAnswer
	KindGrantEnd
	KindReserveAsk
	KindReserveAnswer
	KindSettle
	KindStrike
	KindConfigTold
	KindAnnounce
	KindExplainAsk
	KindExplainAnswer
)

// Message kinds for resumed streams, orphans and strikes. They have their own range of numbers.
const (
	KindAdopted Kind = iota + 32
	KindFollowAsk
	KindFollowAnswer
	KindStrikesAsk
	KindStrikes
)

// GrantAsk requests the permission of a pool's home to run an attempt. It is idempotent by
// attempt and repeated while the entry waits.
type GrantAsk struct {
	Pool string
	Ask  placement.Ask
	// Failed is the upstream whose failure caused this attempt. The home checks whether it has
	// crashed before it grants the attempt.
	Failed string
	// FailedBoot identifies the run of that upstream on which the previous attempt failed. It
	// is empty if the request cannot have reached the upstream.
	FailedBoot string
	// Number counts the requests for the attempt to this home, from 1.
	Number int
}

// GrantAnswer is the response to a GrantAsk. It is sent at once, and again when a queued
// attempt is granted.
type GrantAnswer struct {
	Pool     string
	Decision placement.Decision
	// Address is the upstream's address for calls, if the attempt is granted.
	Address string
	// Entry is the upstream's entry in the list; nil if the receiver is expected to have it.
	Entry *roster.Entry
	// Boot identifies the upstream's run, as of its last report.
	Boot string
	// TTL is how long the grant may be used, counted from when the request was sent; Number is
	// the number of that request.
	TTL    time.Duration
	Number int
}

// GrantEnd notifies the home that an attempt has ended or was given up.
type GrantEnd struct {
	Pool    string
	Attempt string
	Tokens  int
	// Failed is set if the upstream broke off the attempt: the home keeps the grant until it is
	// known whether the upstream has crashed. Upstream and Boot identify the upstream and its
	// run, Fingerprint the request.
	Failed      bool
	Upstream    string
	Boot        string
	Fingerprint uint64
	// Unreachable is set if no connection to Upstream could be made.
	Unreachable bool
	// Cut is set if the caller had disconnected. Tokens is then not the length of a complete
	// answer; the same holds for a failed attempt.
	Cut bool
}

// ReserveAsk requests a reservation from the home of an organisation.
type ReserveAsk struct{ Ask budget.Ask }

// ReserveAnswer is the response to a ReserveAsk.
type ReserveAnswer struct{ Answer budget.Answer }

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
	// Boot identifies the run of the upstream that ended in the crash.
	Boot string
	// Age is the time since the crash. It is relative because instances do not share a clock.
	Age time.Duration
}

// StrikesAsk requests the strikes recorded by an instance: an instance that has just started
// has none, and a Strike can be lost.
type StrikesAsk struct{}

// Strikes is the response to a StrikesAsk, with the newest strike first.
type Strikes struct{ List []Strike }

// Adopted notifies an entry that another entry has taken over a generation, because its caller
// resumed there.
type Adopted struct {
	Request string
	Attempt string
}

// FollowAsk asks an instance which of some attempts it follows for a caller. A home sends it to
// every instance before it cancels a generation that no entry announces.
type FollowAsk struct {
	Pool     string
	Attempts []string
}

// FollowAnswer is the response to a FollowAsk. Following lists those of Attempts that the
// instance follows.
type FollowAnswer struct {
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
	Ask      placement.Ask
	Upstream string
	Tokens   int
	// Pace is the time between tokens while the upstream computes no prompt in the same batch;
	// 0 if it is not known.
	Pace time.Duration
}

// ExplainAsk requests the decisions recorded for a request.
type ExplainAsk struct {
	ID      uint64
	Request string
}

// ExplainAnswer is the response to an ExplainAsk: the recorded decisions, oldest first.
type ExplainAnswer struct {
	ID    uint64
	Lines []string
}

// Kind implements Message.
func (GrantAsk) Kind() Kind { return KindGrantAsk }

// Kind implements Message.
func (GrantAnswer) Kind() Kind { return KindGrantAnswer }

// Kind implements Message.
func (GrantEnd) Kind() Kind { return KindGrantEnd }

// Kind implements Message.
func (ReserveAsk) Kind() Kind { return KindReserveAsk }

// Kind implements Message.
func (ReserveAnswer) Kind() Kind { return KindReserveAnswer }

// Kind implements Message.
func (Settle) Kind() Kind { return KindSettle }

// Kind implements Message.
func (Strike) Kind() Kind { return KindStrike }

// Kind implements Message.
func (Announce) Kind() Kind { return KindAnnounce }

// Kind implements Message.
func (ExplainAsk) Kind() Kind { return KindExplainAsk }

// Kind implements Message.
func (StrikesAsk) Kind() Kind { return KindStrikesAsk }

// Kind implements Message.
func (Strikes) Kind() Kind { return KindStrikes }

// Kind implements Message.
func (Adopted) Kind() Kind { return KindAdopted }

// Kind implements Message.
func (FollowAsk) Kind() Kind { return KindFollowAsk }

// Kind implements Message.
func (FollowAnswer) Kind() Kind { return KindFollowAnswer }

// Kind implements Message.
func (ExplainAnswer) Kind() Kind { return KindExplainAnswer }
