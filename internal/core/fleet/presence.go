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
// a data centre tell those of the others whom they hear, and each relay tells the
// instances beside it what it was told: 390 instances in five data centres would else
// send each other 24,000 messages a second across the links between them.

const (
	// presenceInterval is the interval of announcements if nothing changes.
	presenceInterval = time.Second
	// presenceMinInterval is the minimum interval between announcements: when hundreds of
	// instances start at once, every heartbeat is a change.
	presenceMinInterval = 200 * time.Millisecond
	// presenceFullInterval is the interval of full member lists.
	presenceFullInterval = 15 * time.Second
	// presenceStale is how much newer than an instance's last sighting the announcements of
	// its data centre must be for it to count as dead. A relay that died is not listed by its
	// successor.
	presenceStale = 2 * presenceInterval
	// presenceTimeout is how long an instance of another data centre counts as alive after it
	// was last announced. Announcements take two hops, and a failed relay is replaced within
	// two seconds.
	presenceTimeout = 5 * time.Second
)

// presence is the last announcement of a relay of another data centre.
type presence struct {
	dataCentre string
	digest     uint64
	members    []msg.Heartbeat
	// at is the moment for which it holds.
	at time.Time
}

// names reports whether an instance is among the members.
func (p *presence) names(name string) bool {
	return slices.ContainsFunc(p.members, func(b msg.Heartbeat) bool { return b.Name == name })
}

// told records the last announcement that this instance made as a relay, by source; whole is
// the time of the last full member list.
type told struct {
	at    time.Time
	whole time.Time
	lists map[string]msg.Presence
}

// due reports whether the next announcement is due: periodically, or sooner after a change.
func (t *told) due(now time.Time, list []msg.Presence) bool {
	since := now.Sub(t.at)
	if since >= presenceInterval {
		return true
	}
	return since >= presenceMinInterval && slices.ContainsFunc(list, func(p msg.Presence) bool { return t.lists[p.Source].Digest != p.Digest })
}

// tell records an announcement and returns it reduced to the members that changed since the
// last one. Full lists would take megabytes a second in a rolling restart of hundreds of
// instances. With a non-zero every, full lists are repeated at that interval: receivers that
// do not know this instance cannot request them.
func (t *told) tell(now time.Time, list []msg.Presence, every time.Duration) []msg.Presence {
	whole := every > 0 && now.Sub(t.whole) >= every
	if whole {
		t.whole = now
	}
	lists := map[string]msg.Presence{}
	out := make([]msg.Presence, 0, len(list))
	for _, p := range list {
		lists[p.Source] = p
		if before, known := t.base(p); known && !whole {
			p = changes(before, p)
		}
		out = append(out, p)
	}
	t.at, t.lists = now, lists
	return out
}

// base returns the announcement that changes refer to: the source's last one, or that of
// another relay of its data centre, which is nearly the same.
func (t *told) base(p msg.Presence) (before msg.Presence, known bool) {
	if before, known = t.lists[p.Source]; known {
		return before, true
	}
	for _, source := range slices.Sorted(maps.Keys(t.lists)) {
		if t.lists[source].DataCentre == p.DataCentre {
			return t.lists[source], true
		}
	}
	return msg.Presence{}, false
}

// changes reduces an announcement to what differs from an earlier one.
func changes(before, p msg.Presence) msg.Presence {
	all := p.Members
	p.Members = nil
	if before.Digest == p.Digest && before.Source == p.Source {
		return p
	}
	p.Base = before.Source
	had := make(map[string]msg.Heartbeat, len(before.Members))
	for _, b := range before.Members {
		had[b.Name] = b
	}
	for _, b := range all {
		if old, ok := had[b.Name]; !ok || memberDigest(old) != memberDigest(b) {
			p.Members = append(p.Members, b)
		}
		delete(had, b.Name)
	}
	p.Gone = slices.Sorted(maps.Keys(had))
	return p
}

// changed applies an announcement of changes.
func (p *presence) changed(told msg.Presence) []msg.Heartbeat {
	next := map[string]msg.Heartbeat{}
	for _, b := range p.members {
		next[b.Name] = b
	}
	for _, b := range told.Members {
		next[b.Name] = b
	}
	for _, name := range told.Gone {
		delete(next, name)
	}
	out := make([]msg.Heartbeat, 0, len(next))
	for _, name := range slices.Sorted(maps.Keys(next)) {
		out = append(out, next[name])
	}
	return out
}

// digestOf is an order-independent hash of member states.
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
// of its data centre to the relays of others, and theirs to the instances of its own.
func (f *Fleet) Announcements(now time.Time) []Announcement {
	if !f.IsRelay(now) {
		return nil
	}
	var out []Announcement
	own := []msg.Presence{f.ownPresence()}
	if f.toldFar.due(now, own) {
		out = append(out, Announcement{To: f.farRelays(now), List: f.toldFar.tell(now, own, presenceFullInterval)})
	}
	others := f.onePresenceEach(now)
	if f.toldNear.due(now, others) {
		out = append(out, Announcement{To: f.nearLive(), List: f.toldNear.tell(now, others, 0)})
	}
	return out
}

// IsRelay reports whether this instance announces its data centre to others.
func (f *Fleet) IsRelay(now time.Time) bool {
	return f.large() && slices.Contains(f.relays(now, f.self.DataCentre), f.self.Name)
}

