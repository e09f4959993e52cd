package msg

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// Message kinds among instances that run on a hosting platform. They have their own range of
// numbers.
const (
	KindHeartbeat Kind = iota + 64
	KindSyncRequest
	KindSyncResponse
	KindMoveOrder
	KindMoveResult
	KindUpstreamFailing
	KindFirstToken
	KindJoinRequest
	KindJoinResponse
	KindPresences
	KindPresenceRequest
	KindRateStatement
	KindPermitRequest
	KindPermitResponse
	KindPermitCancel
	KindUpstreamLeaving
	KindRankedGrantRequest
	KindUpstreamSpeed
	KindInstanceLoad
	KindTunnelRequest
	KindTunnelResponse
	KindPartsSound
	KindCrashEvidence
	KindWithSoftware
	KindStreamOrigins
	KindOriginsStored
	KindOriginRequest
	KindOriginResponse
)

// Heartbeat announces that the sender is alive and at which addresses it can be reached.
type Heartbeat struct {
	Name          string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	// Boot identifies the process run of the instance: two process runs under the same name have
	// different values.
	Boot string
	// Ready is set if callers may be sent to the sender.
	Ready bool
	// StoreReachable is set if the platform's store responds to the sender.
	StoreReachable bool
	// Leaving is set if the sender drains.
	Leaving bool
	// Eligible is set once the sender has been alive for long enough to read the store or relay
	// updates for others.
	Eligible bool
	// ReceivesYours is set if the sender has recently received heartbeats of the receiver. If it is
	// not set, messages on the receiver's connection to the sender may be lost.
	ReceivesYours bool
	// Class is the capacity class of the sender's machine, the number of times that its link
	// bandwidth in Mbit/s can be halved until it is less than 1, plus limitsClass since the release
	// that divides rate limits, plus loadClass since the release that exchanges the messages in
	// load.go, plus agesClass since the release that states negative ages, plus tunnelsClass since the
	// release that opens tunnels, plus softwareClass since the release that tells the software of
	// upstreams apart. Instances of the highest class are preferred for work on behalf of
	// others. Earlier releases decode the low 8 bits only.
	Class uint16
	// WantsResponse is set to request a heartbeat from the receiver, because the sender has just
	// started and must find the live instances.
	WantsResponse bool
}

// limitsClass is added to the Class of instances that understand the messages about rate limits of
// upstreams. An earlier release closes the connection on which one arrives. A field of its own would
// lengthen every heartbeat for good.
const limitsClass = 32

// loadClass is added, for the same reason, to the Class of instances that understand the messages in
// load.go.
const loadClass = 64

// agesClass is added, for the same reason, to the Class of instances that understand negative ages in a
// SyncResponse.
const agesClass = 128

// tunnelsClass is added, for the same reason, to the Class of instances that open tunnels to upstreams.
const tunnelsClass = 256

// softwareClass is added, for the same reason, to the Class of instances that understand the messages in
// software.go and origins.go.
const softwareClass = 512

// ClassOfRelease returns the class of an instance of this release whose machine has a capacity class,
// which is less than limitsClass.
func ClassOfRelease(capacity uint8) uint16 {
	return uint16(capacity) + limitsClass + loadClass + agesClass + tunnelsClass + softwareClass
}

// Capacity returns the capacity class of the sender's machine.
func (h Heartbeat) Capacity() uint8 { return uint8(h.Class % limitsClass) }

// UnderstandsLoad reports whether the sender understands the messages in load.go.
func (h Heartbeat) UnderstandsLoad() bool { return h.Class >= loadClass }

// UnderstandsNegativeAges reports whether the sender understands negative ages in a SyncResponse.
func (h Heartbeat) UnderstandsNegativeAges() bool { return h.Class >= agesClass }

// OpensTunnels reports whether the sender opens tunnels to upstreams.
func (h Heartbeat) OpensTunnels() bool { return h.Class >= tunnelsClass }

// UnderstandsParts reports whether the sender understands the messages about parts of prompts.
func (h Heartbeat) UnderstandsParts() bool { return h.OpensTunnels() }

// UnderstandsSoftware reports whether the sender understands the messages in software.go and origins.go.
func (h Heartbeat) UnderstandsSoftware() bool { return h.Class >= softwareClass }

// DividesLimits reports whether the sender understands the messages about rate limits.
func (h Heartbeat) DividesLimits() bool { return h.Class >= limitsClass }

// JoinRequest requests the receiver's list of live instances. Like a heartbeat, it announces the
// sender.
type JoinRequest struct {
	Sender Heartbeat
	// Digest is a digest of the names in the sender's list of live instances.
	Digest uint64
}

// JoinResponse is the response to a JoinRequest.
type JoinResponse struct {
	// Instances lists live instances and Size is the number of all live ones; both are empty if
	// the requester has the same list. In a large fleet, Instances contains only a few of each
	// other data centre.
	Instances []Heartbeat
	Size      int
	// Eligible is set if the responding instance has been alive for long enough to know the
	// fleet.
	Eligible bool
	// Isolated is set if the responding instance no longer receives heartbeats from most
	// instances that it knew.
	Isolated bool
}

