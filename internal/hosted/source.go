package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
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

// source returns the current update source: watch.Store, or the name of an instance.
func (f *follower) source() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	if now.Sub(f.sourcesAt) >= sourcesInterval {
		f.sources = f.peers.sources(f.isHome())
		f.sourcesAt = now
	}
	source := f.watch.Source(now, f.sources.Choice)
	if source != f.lastSource {
		f.log.Info("source_changed", "from", sourceName(f.lastSource), "to", sourceName(source), "reads", f.sources.Reads, "relays", f.sources.IsSource)
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

// sourceName returns the name of a source in logs and metrics.
func sourceName(source string) string {
	if source == watch.Store {
		return "store"
	}
	return source
}

// sourceFailed records that a source did not respond or that its response was unusable, and how long
// the query took.
func (f *follower) sourceFailed(source, why string, took time.Duration) {
	f.freshness.queryFailed(sourceName(source), took)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.Count("source_failures_total", sourceName(source))
	f.log.Info("source_failed", "source", sourceName(source), "why", why, "took", took.Round(time.Millisecond))
	f.watch.Failed(boottime.Now(), source)
	if source == watch.Store {
		go f.peers.sendHeartbeats() // the other instances must choose another reader soon
	}
}

// readsStore reports whether the store may be read: the last read has not failed, or the backoff
// after the failure is over.
func (f *follower) readsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.watch.Skipped(boottime.Now(), watch.Store)
}

// sourceResponded records the age of the state that a source confirms and reports whether the
// state is recent enough.
func (f *follower) sourceResponded(source string, age time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch.OnResponse(boottime.Now(), source, age, f.sources.FromRelay)
}
