package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// objectPartBytes is the maximum size of the parts in which a configuration object is
// transferred between instances.
const objectPartBytes = 256 << 10

// applyAnnounceDuration is how long a change that was accepted through this instance is
// announced to all instances.
const applyAnnounceDuration = 2 * time.Second

// pendingConfig is a configuration version that is newer than the one in force here and whose
// object is being fetched.
type pendingConfig struct {
	ConfigPointer
	// confirmedAt is the latest time at which certainly no newer version was in force.
	confirmedAt time.Time
	// from is the instance that announced the version.
	from string
	// tries counts the rounds in which the object was still missing.
	tries int
	// received is the beginning of the object, as far as it was received from other instances.
	received []byte
}

func (pending *pendingConfig) newer(number int64) bool { return pending.Number > number }

// observeVersion handles the information that a version was in force at a time, zero if that
// time is unknown.
func (i *Instance) observeVersion(now time.Time, p ConfigPointer, at time.Time, from string) {
	pending := &i.configs.pending
	switch held := i.ConfigNumber(); {
	case p.Number == 0:
		return
	case p.Number <= held:
		// Version numbers only increase, so a late reply cannot bring back an old
		// version. It still confirms that no newer version was in force at that time.
		i.confirm(at)
	case p.Number < pending.Number:
		return
	case p.Number == pending.Number:
		pending.confirmedAt = laterTime(pending.confirmedAt, at)
	default:
		*pending = pendingConfig{ConfigPointer: p, confirmedAt: at, from: from}
		if p.Hash == i.ConfigHash() {
			i.renumber(now)
			return
		}
		i.emit(Fetch{Hash: p.Hash})
	}
}

// renumber adopts a pending version that has the same configuration as the current one and
// differs only in its cordons.
func (i *Instance) renumber(now time.Time) {
	i.version = i.version.Renumbered(i.configs.pending.Number)
	i.afterActivation(now)
}

func (i *Instance) confirm(at time.Time) {
	if i.version != nil {
		i.configs.confirmed = laterTime(i.configs.confirmed, at)
	}
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// retryFetch fetches the pending version's object again, from the object store and from another
// instance.
func (i *Instance) retryFetch(now time.Time) {
	pending := &i.configs.pending
	if !pending.newer(i.ConfigNumber()) {
		return
	}
	pending.tries++
	if pending.tries > 1 {
		i.count("retries_total", "config_object")
		i.emit(Fetch{Hash: pending.Hash})
		i.requestObject(now)
	}
}

// requestObject requests the next part of the pending object. Each call uses a different
// instance; the instance that announced the version comes first in the rotation.
func (i *Instance) requestObject(time.Time) {
	pending := &i.configs.pending
	var others []string
	if pending.from != i.self {
		others = append(others, pending.from)
	}
	for _, name := range i.view.LiveInstances() {
		if name != i.self && name != pending.from {
			others = append(others, name)
		}
	}
	if len(others) > 0 {
		i.requestObjectPart(others[pending.tries%len(others)])
	}
}

func (i *Instance) requestObjectPart(from string) {
	pending := &i.configs.pending
	i.send(from, msg.ConfigObjectRequest{Hash: pending.Hash, Offset: len(pending.received), Address: i.selfMember().PeerAddress})
}

func (i *Instance) onConfigObjectRequest(from string, m msg.ConfigObjectRequest) {
	object := i.configs.object
	if m.Hash != i.ConfigHash() || m.Offset < 0 || m.Offset >= len(object) {
		return
	}
	end := min(m.Offset+objectPartBytes, len(object))
	i.emit(Send{To: from, Address: m.Address, Msg: msg.ConfigObjectPart{
		Hash: m.Hash, Offset: m.Offset, Size: len(object), Data: object[m.Offset:end],
	}})
}

func (i *Instance) onConfigObjectPart(now time.Time, from string, m msg.ConfigObjectPart) {
	pending := &i.configs.pending
	if m.Hash != pending.Hash || m.Offset != len(pending.received) || len(m.Data) == 0 {
		return
	}
	pending.received = append(pending.received, m.Data...)
	if len(pending.received) < m.Size {
		i.requestObjectPart(from)
		return
	}
	object := pending.received
	pending.received = nil
	i.decodeAndActivate(now, pending.Hash, object)
}

func (i *Instance) onObject(now time.Time, e ObjectResult) {
	pending := &i.configs.pending
	if e.Hash != pending.Hash || !pending.newer(i.ConfigNumber()) {
		return
	}
	if !e.OK {
		i.count("config_reads_failed_total", "object")
		i.requestObject(now)
		return
	}
	if e.Config == nil {
		i.decodeAndActivate(now, e.Hash, e.Data)
		return
	}
	i.activate(now, e.Hash, e.Data, e.Config)
}

// decodeAndActivate decodes the object of the pending version and activates the version.
func (i *Instance) decodeAndActivate(now time.Time, hash string, object []byte) {
	pending := i.configs.pending
	if hash != pending.Hash || !pending.newer(i.ConfigNumber()) {
		return
	}
	cfg, err := config.Decode(object, hash)
	if err != nil {
		i.count("config_reads_failed_total", "decode")
		i.emit(Log{Event: "config_rejected", Pairs: []any{"number", pending.Number, "error", err}})
		return
	}
	i.activate(now, hash, object, cfg)
}

// activate puts the pending version in force. Requests in progress keep their version.
func (i *Instance) activate(now time.Time, hash string, object []byte, cfg *config.Config) {
	pending := i.configs.pending
	if hash != pending.Hash || !pending.newer(i.ConfigNumber()) {
		return
	}
	i.version = config.Compile(pending.Number, pending.Hash, cfg)
	i.configs.object = object
	i.afterActivation(now)
}

// afterActivation applies the confirmation and the cordons of the pending version, which is now
// in force, and announces the version in this data centre if this instance read it.
func (i *Instance) afterActivation(now time.Time) {
	pending := &i.configs.pending
	i.confirm(pending.confirmedAt)
	i.emit(Log{Event: "config_in_force", Pairs: []any{"number", pending.Number, "hash", pending.Hash, "from", pending.from}})
	i.setCordons(now, cordon.NewSet(pending.Number, pending.Cordoned))
	if pending.from == i.self {
		i.announceInDataCentre(now)
	}
}

// onConfigApplied adopts a change that was accepted through this instance and announces it
// directly to all others. Otherwise an outage of the table right after the change would keep it
// from them.
func (i *Instance) onConfigApplied(now time.Time, e ConfigApplied) {
	p := e.Pointer
	i.observeVersion(now, p, time.Time{}, i.self)
	if e.Object != nil {
		i.decodeAndActivate(now, p.Hash, e.Object)
	}
	i.configs.appliedAt = now
	i.announceApplied(now)
}

// announceApplied announces a recently applied change to all instances. It runs in each round
// for applyAnnounceDuration, as messages can be lost and new instances can join.
func (i *Instance) announceApplied(now time.Time) {
	if now.Sub(i.configs.appliedAt) < applyAnnounceDuration {
		i.broadcast(msg.ConfigVersion{Number: i.ConfigNumber(), Hash: i.ConfigHash(), Cordoned: i.cordons.DataCentres})
	}
}

// announceInDataCentre sends the version in force to the other instances in this data centre,
// so that they need not wait for their next poll.
func (i *Instance) announceInDataCentre(now time.Time) {
	own := i.selfMember().DataCentre
	for _, name := range i.view.LiveInstances() {
		if m, _ := i.view.Member(name); name != i.self && m.DataCentre == own {
			i.send(name, i.configUpdate(now, 0))
		}
	}
}
