package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// In a large fleet instances send heartbeats within their data centre only. The relays of
// each data centre announce its live instances to the relays of the other data centres, which
// forward these announcements to the instances of their own. Without relays, 390 instances in
// five data centres would send 24,000 heartbeats a second across the links between data
// centres.

const (
	// presenceInterval is the interval between announcements if nothing changes.
	presenceInterval = time.Second
	// presenceMinInterval is the minimum interval between announcements. When hundreds of
	// instances start together, every heartbeat is a change.
	presenceMinInterval = 200 * time.Millisecond
	// presenceFullInterval is the interval between announcements with the full member list.
	presenceFullInterval = 15 * time.Second
	// presenceStale limits the age of an announcement relative to the latest one of the same data
	// centre: an instance that is listed only in older announcements counts as dead. This detects
	// a dead relay: its own last announcement lists it, but those of the relay that replaces it
	// do not.
	presenceStale = 2 * presenceInterval
	// presenceTimeout is how long an instance of another data centre counts as alive after it was
	// last announced. Announcements take two hops, and a failed relay is replaced within two
	// seconds.
	presenceTimeout = 5 * time.Second
)

// presence is the last announcement of a relay of another data centre.
type presence struct {
	dataCentre string
	// digest is the hash of members, from digestOf.
	digest  uint64
	members []msg.Heartbeat
	// at is the time at which the members were alive.
	at time.Time
}

// lists reports whether an instance is among the announced members.
func (p *presence) lists(name string) bool {
	return slices.ContainsFunc(p.members, func(b msg.Heartbeat) bool { return b.Name == name })
}

// announced records the last announcement that this instance, as a relay, sent to a group of
// instances.
type announced struct {
	at time.Time
	// fullAt is when full member lists were last sent.
	fullAt time.Time
	// lists holds the announced full member lists by source.
	lists map[string]msg.Presence
}

// isDue reports whether the next announcement is due: after presenceInterval, or after
// presenceMinInterval if a member list has changed.
func (a *announced) isDue(now time.Time, list []msg.Presence) bool {
	since := now.Sub(a.at)
	if since >= presenceInterval {
		return true
	}
	return since >= presenceMinInterval && slices.ContainsFunc(list, func(p msg.Presence) bool { return a.lists[p.Source].Digest != p.Digest })
}

// record records an announcement and returns it reduced to the members that changed since the
// last one. Full lists would take megabytes a second in a rolling restart of hundreds of
// instances. If fullInterval is not 0, full lists are sent at that interval, because
// receivers that do not know this instance cannot request them.
func (a *announced) record(now time.Time, list []msg.Presence, fullInterval time.Duration) []msg.Presence {
	full := fullInterval > 0 && now.Sub(a.fullAt) >= fullInterval
	if full {
		a.fullAt = now
	}
	lists := map[string]msg.Presence{}
	out := make([]msg.Presence, 0, len(list))
	for _, p := range list {
		lists[p.Source] = p
		if before, known := a.base(p); known && !full {
			p = reduceToChanges(before, p)
		}
		out = append(out, p)
	}
	a.at, a.lists = now, lists
	return out
}

// base returns the earlier announcement to which the changes of p refer: the last one of the same
// source, or else that of another relay of its data centre, whose members are nearly the same.
func (a *announced) base(p msg.Presence) (before msg.Presence, known bool) {
	if before, known = a.lists[p.Source]; known {
		return before, true
	}
	for _, source := range slices.Sorted(maps.Keys(a.lists)) {
		if a.lists[source].DataCentre == p.DataCentre {
			return a.lists[source], true
		}
	}
	return msg.Presence{}, false
}

// reduceToChanges reduces an announcement to the members that differ from an earlier one.
func reduceToChanges(before, p msg.Presence) msg.Presence {
	all := p.Members
	p.Members = nil
	if before.Digest == p.Digest && before.Source == p.Source {
		return p
	}
	p.Base = before.Source
	unmatched := make(map[string]msg.Heartbeat, len(before.Members))
	for _, b := range before.Members {
		unmatched[b.Name] = b
	}
	for _, b := range all {
		if old, ok := unmatched[b.Name]; !ok || memberDigest(old) != memberDigest(b) {
			p.Members = append(p.Members, b)
		}
		delete(unmatched, b.Name)
	}
	p.Removed = slices.Sorted(maps.Keys(unmatched))
	return p
}