// Presences returns the full announcements of some sources.
func (f *Fleet) Presences(now time.Time, sources []string) []msg.Presence {
	var out []msg.Presence
	for _, p := range append(f.otherPresences(now), f.ownPresence()) {
		if slices.Contains(sources, p.Source) {
			out = append(out, p)
		}
	}
	return out
}

// ownPresence returns the members of this data centre.
func (f *Fleet) ownPresence() msg.Presence {
	p := msg.Presence{Source: f.self.Name, DataCentre: f.self.DataCentre, Members: []msg.Heartbeat{f.self}}
	for _, name := range f.nearLive() {
		p.Members = append(p.Members, f.members[name].Heartbeat)
	}
	for k := range p.Members {
		p.Members[k].Hears = false // that is between two instances
		p.Members[k].Answer = false
	}
	p.Digest = digestOf(p.Members)
	return p
}

// otherPresences returns the recent announcements of other data centres' relays.
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

// onePresenceEach returns the most recent announcement of each other data centre. It prefers
// the source that was forwarded last as long as that is on time, since switching sources
// repeats changes.
func (f *Fleet) onePresenceEach(now time.Time) []msg.Presence {
	age := func(p msg.Presence) time.Duration {
		if _, before := f.toldNear.lists[p.Source]; before {
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

// nearLive lists the other live instances of this data centre.
func (f *Fleet) nearLive() []string {
	return slices.DeleteFunc(slices.Clone(f.live), func(name string) bool { return f.members[name].DataCentre != f.self.DataCentre })
}

// farRelays lists the relays of the other data centres, or the likely ones if none is known to
// be alive.
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

// knownRelays lists the relays that a data centre would choose among all known instances,
// alive or not.
func (f *Fleet) knownRelays(now time.Time, dataCentre string) []string {
	return f.largestOf(now, f.allKnown(), relaysKey, relays, func(b msg.Heartbeat) bool { return b.DataCentre == dataCentre })
}

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

// HeardPresence processes an announcement. It returns false if the announcement refers to a
// member list that is not known here and must be requested.
func (f *Fleet) HeardPresence(now time.Time, told msg.Presence) bool {
	if told.DataCentre == f.self.DataCentre {
		return true // heard directly
	}
	at := now.Add(-told.Age)
	p := f.presences[told.Source]
	switch {
	case p != nil && p.digest == told.Digest:
		p.at = latest(p.at, at)
		f.hearMembers(now, p)
		return true
	case p != nil && at.Before(p.at):
		return true // another relay has told something newer
	}
	members := told.Members
	if told.Base != "" {
		base := f.presences[told.Base]
		if base == nil {
			return false
		}
		members = base.changed(told)
	}
	if members == nil || digestOf(members) != told.Digest {
		return false // what came before was lost
	}
	next := &presence{dataCentre: told.DataCentre, digest: told.Digest, members: members, at: at}
	f.presences[told.Source] = next
	f.hearMembers(now, next)
	if p != nil {
		f.dropMissing(p, next)
	}
	f.refresh(now)
	return true
}

// hearMembers marks the members of an announcement as alive at its time.
func (f *Fleet) hearMembers(now time.Time, p *presence) {
	for _, b := range p.members {
		m := f.members[b.Name]
		if m == nil {
			m = &Member{Known: now}
			f.members[b.Name] = m
			m.Heartbeat = b
			f.count()
		}
		if p.at.After(m.Heard) {
			f.changed = f.changed || listed(m.Heartbeat) != listed(b)
			m.Heartbeat, m.Heard, m.met = b, p.at, true
		}
	}
}

// dropMissing marks members as dead that no recent announcement of their data centre lists any
// more.
func (f *Fleet) dropMissing(before, after *presence) {
	for _, b := range before.members {
		if m := f.members[b.Name]; m != nil && !after.names(b.Name) && !f.namedBesides(after, b.Name) {
			m.Heard = time.Time{}
		}
	}
}

// namedBesides reports whether another relay listed an instance recently.
func (f *Fleet) namedBesides(except *presence, name string) bool {
	for _, p := range f.presences {
		if p != except && p.dataCentre == except.dataCentre && except.at.Sub(p.at) < presenceStale && p.names(name) {
			return true
		}
	}
	return false
}

// toldOf returns the time of the last announcement for each data centre.
func (f *Fleet) toldOf() map[string]time.Time {
	if len(f.presences) == 0 {
		return nil
	}
	out := map[string]time.Time{}
	for _, p := range f.presences {
		out[p.dataCentre] = latest(out[p.dataCentre], p.at)
	}
	return out
}

// forgetPresences drops outdated announcements.
func (f *Fleet) forgetPresences(now time.Time) {
	for source, p := range f.presences {
		if now.Sub(p.at) > ForgetAfter {
			delete(f.presences, source)
		}
	}
}

// memberDigest hashes an instance's state.
func memberDigest(b msg.Heartbeat) uint64 {
	flags := []byte{'-', '-', '-', '-'}
	for k, set := range []bool{b.Ready, b.Leaving, b.Reads, b.Settled} {
		if set {
			flags[k] = '+'
		}
	}
	return xxhash.Sum64String(b.Name + "/" + b.Boot + "/" + b.CallerAddress + "/" + b.PeerAddress + "/" + string(flags))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
