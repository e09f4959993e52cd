package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/watch"
)

// setStoreUp records whether the store responds and reports whether that has changed.
func (f *follower) setStoreUp(up bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.storeUp != up
	f.storeUp = up
	return changed
}

// setTiming replaces the intervals and time limits.
func (f *follower) setTiming(t watch.Timing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timing = t
	f.queries.SetTiming(t)
}

// currentTiming returns the intervals and time limits in force.
func (f *follower) currentTiming() watch.Timing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.timing
}

// source returns the preferred update source: watch.Store, or the name of an instance.
func (f *follower) source() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	return f.preferred(now, f.choice(now))
}

// choice returns the sources that this instance may use. The caller holds the lock.
func (f *follower) choice(now time.Time) watch.Choice {
	if now.Sub(f.sourcesAt) >= sourcesInterval {
		f.sources = f.peers.sources(f.isHome())
		f.sourcesAt = now
	}
	return f.sources
}

// preferred returns the preferred source and logs a change. The caller holds the lock.
func (f *follower) preferred(now time.Time, c watch.Choice) string {
	source := f.queries.Preferred(now, c)
	if source != f.lastSource {
		f.log.Info("source_changed", "from", sourceName(f.lastSource), "to", sourceName(source), "reads", c.Reads, "relays", c.IsSource)
		f.lastSource = source
	}
	return source
}

// isSource reports whether other instances use this one as their update source.
func (f *follower) isSource() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.IsSource
}

// dueQueries returns the queries that are to be sent now, and the time until the next check.
func (f *follower) dueQueries() (due []watch.Query, wait time.Duration) {
	var state watch.State
	f.server.decide(func(_ time.Time, g *forward.Gate) {
		state.Confirmed = confirmedAt(g)
	})
	state.IsHome = f.isHome()
	f.mu.Lock()
	now := boottime.Now()
	state.Choice = f.choice(now)
	due, unresponsive := f.queries.Due(now, state)
	f.preferred(now, state.Choice)
	wait = f.queries.NextAt(now, state).Sub(now)
	f.mu.Unlock()
	for _, q := range due {
		if q.Further {
			f.freshness.furtherQueried(sourceName(q.Source), now.Sub(state.Confirmed))
		}
	}
	for _, u := range unresponsive {
		f.sourceFailed(u.Source, "no answer", u.After)
	}
	return due, wait
}

// confirmedAt returns the time as of which both the configuration and the list of upstreams were confirmed to be the
// newest. Where services are divided into groups, only sources know the whole list; for the others the configuration
// counts alone, as no instance confirms a list to an instance that lacks one of its groups.
func confirmedAt(g *forward.Gate) time.Time {
	if r := g.Roster(); r.Received() && r.Complete() {
		return older(g.Confirmed(), r.Confirmed())
	}
	return g.Confirmed()
}

// querySent returns when a query was sent to a source, and whether its response is late. ok is unset
// if there is no such query, or its response has been processed.
func (f *follower) querySent(source string, number int64) (sentAt time.Time, late, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queries.Sent(source, number)
}

// queryAnswered records the response to a query. asOf is the time as of which the source's state was
// confirmed, zero if it has none.
func (f *follower) queryAnswered(number int64, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries.OnResponse(boottime.Now(), number, asOf)
}

// queryFailed records that a query failed or that its response was unusable.
func (f *follower) queryFailed(source string, number int64, why string) {
	f.mu.Lock()
	took := f.queries.OnFailure(boottime.Now(), number)
	f.mu.Unlock()
	f.sourceFailed(source, why, took)
	if source == watch.Store {
		go f.peers.sendHeartbeats() // the other instances must choose another reader soon
	}
}

// restartQueries makes the next query due immediately.
func (f *follower) restartQueries() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries.Restart()
}

// sourceFailed logs and counts that a source did not respond or that its response was unusable, after
// some time.
func (f *follower) sourceFailed(source, why string, took time.Duration) {
	f.freshness.queryFailed(sourceName(source), took)
	f.metrics.Count("source_failures_total", sourceName(source))
	f.log.Info("source_failed", "source", sourceName(source), "why", why, "took", took.Round(time.Millisecond))
}

// reachesStore reports whether the last query of the store succeeded, or there was none.
func (f *follower) reachesStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queries.ReachesStore()
}

// sourceName returns the name of a source in logs and metrics.
func sourceName(source string) string {
	if source == watch.Store {
		return "store"
	}
	return source
}