// applyChanges returns the members of p with the changes of an announcement applied.
func (p *presence) applyChanges(changes msg.Presence) []msg.Heartbeat {
	next := map[string]msg.Heartbeat{}
	for _, b := range p.members {
		next[b.Name] = b
	}
	for _, b := range changes.Members {
		next[b.Name] = b
	}
	for _, name := range changes.Removed {
		delete(next, name)
	}
	out := make([]msg.Heartbeat, 0, len(next))
	for _, name := range slices.Sorted(maps.Keys(next)) {
		out = append(out, next[name])
	}
	return out
}

// digestOf returns an order-independent hash of member states.
func digestOf(members []msg.Heartbeat) (sum uint64) {
	for _, b := range members {
		sum += memberDigest(b)
	}
	return sum
}

// Announcement is a message to several instances.
type Announcement struct {
	To   []string
	List []msg.Presence
}

// Announcements returns the due announcements of this instance if it is a relay: the members
// of its data centre, to the relays of other data centres, and the members of these, to the
// instances of its own data centre.
func (f *Fleet) Announcements(now time.Time) []Announcement {
	if !f.IsRelay(now) {
		return nil
	}
	var out []Announcement
	own := []msg.Presence{f.ownPresence()}
	if f.announcedFar.isDue(now, own) {
		out = append(out, Announcement{To: f.farRelays(now), List: f.announcedFar.record(now, own, presenceFullInterval)})
	}
	others := f.latestPresences(now)
	if f.announcedNear.isDue(now, others) {
		out = append(out, Announcement{To: f.liveNear(), List: f.announcedNear.record(now, others, 0)})
	}
	return out
}

// IsRelay reports whether this instance announces its data centre to the others.
func (f *Fleet) IsRelay(now time.Time) bool {
	return f.large() && slices.Contains(f.relays(now, f.self.DataCentre), f.self.Name)
}

// Presences returns the last announcements of the given sources, with full member lists.
func (f *Fleet) Presences(now time.Time, sources []string) []msg.Presence {
	var out []msg.Presence
	for _, p := range append(f.otherPresences(now), f.ownPresence()) {
		if slices.Contains(sources, p.Source) {
			out = append(out, p)
		}
	}
	return out
}

// ownPresence returns the announcement of the live instances of this data centre.
func (f *Fleet) ownPresence() msg.Presence {
	p := msg.Presence{Source: f.self.Name, DataCentre: f.self.DataCentre, Members: []msg.Heartbeat{f.self}}
	for _, name := range f.liveNear() {
		p.Members = append(p.Members, f.members[name].Heartbeat)
	}
	for k := range p.Members {
		p.Members[k].ReceivesYours = false // concerns only the sender and the receiver of a heartbeat
		p.Members[k].WantsResponse = false
	}
	p.Digest = digestOf(p.Members)
	return p
}

// otherPresences returns the announcements of other data centres' relays that have not expired.
func (f *Fleet) otherPresences(now time.Time) []msg.Presence {
	var out []msg.Presence
	for source, p := range f.presences {
		if age := now.Sub(p.at); age < presenceTimeout {
			out = append(out, msg.Presence{Source: source, DataCentre: p.dataCentre, Digest: p.digest, Age: age, Members: p.members})
		}
	}
	slices.SortFunc(out, func(a, b msg.Presence) int { return cmp.Compare(a.Source, b.Source) })
	return out
}

// latestPresences returns the most recent announcement of each other data centre. It keeps to the
// source whose announcement it forwarded last while that source announces in time: after a switch
// to another source, changes would be sent twice.
func (f *Fleet) latestPresences(now time.Time) []msg.Presence {
	age := func(p msg.Presence) time.Duration {
		if _, forwarded := f.announcedNear.lists[p.Source]; forwarded {
			return p.Age - presenceInterval - presenceMinInterval
		}
		return p.Age
	}
	best := map[string]msg.Presence{}
	for _, p := range f.otherPresences(now) {
		if b, found := best[p.DataCentre]; !found || age(p) < age(b) {
			best[p.DataCentre] = p
		}
	}
	out := make([]msg.Presence, 0, len(best))
	for _, dc := range slices.Sorted(maps.Keys(best)) {
		out = append(out, best[dc])
	}
	return out
}

// liveNear lists the other live instances of this data centre.
func (f *Fleet) liveNear() []string {
	return slices.DeleteFunc(slices.Clone(f.live), func(name string) bool { return f.members[name].DataCentre != f.self.DataCentre })
}

// farRelays lists the relays of the other data centres. For a data centre without known live
// instances it lists the instances that are likely to be its relays.
func (f *Fleet) farRelays(now time.Time) []string {
	var out []string
	for _, dc := range f.otherDataCentres() {
		names := f.relays(now, dc)
		if len(names) == 0 {
			names = f.knownRelays(now, dc)
		}
		out = append(out, names...)
	}
	return out
}

