package hosted

import (
	"context"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// A query for changes of the list that the store holds says nothing until it ends: nothing may have changed, or the
// changes may not arrive. Each read of the configuration therefore checks the list. It states the newest version of
// the store, and a list of that version is the newest one. Otherwise the held query must deliver within a step, or it
// is ended and the changes are queried immediately.

// checkList confirms the list if it has the version that the store had at a read, which was sent at a time, and ends
// the held query for its changes if that does not bring them within a step.
func (f *follower) checkList(sentAt time.Time, version int64) {
	if f.confirmList(sentAt, version) {
		return
	}
	time.AfterFunc(f.currentTiming().Step, func() {
		if !f.confirmList(sentAt, version) {
			f.endFeed()
		}
	})
}

// confirmList confirms the whole list as of a time at which the store had a version, if the list has that version or a
// later one, and reports whether it has.
func (f *follower) confirmList(asOf time.Time, version int64) (ok bool) {
	f.server.decide(func(_ time.Time, g *forward.Gate) {
		if r := g.Roster(); r.Complete() && r.NewestVersion() >= version {
			r.Confirm(asOf)
			ok = true
		}
	})
	return ok
}

// beginFeed returns the context and the wait of a query for changes of the list, and a function that must be called at
// its end.
func (f *follower) beginFeed(ctx context.Context) (limited context.Context, wait time.Duration, end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if wait = f.timing.ListWait; f.interrupted {
		wait, f.interrupted = 0, false
	}
	limited, cancel := context.WithTimeout(ctx, wait+f.timing.StoreTimeout)
	if wait > 0 {
		f.interruptFeed = cancel
	}
	return limited, wait, func() {
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.interruptFeed = nil
	}
}

// endFeed ends the held query for changes of the list.
func (f *follower) endFeed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interruptFeed == nil {
		return
	}
	f.metrics.Count("list_feeds_interrupted_total", "behind")
	f.interrupted = true
	f.interruptFeed()
}

// feedInterrupted reports whether the last query for changes was ended by endFeed.
func (f *follower) feedInterrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.interrupted
}
