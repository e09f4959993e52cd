package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

const (
	// strikeTTL is how long a crash counts against a fingerprint.
	strikeTTL = 10 * time.Minute
	// strikeSyncInterval is the interval at which an instance requests the strikes of one other
	// instance, in turn. initialStrikeSyncs is the number of instances that it queries at its
	// start.
	strikeSyncInterval = 5 * time.Second
	initialStrikeSyncs = 3
	// maxStrikes is the maximum number of strikes in a reply.
	maxStrikes = 512
)

// strikeSync is the state of fetching strikes that this instance has missed from others. Without
// the missed strikes, each new home of a pool would allow a request two more crashes. nextIndex
// selects the next instance to query.
type strikeSync struct {
	lastSync  time.Time
	nextIndex int
}

// recordStrike records a crash against a fingerprint and announces it to every instance.
func (i *Instance) recordStrike(now time.Time, fingerprint uint64, c suspect.Crash) {
	if fingerprint == 0 || !i.suspects.Strike(now, suspect.Strike{Fingerprint: fingerprint, Crash: c, At: now}) {
		return
	}
	i.count("strikes_total", c.Upstream)
	i.broadcast(msg.Strike{Fingerprint: fingerprint, Upstream: c.Upstream, Boot: c.Boot})
}

func (i *Instance) onStrike(now time.Time, m msg.Strike) {
	i.suspects.Strike(now, suspect.Strike{
		Fingerprint: m.Fingerprint, Crash: suspect.Crash{Upstream: m.Upstream, Boot: m.Boot}, At: now.Add(-m.Age),
	})
}

func (i *Instance) tickStrikes(now time.Time) {
	if !i.strikes.lastSync.IsZero() && now.Sub(i.strikes.lastSync) < strikeSyncInterval {
		return
	}
	others := i.otherInstances()
	if len(others) == 0 {
		return
	}
	n := 1
	if i.strikes.lastSync.IsZero() {
		n = min(initialStrikeSyncs, len(others))
	}
	i.strikes.lastSync = now
	for range n {
		i.send(others[i.strikes.nextIndex%len(others)], msg.StrikesRequest{})
		i.strikes.nextIndex++
	}
}

// otherInstances lists the other live instances in the order of their names, rotated to start after
// this one, so that not all instances query the same one.
func (i *Instance) otherInstances() []string {
	var before, after []string
	for _, name := range i.view.LiveInstances() {
		switch {
		case name < i.self:
			before = append(before, name)
		case name > i.self:
			after = append(after, name)
		}
	}
	return append(after, before...)
}

func (i *Instance) onStrikesRequest(now time.Time, from string) {
	var m msg.Strikes
	for _, s := range i.suspects.Recent(now, maxStrikes) {
		m.List = append(m.List, msg.Strike{
			Fingerprint: s.Fingerprint, Upstream: s.Crash.Upstream, Boot: s.Crash.Boot, Age: now.Sub(s.At),
		})
	}
	if len(m.List) > 0 {
		i.send(from, m)
	}
}

func (i *Instance) onStrikes(now time.Time, m msg.Strikes) {
	for _, s := range m.List {
		i.onStrike(now, s)
	}
}