// knownRelays lists the instances that would be the relays of a data centre if all known
// instances were alive.
func (f *Fleet) knownRelays(now time.Time, dataCentre string) []string {
	return f.largestOf(now, f.allKnown(), relaysKey, relayCount, func(b msg.Heartbeat) bool { return b.DataCentre == dataCentre })
}

// otherDataCentres lists the data centres of the known instances, without this one.
func (f *Fleet) otherDataCentres() []string {
	seen := map[string]bool{}
	for _, m := range f.members {
		if m.DataCentre != f.self.DataCentre {
			seen[m.DataCentre] = true
		}
	}
	out := make([]string, 0, len(seen))
	for dc := range seen {
		out = append(out, dc)
	}
	slices.Sort(out)
	return out
}

// OnPresence processes a received announcement. It returns false if the announcement
// refers to a member list that is not known here and must be requested.
func (f *Fleet) OnPresence(now time.Time, a msg.Presence) bool {
	if a.DataCentre == f.self.DataCentre {
		return true // heartbeats arrive directly
	}
	at := now.Add(-a.Age)
	p := f.presences[a.Source]
	switch {
	case p != nil && p.digest == a.Digest:
		p.at = latest(p.at, at)
		f.markSeen(now, p)
		return true
	case p != nil && at.Before(p.at):
		return true // a newer announcement of the source has arrived through another relay
	}
	members := a.Members
	if a.Base != "" {
		base := f.presences[a.Base]
		if base == nil {
			return false
		}
		members = base.applyChanges(a)
	}
	if members == nil || digestOf(members) != a.Digest {
		return false // an earlier announcement was lost
	}
	next := &presence{dataCentre: a.DataCentre, digest: a.Digest, members: members, at: at}
	f.presences[a.Source] = next
	f.markSeen(now, next)
	if p != nil {
		f.markMissing(p, next)
	}
	f.refresh(now)
	return true
}

// markSeen marks the members of an announcement as alive at the time of the announcement.
func (f *Fleet) markSeen(now time.Time, p *presence) {
	for _, b := range p.members {
		m := f.members[b.Name]
		if m == nil {
			m = &Member{LearnedAt: now}
			f.members[b.Name] = m
			m.Heartbeat = b
			f.countMembers()
		}
		if p.at.After(m.LastSeen) {
			f.changed = f.changed || memberOf(m.Heartbeat) != memberOf(b)
			m.Heartbeat, m.LastSeen, m.wasAlive = b, p.at, true
		}
	}
}

// markMissing compares two successive announcements of a source. It marks members as dead that
// only the earlier one lists, unless a recent announcement of another relay lists them.
func (f *Fleet) markMissing(before, after *presence) {
	for _, b := range before.members {
		if m := f.members[b.Name]; m != nil && !after.lists(b.Name) && !f.listedElsewhere(after, b.Name) {
			m.LastSeen = time.Time{}
		}
	}
}

// listedElsewhere reports whether a recent announcement of another relay of the same data
// centre lists an instance.
func (f *Fleet) listedElsewhere(except *presence, name string) bool {
	for _, p := range f.presences {
		if p != except && p.dataCentre == except.dataCentre && except.at.Sub(p.at) < presenceStale && p.lists(name) {
			return true
		}
	}
	return false
}

// lastAnnounced returns the time of the latest announcement of each other data centre.
func (f *Fleet) lastAnnounced() map[string]time.Time {
	if len(f.presences) == 0 {
		return nil
	}
	out := map[string]time.Time{}
	for _, p := range f.presences {
		out[p.dataCentre] = latest(out[p.dataCentre], p.at)
	}
	return out
}

// prunePresences drops announcements older than ForgetAfter.
func (f *Fleet) prunePresences(now time.Time) {
	for source, p := range f.presences {
		if now.Sub(p.at) > ForgetAfter {
			delete(f.presences, source)
		}
	}
}

// memberDigest returns a hash of an instance's announced state.
func memberDigest(b msg.Heartbeat) uint64 {
	flags := []byte{'-', '-', '-', '-'}
	for k, set := range []bool{b.Ready, b.Leaving, b.StoreReachable, b.Eligible} {
		if set {
			flags[k] = '+'
		}
	}
	return xxhash.Sum64String(b.Name + "/" + b.Boot + "/" + b.CallerAddress + "/" + b.PeerAddress + "/" + string(flags))
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
