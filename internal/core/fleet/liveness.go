package fleet

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// minInterval is the minimum interval between heartbeats to the same instance.
	minInterval = 400 * time.Millisecond
	// intervalPerInstance, multiplied by the number of instances, is the heartbeat interval in a
	// large fleet of one data centre. It limits the heartbeats that arrive at an instance to 250
	// a second.
	intervalPerInstance = 4 * time.Millisecond
	// nearIntervalPerInstance is used instead in fleets of several data centres, with the number
	// of instances in this data centre. It limits the heartbeats from there to 125 a second.
	nearIntervalPerInstance = 8 * time.Millisecond
	// missedHeartbeats is the number of intervals without a heartbeat after which an instance
	// counts as dead. One or two heartbeats may be lost.
	missedHeartbeats = 3.25
	// ForgetAfter is how long a dead instance stays in the list of known instances. A frozen or
	// partitioned instance returns under its name; a replaced one does not.
	ForgetAfter = 30 * time.Second
)

// MustResetConnection processes a received heartbeat and reports whether its sender does not
// receive this instance's heartbeats, in which case the connection to it must be reset. Resets are
// rate limited.
func (f *Fleet) MustResetConnection(now time.Time, b msg.Heartbeat) bool {
	m := f.members[b.Name]
	if b.ReceivesYours || m == nil || now.Sub(m.LearnedAt) < f.resetInterval(m.DataCentre) || now.Sub(m.resetAt) < f.resetInterval(m.DataCentre) {
		return false
	}
	m.resetAt = now
	return true
}

// IsAlive reports whether another instance counts as alive.
func (f *Fleet) IsAlive(now time.Time, name string) bool {
	m := f.members[name]
	return m != nil && f.alive(now, m)
}

// hearsAll reports whether all other instances that this one knows count as alive. It forgets dead ones after ForgetAfter.
func (f *Fleet) hearsAll(now time.Time) bool {
	for _, m := range f.members {
		if !f.alive(now, m) {
			return false
		}
	}
	return true
}

// OnConnectionRefused records that an instance's port refused the connection attempted at triedAt:
// its process has ended, unless a newer heartbeat has arrived. OnConnectionRefused reports whether
// the instance counted as alive until now.
func (f *Fleet) OnConnectionRefused(now, triedAt time.Time, name string) bool {
	m := f.members[name]
	if m == nil || !f.alive(now, m) || m.LastSeen.After(triedAt) {
		return false
	}
	m.LastSeen = time.Time{}
	f.refresh(now)
	return true
}

// HeartbeatInterval returns the interval of heartbeats to instances of a data centre. It is 0 if
// this instance sends none there because relays announce it.
func (f *Fleet) HeartbeatInterval(dataCentre string) time.Duration {
	switch {
	case f.large() && dataCentre != f.self.DataCentre:
		return 0
	case f.without.Has(mechanism.RareHeartbeats):
		return minInterval
	case f.farCount > 0:
		return max(minInterval, time.Duration(f.nearCount)*nearIntervalPerInstance)
	}
	return max(minInterval, time.Duration(f.nearCount)*intervalPerInstance)
}

// countMembers recomputes nearCount and farCount.
func (f *Fleet) countMembers() {
	f.nearCount, f.farCount = 1, 0
	for _, m := range f.members {
		if m.DataCentre == f.self.DataCentre {
			f.nearCount++
		} else {
			f.farCount++
		}
	}
}

// deadAfter returns how long an instance of a data centre may be silent before it counts as dead.
func (f *Fleet) deadAfter(dataCentre string) time.Duration {
	if f.HeartbeatInterval(dataCentre) == 0 {
		return presenceTimeout
	}
	return time.Duration(missedHeartbeats * float64(f.HeartbeatInterval(dataCentre)))
}

// resetInterval returns the minimum interval between resets of a connection. Heartbeats need time
// to arrive on a new connection.
func (f *Fleet) resetInterval(dataCentre string) time.Duration { return 2 * f.deadAfter(dataCentre) }

// Tick updates the liveness of all instances, drops outdated state and returns the instances that
// no longer count as alive.
func (f *Fleet) Tick(now time.Time) []string {
	before := f.live
	f.refresh(now)
	var lost []string
	for _, name := range before {
		if !slices.Contains(f.live, name) {
			lost = append(lost, name)
		}
	}
	for name, m := range f.members {
		if now.Sub(m.LastSeen) > ForgetAfter && now.Sub(m.LearnedAt) > ForgetAfter {
			delete(f.members, name)
			f.countMembers()
		}
	}
	f.prunePresences(now)
	if now.Sub(f.sizeHintAt) > sizeHintTTL {
		f.sizeHint = 0
	}
	return lost
}

// refresh recomputes the live instances and updates the membership view if they changed.
func (f *Fleet) refresh(now time.Time) {
	live := make([]string, 0, len(f.live)+1)
	announcedAt := f.lastAnnounced()
	for name, m := range f.members {
		if f.aliveAt(now, m, announcedAt) {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	if slices.Equal(live, f.live) && !f.changed {
		return
	}
	f.live, f.changed = live, false
	list := make([]membership.Member, 0, len(live))
	for _, name := range live {
		list = append(list, memberOf(f.members[name].Heartbeat))
	}
	f.view.Update(now, list)
}

// alive reports whether an instance counts as alive.
func (f *Fleet) alive(now time.Time, m *Member) bool {
	if m.DataCentre == f.self.DataCentre {
		return f.aliveAt(now, m, nil)
	}
	return f.aliveAt(now, m, f.lastAnnounced())
}

// aliveAt reports whether an instance counts as alive, given the time of the last announcement of
// each other data centre.
func (f *Fleet) aliveAt(now time.Time, m *Member, announcedAt map[string]time.Time) bool {
	if m.LastSeen.IsZero() || now.Sub(m.LastSeen) > f.deadAfter(m.DataCentre) {
		return false
	}
	return m.DataCentre == f.self.DataCentre || announcedAt[m.DataCentre].Sub(m.LastSeen) < presenceStale
}