// Presence lists the live instances of a data centre, as a relay in that data centre sees them.
type Presence struct {
	// Source is the name of the relay.
	Source     string
	DataCentre string
	// Digest identifies the content of the relay's list: lists that differ have different
	// digests.
	Digest uint64
	// Age is the time since the relay announced this content.
	Age time.Duration
	// Members lists the instances; nil if the list has not changed since it was last announced.
	Members []Heartbeat
	// Base is set if this is a change to an earlier list: the name of the relay in the same
	// data centre, this one or another, that announced that list. Members then contains only
	// instances that are new or changed, and Removed the names of those that are no longer alive.
	Base    string
	Removed []string
}

// Presences announces the live instances of other data centres.
type Presences struct{ List []Presence }

// PresenceRequest requests the full lists that were announced in the name of some relays.
type PresenceRequest struct{ Sources []string }

// SyncRequest requests, from an instance that reads the platform's store, all updates newer than
// the requester's versions. The response is sent as soon as there is an update or after a short
// time, because a response also confirms that there is no update.
type SyncRequest struct {
	// Number identifies the request; Config is the version of the requester's configuration.
	Number int64
	Config int64
	// Cordons is the version of the requester's cordons; 0 if it has none.
	Cordons int64
	List    roster.ListRequest
	// Hold is the maximum time that the response may wait for an update; 0 leaves it to the
	// receiver.
	Hold time.Duration
}

// SyncResponse is the response to a SyncRequest.
type SyncResponse struct {
	// Number is the number of the SyncRequest.
	Number int64
	// ConfigAge is the age of the sender's confirmation of its configuration as of when the
	// SyncRequest arrived, from AgeAt. It is NoAge if the sender has no configuration.
	ConfigAge time.Duration
	// ListAge is the same for the list of upstreams. It is NoAge if the sender lacks some of the
	// requested groups.
	ListAge time.Duration
	// Config is nil if the requester has the newest version known to the sender.
	Config PackedConfig
	// Cordons is nil if the requester has the newest version known to the sender. The cordons
	// were confirmed together with the configuration.
	Cordons *cordon.Set
	// List is nil if the requester's list is up to date.
	List *roster.ListUpdate
}

// NoAge is an age in a SyncResponse that confirms nothing.
const NoAge time.Duration = -1

// AgeAt returns the age of a confirmation as of when a request arrived. It is negative if the
// confirmation is newer, as after a long hold: the requester knows only when it sent the request, and
// may count on the time of the hold.
func AgeAt(arrived, confirmed time.Time) time.Duration {
	if age := arrived.Sub(confirmed); age != NoAge {
		return age
	}
	return 0
}

// WithoutNegativeAges returns the response for a requester that does not understand negative ages: newer
// confirmations are stated as of when the request arrived.
func (r SyncResponse) WithoutNegativeAges() SyncResponse {
	for _, age := range []*time.Duration{&r.ConfigAge, &r.ListAge} {
		if *age != NoAge {
			*age = max(*age, 0)
		}
	}
	return r
}

// MoveOrder instructs an entry to move a running generation to another upstream.
type MoveOrder struct {
	Pool    string
	Attempt string
	// Number distinguishes several orders for one attempt.
	Number int64
	// From and To are the ids of the upstreams. ToAddress, ToDataCentre and ToSoftware are the address,
	// the data centre and the software version of To.
	From         string
	To           string
	ToAddress    string
	ToDataCentre string
	ToSoftware   string `msgpack:"-"`
}

// MoveResult reports the outcome of a MoveOrder.
type MoveResult struct {
	Pool    string
	Attempt string
	Number  int64
	Outcome MoveOutcome
}

// MoveOutcome is the outcome of a move.
type MoveOutcome string

// Outcomes of moves.
const (
	// MoveDone: the generation continues at the destination.
	MoveDone MoveOutcome = "done"
	// MoveEnded: the generation ended before it was moved.
	MoveEnded MoveOutcome = "ended"
	// MoveNoRun: the source does not run such a generation, or it cannot be moved.
	MoveNoRun MoveOutcome = "no_run"
	// MoveNoRoom: the destination did not accept the copy, or may not continue the generation; this
	// continues at the source, and another destination may be tried.
	MoveNoRoom MoveOutcome = "no_room"
	// MoveFailed: the copy failed for another reason.
	MoveFailed MoveOutcome = "failed"
)

// UpstreamFailing announces that an upstream accepted a request of the sender and gave no usable
// response. Without it, each instance would detect the failure at the cost of its own callers.
type UpstreamFailing struct {
	Upstream string
	// Born identifies the process run of the upstream.
	Born int64
}

// FirstToken notifies a pool's home that the first token of an attempt has arrived: the prefill of
// its prompt is complete.
type FirstToken struct {
	Pool    string
	Attempt string
}

// Kind implements Message.
func (FirstToken) Kind() Kind { return KindFirstToken }

// Kind implements Message.
func (UpstreamFailing) Kind() Kind { return KindUpstreamFailing }

// Kind implements Message.
func (Presences) Kind() Kind { return KindPresences }

// Kind implements Message.
func (PresenceRequest) Kind() Kind { return KindPresenceRequest }

// Kind implements Message.
func (JoinRequest) Kind() Kind { return KindJoinRequest }

// Kind implements Message.
func (JoinResponse) Kind() Kind { return KindJoinResponse }

// Kind implements Message.
func (Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (SyncRequest) Kind() Kind { return KindSyncRequest }

// Kind implements Message.
func (SyncResponse) Kind() Kind { return KindSyncResponse }

// Kind implements Message.
func (MoveOrder) Kind() Kind { return KindMoveOrder }

// Kind implements Message.
func (MoveResult) Kind() Kind { return KindMoveResult }
