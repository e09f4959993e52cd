package msg

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// Kinds of the messages among instances that live on a hosting platform. They
// are numbered apart from the others.
const (
	KindHeartbeat Kind = iota + 64
	KindSyncAsk
	KindSyncAnswer
	KindMoveOrder
	KindMoved
	KindFailing
	KindBegun
	KindJoinAsk
	KindJoinAnswer
	KindPresences
	KindPresenceAsk
)

// Heartbeat tells an instance that the sender lives, and where it is reached.
type Heartbeat struct {
	Name          string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	// Boot tells runs of the same name apart.
	Boot string
	// Ready is set while callers may be sent to the sender.
	Ready bool
	// Reads is set while the platform's store answers the sender.
	Reads bool
	// Leaving is set once the sender drains.
	Leaving bool
	// Settled is set once the sender has run for a while: what one does for all is
	// given to those first.
	Settled bool
	// Hears is set if the sender has heard the receiver lately. If not, the
	// receiver's connection to the sender may swallow all that is sent.
	Hears bool
	// Class is the capacity of the sender's machine: how often its link in
	// Mbit/s can be halved. The work that one does for all goes to the largest.
	Class uint8
	// Answer asks the receiver for a heartbeat of its own: the sender has just
	// started and must learn who lives.
	Answer bool
}

// JoinAsk asks an instance which others live. It tells of the sender as a heartbeat does.
type JoinAsk struct {
	Sender Heartbeat
	// Known is a digest of the live instances that the sender knows.
	Known uint64
}

// JoinAnswer answers a JoinAsk.
type JoinAnswer struct {
	// Instances lists those that live, Size counts them; none if the asker knows the
	// same. In a large fleet those of other data centres are a few of them.
	Instances []Heartbeat
	Size      int
	// Settled is set if the answering instance has run for a while and knows the fleet.
	Settled bool
	// Isolated is set if most instances that it knew have fallen silent.
	Isolated bool
}

// Presence tells which instances of a data centre live, as a relay there hears them.
type Presence struct {
	// Source names the relay.
	Source     string
	DataCentre string
	// Digest tells what the relay says apart from what it said before.
	Digest uint64
	// Age is how long ago it said so.
	Age time.Duration
	// Members lists the instances; nil if they are as they were told before.
	Members []Heartbeat
	// Base names a relay of the same data centre, this one or another, if Members are
	// those only that were told otherwise or not at all in its name; Gone names those that
	// live no more.
	Base string
	Gone []string
}

// Presences tells who lives in other data centres.
type Presences struct{ List []Presence }

// PresenceAsk asks for the members that some relays have told of.
type PresenceAsk struct{ Sources []string }

// SyncAsk asks an instance that reads the platform's store for what is newer
// than the asker's versions. It is answered as soon as there is an update, or after
// a short time, as an answer also confirms that there is none.
type SyncAsk struct {
	Number int64
	Config int64
	// Cordons is the version of the cordons that the asker knows, 0 for none.
	Cordons int64
	List    roster.Question
	// Hold is the longest that the answer may wait for an update; 0 leaves that to
	// the instance that is asked.
	Hold time.Duration
}

// SyncAnswer answers a SyncAsk.
type SyncAnswer struct {
	// Number is the ask's.
	Number int64
	// ConfigAge is how long ago the sender asked the question whose answer
	// last confirmed its configuration. Negative if it has none.
	ConfigAge time.Duration
	// ListAge is the same for the list of upstreams; negative if the sender
	// knows too little of it to answer.
	ListAge time.Duration
	// Config is nil if the asker's version is the newest known.
	Config PackedConfig
	// Cordons is nil if the asker's version is the newest known; it was confirmed
	// together with the configuration.
	Cordons *cordon.Set
	// List is nil if the sender has nothing that the asker lacks.
	List *roster.Share
}

// MoveOrder tells an entry to move a running generation to another upstream.
type MoveOrder struct {
	Pool    string
	Attempt string
	// Number tells orders for one attempt apart.
	Number int64
	// From and To name the upstreams, ToAddress is where To is reached and
	// ToDataCentre where it stands.
	From         string
	To           string
	ToAddress    string
	ToDataCentre string
}

// Moved tells how a MoveOrder ended.
type Moved struct {
	Pool    string
	Attempt string
	Number  int64
	// Outcome is one of the outcomes of moves below.
	Outcome MoveOutcome
}

// MoveOutcome says how a move ended.
type MoveOutcome string

// Outcomes of moves.
const (
	// MoveDone: the run goes on at the destination.
	MoveDone MoveOutcome = "done"
	// MoveEnded: the run came to its end before it was moved.
	MoveEnded MoveOutcome = "ended"
	// MoveNoRun: the upstream has no such run that could be moved.
	MoveNoRun MoveOutcome = "no_run"
	// MoveNoRoom: the destination did not take the copy; the run goes on at
	// the source.
	MoveNoRoom MoveOutcome = "no_room"
	// MoveFailed: the copy failed in another way.
	MoveFailed MoveOutcome = "failed"
)

// Failing tells an instance that an upstream took a request of the sender's and
// gave no usable answer. Each instance alone would find that out at the cost of
// its own callers.
type Failing struct {
	Upstream string
	// Born tells the upstream's runs apart.
	Born int64
}

// Begun tells a pool's home that the first token of an attempt has come: its prompt
// has been read.
type Begun struct {
	Pool    string
	Attempt string
}

// Kind implements Message.
func (Begun) Kind() Kind { return KindBegun }

// Kind implements Message.
func (Failing) Kind() Kind { return KindFailing }

// Kind implements Message.
func (Presences) Kind() Kind { return KindPresences }

// Kind implements Message.
func (PresenceAsk) Kind() Kind { return KindPresenceAsk }

// Kind implements Message.
func (JoinAsk) Kind() Kind { return KindJoinAsk }

// Kind implements Message.
func (JoinAnswer) Kind() Kind { return KindJoinAnswer }

// Kind implements Message.
func (Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (SyncAsk) Kind() Kind { return KindSyncAsk }

// Kind implements Message.
func (SyncAnswer) Kind() Kind { return KindSyncAnswer }

// Kind implements Message.
func (MoveOrder) Kind() Kind { return KindMoveOrder }

// Kind implements Message.
func (Moved) Kind() Kind { return KindMoved }
