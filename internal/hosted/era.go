package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/revision"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// The store can come back from an older copy, in a new era (package revision). What the copy lacks was acknowledged
// and stays in force here until it is written again: the configuration by its own version (adopt), the list by
// what the roster knows, and the cordons for roster.EraSettleTime.

// noteEra records that a revision of the store is known.
func (f *follower) noteEra(version int64) {
	era := revision.Era(version)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case era <= f.eraSeen:
		return
	case f.eraSeen > 0:
		f.eraSeenAt = boottime.Now()
	default:
		f.eraLogged = era // this instance has started: nothing has changed for it
	}
	f.eraSeen = era
}

// era returns the newest era of the store that is known, 0 before the first response.
func (f *follower) era() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eraSeen
}

// logEra logs and counts a change of the era once the list has entered it.
func (f *follower) logEra() {
	f.mu.Lock()
	era, before := f.eraSeen, f.eraLogged
	f.mu.Unlock()
	if era == before {
		return
	}
	var list roster.EraChange
	var version, config int64
	f.server.decide(func(_ time.Time, g *forward.Gate) {
		list, version = g.Roster().LastEraChange(), g.Roster().NewestVersion()
		if g.Table() != nil {
			config = g.Table().Version
		}
	})
	if revision.Era(version) < era {
		return
	}
	f.mu.Lock()
	f.eraLogged = era
	f.mu.Unlock()
	f.metrics.Count("store_era_changes_total", "seen")
	f.log.Warn("store_era_changed", "era", era, "before", before, "version", revision.Version(version), "config", config,
		"upstreams_kept", list.Kept, "entries_set_aside", list.Outdated, "upstreams_leaving", list.Leaving)
}

// eraSettles reports whether what operators wrote may be out of date in the store, which has come back from an older
// copy a short time ago.
func (f *follower) eraSettles() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eraSeen > 1 && boottime.Now().Sub(f.eraSeenAt) < roster.EraSettleTime
}

// awaitsOthers reports whether a response of the store must not be used yet, because it would be the first
// configuration of this instance and the store has come back from an older copy before: other instances may have a
// newer one, in which keys are revoked. They have one read interval to respond. The copy may lack their rows, too: while no
// other instance is known, they have the time in which rows are written again.
func (f *follower) awaitsOthers(read ConfigResponse) bool {
	if revision.Era(read.Version) == 1 {
		return false
	}
	first, others := false, false
	f.server.decide(func(_ time.Time, g *forward.Gate) { first = g.Table() == nil })
	f.peers.with(func(_ time.Time, v *fleet.Fleet) { others = len(v.Live()) > 0 })
	if !first {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	if f.storeReadAt.IsZero() {
		f.storeReadAt = now
		f.log.Info("first_configuration_awaits_others", "era", revision.Era(read.Version), "others_known", others)
	}
	if others && f.othersKnownAt.IsZero() {
		f.othersKnownAt = now
	}
	switch {
	case f.heardOthers:
		return false
	case others:
		return now.Sub(f.othersKnownAt) < f.timing.ReadInterval
	}
	return now.Sub(f.storeReadAt) < roster.EraSettleTime
}

// noteHeard records that another instance which has a configuration has responded.
func (f *follower) noteHeard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heardOthers = true
}
