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
	// intervalPerInstance lengthens the interval in large fleets of one data centre, so that
	// at most 250 heartbeats a second arrive at each instance.
	intervalPerInstance = 4 * time.Millisecond
	// nearIntervalPerInstance is the same for fleets of several data centres: at most 125 a
	// second within one.
	nearIntervalPerInstance = 8 * time.Millisecond
	// missedHeartbeats is the number of intervals without a heartbeat after which an instance
	// counts as dead: one or two may be lost.
	missedHeartbeats = 3.25
	// ForgetAfter is how long a dead instance is remembered. A frozen or partitioned instance
	// returns under its name; a replaced one does not.
	ForgetAfter = 30 * time.Second
)

// Unheard reports whether a live instance does not receive this one's heartbeats, in which
// case the connection to it must be reset. Resets are rate limited.
func (f *Fleet) Unheard(now time.Time, b msg.Heartbeat) bool {
	m := f.members[b.Name]
	if b.Hears || m == nil || now.Sub(m.Known) < f.resetInterval(m.DataCentre) || now.Sub(m.reset) < f.resetInterval(m.DataCentre) {
		return false
	}
	m.reset = now
	return true
}

// Hears reports whether an instance is considered alive.
func (f *Fleet) Hears(now time.Time, name string) bool {
	m := f.members[name]
	return m != nil && f.alive(now, m)
}

// Gone records that an instance's port refused a connection at the time tried: its process has
// ended, unless a newer heartbeat arrived. It reports whether that is a change.
func (f *Fleet) Gone(now, tried time.Time, name string) bool {
	m := f.members[name]
	if m == nil || !f.alive(now, m) || m.Heard.After(tried) {
		return false
	}
	m.Heard = time.Time{}
	f.refresh(now)
	return true
}

// HeartbeatInterval is the interval of heartbeats to instances of a data centre; 0 if relays
// announce this one there.
func (f *Fleet) HeartbeatInterval(dataCentre string) time.Duration {
	switch {
	case f.large() && dataCentre != f.self.DataCentre:
		return 0
	case f.without.Has(mechanism.RareHeartbeats):
		return minInterval
	case f.far > 0:
		return max(minInterval, time.Duration(f.near)*nearIntervalPerInstance)
	}
	return max(minInterval, time.Duration(f.near)*intervalPerInstance)
}

// count recomputes near and far.
func (f *Fleet) count() {
	f.near, f.far = 1, 0
	for _, m := range f.members {
		if m.DataCentre == f.self.DataCentre {
			f.near++
		} else {
			f.far++
		}
	}
}

// silentAfter is how long an instance of a data centre may be silent before it counts as dead.
func (f *Fleet) silentAfter(dataCentre string) time.Duration {
	if f.HeartbeatInterval(dataCentre) == 0 {
		return presenceTimeout
	}
	return time.Duration(missedHeartbeats * float64(f.HeartbeatInterval(dataCentre)))
}

// resetInterval is the minimum interval between resets of a connection: heartbeats need time
// to arrive on a new one.
func (f *Fleet) resetInterval(dataCentre string) time.Duration { return 2 * f.silentAfter(dataCentre) }

// Tick updates liveness and returns the instances that fell silent.
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
		if now.Sub(m.Heard) > ForgetAfter && now.Sub(m.Known) > ForgetAfter {
			delete(f.members, name)
			f.count()
		}
	}
	f.forgetPresences(now)
	if now.Sub(f.sizeHintAt) > sizeHintTTL {
		f.sizeHint = 0
	}
	return lost
}

// refresh recomputes the live instances.
func (f *Fleet) refresh(now time.Time) {
	live := make([]string, 0, len(f.live)+1)
	told := f.toldOf()
	for name, m := range f.members {
		if f.aliveAt(now, m, told) {
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
		list = append(list, listed(f.members[name].Heartbeat))
	}
	f.view.Update(now, list)
}

func (f *Fleet) alive(now time.Time, m *Member) bool {
	if m.DataCentre == f.self.DataCentre {
		return f.aliveAt(now, m, nil)
	}
	return f.aliveAt(now, m, f.toldOf())
}

// aliveAt reports whether an instance is alive; told holds the time of the last announcement
// for each other data centre.
func (f *Fleet) aliveAt(now time.Time, m *Member, told map[string]time.Time) bool {
	if m.Heard.IsZero() || now.Sub(m.Heard) > f.silentAfter(m.DataCentre) {
		return false
	}
	return m.DataCentre == f.self.DataCentre || told[m.DataCentre].Sub(m.Heard) < presenceStale
}
