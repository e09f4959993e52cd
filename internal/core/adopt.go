package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// objectPart is the size in bytes of the parts in which a configuration is transferred between
// instances.
const objectPart = 256 << 10

// applyAnnounceDuration is how long a change accepted here is announced to all instances.
const applyAnnounceDuration = 2 * time.Second

// wanted is a version known to be newer than the current one.
type wanted struct {
	ConfigPointer
	// at is the latest time at which no newer one was in force.
	at time.Time
	// from is the instance that announced it.
	from string
	// tries counts the rounds of fetching.
	tries int
	// parts is the received beginning of its object.
	parts []byte
}

func (w *wanted) newer(number int64) bool { return w.Number > number }

// learn handles the information that a version was in force at a time; zero if unknown.
func (i *Instance) learn(now time.Time, p ConfigPointer, at time.Time, from string) {
	w := &i.follow.want
	switch held := i.ConfigNumber(); {
	case p.Number == 0:
		return
	case p.Number <= held:
		// Versions only go up, so that a late answer can't bring an old one
		// back; but it does tell that at that moment nothing newer was there.
		i.confirm(at)
	case p.Number < w.Number:
		return
	case p.Number == w.Number:
		w.at = later(w.at, at)
	default:
		*w = wanted{ConfigPointer: p, at: at, from: from}
		if p.Hash == i.ConfigHash() {
			i.renumber(now)
			return
		}
		i.emit(Fetch{Hash: p.Hash})
	}
}

// renumber adopts a wanted version with the current configuration, which differs in its
// cordons only.
func (i *Instance) renumber(now time.Time) {
	i.version = i.version.Renumbered(i.follow.want.Number)
	i.inForce(now)
}

func (i *Instance) confirm(at time.Time) {
	if i.version != nil {
		i.follow.confirmed = later(i.follow.confirmed, at)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// fetchAgain retries a wanted version from the store and from another instance.
func (i *Instance) fetchAgain(now time.Time) {
	w := &i.follow.want
	if !w.newer(i.ConfigNumber()) {
		return
	}
	w.tries++
	if w.tries > 1 {
		i.count("retries_total", "config_object")
		i.emit(Fetch{Hash: w.Hash})
		i.askObject(now)
	}
}

// askObject requests the next part of the wanted object, from a different instance each time,
// starting with the one that announced it.
func (i *Instance) askObject(time.Time) {
	w := &i.follow.want
	var others []string
	if w.from != i.self {
		others = append(others, w.from)
	}
	for _, name := range i.view.Entries() {
		if name != i.self && name != w.from {
			others = append(others, name)
		}
	}
	if len(others) > 0 {
		i.askPart(others[w.tries%len(others)])
	}
}

func (i *Instance) askPart(from string) {
	w := &i.follow.want
	i.send(from, msg.ConfigObjectAsk{Hash: w.Hash, Offset: len(w.parts), Address: i.selfMember().PeerAddress})
}

func (i *Instance) onConfigObjectAsk(from string, m msg.ConfigObjectAsk) {
	object := i.follow.object
	if m.Hash != i.ConfigHash() || m.Offset < 0 || m.Offset >= len(object) {
		return
	}
	end := min(m.Offset+objectPart, len(object))
	i.emit(Send{To: from, Address: m.Address, Msg: msg.ConfigObjectPart{
		Hash: m.Hash, Offset: m.Offset, Size: len(object), Data: object[m.Offset:end],
	}})
}

func (i *Instance) onConfigObjectPart(now time.Time, from string, m msg.ConfigObjectPart) {
	w := &i.follow.want
	if m.Hash != w.Hash || m.Offset != len(w.parts) || len(m.Data) == 0 {
		return
	}
	w.parts = append(w.parts, m.Data...)
	if len(w.parts) < m.Size {
		i.askPart(from)
		return
	}
	object := w.parts
	w.parts = nil
	i.decodeInForce(now, w.Hash, object)
}

func (i *Instance) onObject(now time.Time, e ObjectResult) {
	w := &i.follow.want
	if e.Hash != w.Hash || !w.newer(i.ConfigNumber()) {
		return
	}
	if !e.OK {
		i.count("config_reads_failed_total", "object")
		i.askObject(now)
		return
	}
	if e.Config == nil {
		i.decodeInForce(now, e.Hash, e.Data)
		return
	}
	i.putInForce(now, e.Hash, e.Data, e.Config)
}

// decodeInForce decodes and adopts a wanted version.
func (i *Instance) decodeInForce(now time.Time, hash string, object []byte) {
	w := i.follow.want
	if hash != w.Hash || !w.newer(i.ConfigNumber()) {
		return
	}
	cfg, err := config.Decode(object, hash)
	if err != nil {
		i.count("config_reads_failed_total", "decode")
		i.emit(Log{Event: "config_rejected", Pairs: []any{"number", w.Number, "error", err}})
		return
	}
	i.putInForce(now, hash, object, cfg)
}

// putInForce adopts a wanted version. Requests in progress keep theirs.
func (i *Instance) putInForce(now time.Time, hash string, object []byte, cfg *config.Config) {
	w := i.follow.want
	if hash != w.Hash || !w.newer(i.ConfigNumber()) {
		return
	}
	i.version = config.Compile(w.Number, w.Hash, cfg)
	i.follow.object = object
	i.inForce(now)
}

// inForce applies what accompanies the wanted version, now in force.
func (i *Instance) inForce(now time.Time) {
	w := &i.follow.want
	i.confirm(w.at)
	i.emit(Log{Event: "config_in_force", Pairs: []any{"number", w.Number, "hash", w.Hash, "from", w.from}})
	i.setCordons(now, cordon.NewSet(w.Number, w.Cordoned))
	if w.from == i.self {
		i.announceInDataCentre(now)
	}
}

// onConfigApplied adopts a change accepted through this instance and announces it to all
// others directly: an outage of the table right after the change would otherwise hide it from
// them.
func (i *Instance) onConfigApplied(now time.Time, e ConfigApplied) {
	p := e.Pointer
	i.learn(now, p, time.Time{}, i.self)
	if e.Object != nil {
		i.decodeInForce(now, p.Hash, e.Object)
	}
	i.follow.applied = now
	i.announceApplied(now)
}

// announceApplied repeats that announcement for some rounds, as messages can be lost and new
// instances join.
func (i *Instance) announceApplied(now time.Time) {
	if now.Sub(i.follow.applied) < applyAnnounceDuration {
		i.broadcast(msg.ConfigTold{Number: i.ConfigNumber(), Hash: i.ConfigHash(), Cordoned: i.cordons.DataCentres})
	}
}

// announceInDataCentre sends a version that this instance read to the others in its data
// centre before their next poll.
func (i *Instance) announceInDataCentre(now time.Time) {
	own := i.selfMember().DataCentre
	for _, name := range i.view.Entries() {
		if m, _ := i.view.Member(name); name != i.self && m.DataCentre == own {
			i.send(name, i.configTold(now, 0))
		}
	}
}
