package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/watch"
)

// setUp records whether the store answers and returns whether that changed.
func (f *follower) setUp(up bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.up != up
	f.up = up
	return changed
}

// source returns the current update source: the store, or an instance by name.
func (f *follower) source() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	if now.Sub(f.sourcesAt) >= sourcesInterval {
		f.sources = f.peers.sources(f.isHome())
		f.sourcesAt = now
	}
	source := f.watch.Source(now, f.sources.Choice)
	if source != f.last {
		f.log.Info("source_changed", "from", sourceName(f.last), "to", sourceName(source), "reads", f.sources.Reads, "relays", f.sources.Relays)
		f.last = source
	}
	return source
}

// relays reports whether other instances use this one as a source.
func (f *follower) relays() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.Relays
}

func sourceName(source string) string {
	if source == watch.Store {
		return "store"
	}
	return source
}

func (f *follower) sourceFailed(source, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.Count("source_failures_total", sourceName(source))
	f.log.Info("source_failed", "source", sourceName(source), "why", why)
	f.watch.Failed(boottime.Now(), source)
	if source == watch.Store {
		go f.peers.heartbeat() // the others must choose another reader soon
	}
}

// reads reports whether the store answered last time or may be asked again.
func (f *follower) reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.watch.Bad(boottime.Now(), watch.Store)
}

// sourceAnswered records the age of what a source confirms and reports whether it is fresh
// enough.
func (f *follower) sourceAnswered(source string, age time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch.Answered(boottime.Now(), source, age, f.sources.Relayed)
}
