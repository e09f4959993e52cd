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
	// presenceInterval is how often a relay tells who lives, if nothing changes.
	presenceInterval = time.Second
	// presenceLeast is the least time between two such messages: when hundreds start
	// at once, each changes what is told.
	presenceLeast = 200 * time.Millisecond
	// presenceWhole is how often a relay names all members, also if it did before.
	presenceWhole = 15 * time.Second
	// presenceStale is by how much what a relay tells must be newer than what an
	// instance was last told of by any other to count it as dead: a relay that has
	// died itself is not named by those that replace it.
	presenceStale = 2 * presenceInterval
	// presenceSilent is how long after it was last told of an instance of another
	// data centre counts as live: two relays tell of each, over two hops, and a relay
	// that dies is replaced within two seconds.
	presenceSilent = 5 * time.Second
)

// presence is what a relay of another data centre last told.
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

// told is what this instance, as a relay, last told others of who lives, by source, and
// when; whole is when it last named all members.
type told struct {
	at    time.Time
	whole time.Time
	lists map[string]msg.Presence
}

// due reports whether it is time to tell again: after a while, or sooner if a digest has
// changed.
func (t *told) due(now time.Time, list []msg.Presence) bool {
	since := now.Sub(t.at)
	if since >= presenceInterval {
		return true
	}
	return since >= presenceLeast && slices.ContainsFunc(list, func(p msg.Presence) bool { return t.lists[p.Source].Digest != p.Digest })
}

// tell notes that a list is told now, and returns it with the members only that have changed
// since it was last told: in a rolling restart of hundreds all members would be megabytes a
// second. All are named each time that every has passed, unless that is 0: one who does not
// know this instance can't ask it for them.
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

// base returns what was last told in the name of a presence's relay, or of another one of its
// data centre: a relay that takes another's place knows nearly the same.
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

// changes returns what a presence says that an earlier one of the same relay did not.
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

// changed returns all members after some changes.
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

// digestOf tells lists of members apart, whatever their order.
func digestOf(members []msg.Heartbeat) (sum uint64) {
	for _, b := range members {
		sum += memberDigest(b)
	}
	return sum
}

// Announcement is what a relay tells some instances.
type Announcement struct {
	To   []string
	List []msg.Presence
}

// Announcements returns what this instance has to tell as a relay now: to the relays of
// other data centres who lives in its own, and to the instances beside it who lives
// elsewhere. It returns nothing while neither is due, or if this instance is no relay.
func (f *Fleet) Announcements(now time.Time) []Announcement {
	if !f.IsRelay(now) {
		return nil
	}
	var out []Announcement
	own := []msg.Presence{f.ownPresence()}
	if f.toldFar.due(now, own) {
		out = append(out, Announcement{To: f.farRelays(now), List: f.toldFar.tell(now, own, presenceWhole)})
	}
	others := f.onePresenceEach(now)
	if f.toldNear.due(now, others) {
		out = append(out, Announcement{To: f.nearLive(), List: f.toldNear.tell(now, others, 0)})
	}
	return out
}

// IsRelay reports whether this instance speaks for its data centre to others.
func (f *Fleet) IsRelay(now time.Time) bool {
	return f.large() && slices.Contains(f.relays(now, f.self.DataCentre), f.self.Name)
}

// Presences returns what is known here of some sources, members included.
func (f *Fleet) Presences(now time.Time, sources []string) []msg.Presence {
	var out []msg.Presence
	for _, p := range append(f.otherPresences(now), f.ownPresence()) {
		if slices.Contains(sources, p.Source) {
			out = append(out, p)
		}
	}
	return out
}

// ownPresence tells who lives in this data centre.
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

// otherPresences returns what the relays of other data centres have told lately.
func (f *Fleet) otherPresences(now time.Time) []msg.Presence {
	var out []msg.Presence
	for source, p := range f.presences {
		if age := now.Sub(p.at); age < presenceSilent {
			out = append(out, msg.Presence{Source: source, DataCentre: p.dataCentre, Digest: p.digest, Age: age, Members: p.members})
		}
	}
	slices.SortFunc(out, func(a, b msg.Presence) int { return cmp.Compare(a.Source, b.Source) })
	return out
}

// onePresenceEach returns the presence of one relay of each other data centre: the one that
// told last. One that was passed on before is preferred while it tells as often as it should,
// as each change between relays names members anew.
func (f *Fleet) onePresenceEach(now time.Time) []msg.Presence {
	age := func(p msg.Presence) time.Duration {
		if _, before := f.toldNear.lists[p.Source]; before {
			return p.Age - presenceInterval - presenceLeast
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

// nearLive lists the other instances of this data centre that live.
func (f *Fleet) nearLive() []string {
	return slices.DeleteFunc(slices.Clone(f.live), func(name string) bool { return f.members[name].DataCentre != f.self.DataCentre })
}

// farRelays lists the relays of other data centres, as far as they can be told from here:
// where nobody is heard yet, by whom is known.
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

// knownRelays lists whom the relays of a data centre should be among all that are known
// there, live or not.
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

// HeardPresence takes a relay's word of who lives in another data centre. It reports false
// if it refers to members that are not known here: the sender has to be asked for them.
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

// hearMembers counts the members of a presence as heard at its moment.
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

// dropMissing counts those as dead that a relay names no more and no other one of their
// data centre does.
func (f *Fleet) dropMissing(before, after *presence) {
	for _, b := range before.members {
		if m := f.members[b.Name]; m != nil && !after.names(b.Name) && !f.namedBesides(after, b.Name) {
			m.Heard = time.Time{}
		}
	}
}

// namedBesides reports whether another relay than one has named an instance lately.
func (f *Fleet) namedBesides(except *presence, name string) bool {
	for _, p := range f.presences {
		if p != except && p.dataCentre == except.dataCentre && except.at.Sub(p.at) < presenceStale && p.names(name) {
			return true
		}
	}
	return false
}

// toldOf returns, by data centre, the latest moment at which a relay told who lives there.
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

// forgetPresences drops what was told long ago.
func (f *Fleet) forgetPresences(now time.Time) {
	for source, p := range f.presences {
		if now.Sub(p.at) > ForgetAfter {
			delete(f.presences, source)
		}
	}
}

// memberDigest tells states of an instance apart.
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
