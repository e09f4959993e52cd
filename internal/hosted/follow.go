package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/revision"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/watch"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

const (
	// minListInterval is the minimum interval between polls of the list.
	minListInterval = 100 * time.Millisecond
	// retryBackoff is the delay after a failed read of the list.
	retryBackoff = 150 * time.Millisecond
	// sourcesInterval is the interval at which the candidate sources are recomputed. A source
	// that does not respond is skipped immediately, before the next computation.
	sourcesInterval = 200 * time.Millisecond
	// listPerEntry extends minListInterval for each entry of the list, up to Timing.ReadInterval,
	// because every entry is renewed, and thereby changes, about once a second.
	listPerEntry = 200 * time.Microsecond
	// maxChangeLogLines is the maximum number of log lines about upstreams that joined, and of
	// those about upstreams that left, per response.
	maxChangeLogLines = 16
	// sourceCheckInterval is the interval at which a task that reads the store, or one that polls
	// instances, checks whether the current update source has become one that it handles.
	sourceCheckInterval = 100 * time.Millisecond
)

// follower keeps the gate's configuration, cordons and list of upstreams current.
type follower struct {
	store   Store
	server  *server
	metrics *metrics.Metrics
	log     hclog.Logger
	// onLeaving is called when upstreams begin to leave.
	onLeaving func()
	// isHome reports whether this instance is home of a pool.
	isHome func() bool
	// onAdopted is called when a configuration or cordons were put in force; cordoned is set for cordons.
	onAdopted func(cordoned bool)
	// regions maps each data centre to its region.
	regions map[string]string
	peers   *peers
	relay   *relay
	// listWanted receives a value if the list must be read although the store is not the
	// preferred source.
	listWanted chan struct{}
	// divideServices is set if large services are divided into groups.
	divideServices bool
	freshness      *freshness

	// mu guards the fields up to eraSeenAt. queries decides on the queries, as timing says.
	mu      sync.Mutex
	timing  watch.Timing
	queries *watch.Follower
	// storeUp is set while the store responds.
	storeUp bool
	// sources are the candidates for updates as of sourcesAt.
	sources   watch.Choice
	sourcesAt time.Time
	// lastSource is the preferred source as of the last check.
	lastSource string

	// interruptFeed ends the query for changes of the list that the store holds; nil if there is none.
	// interrupted is set if it was called: the next query must not be held.
	interruptFeed context.CancelFunc
	interrupted   bool
	// heardOthers is set once another instance that has a configuration has responded; storeReadAt is the time of
	// the first response of the store, othersKnownAt of the first one at which another instance was known.
	heardOthers                bool
	storeReadAt, othersKnownAt time.Time
	// eraSeen is the newest era of the store that is known, 0 before the first response, and eraSeenAt when it
	// became known; zero for the first one that this instance has seen. eraLogged is the last one logged.
	eraSeen, eraLogged int64
	eraSeenAt          time.Time

	// configVersion and listVersion are the store's versions in the latest responses with the
	// configuration and with the list. If listVersion is 0, the full list is read next.
	configVersion int64
	listVersion   int64
	// lastCordonErrors is the text last logged about cordons that cannot be decoded.
	lastCordonErrors string
}

// applyConfig applies a response of the store; sentAt is the time at which the read was sent. It
// ignores a response older than the known configuration or cordons, and then returns false. The row is
// read instead of a feed of changes: a feed can stall, and its silence must not confirm that keys are
// still valid.
func (f *follower) applyConfig(sentAt time.Time, read ConfigResponse) bool {
	f.noteEra(read.Version)
	var cordonsVersion int64
	f.server.decide(func(_ time.Time, g *forward.Gate) { cordonsVersion = g.Cordons().Version })
	if read.Version < max(f.configVersion, cordonsVersion) {
		f.metrics.Count("stale_answers_total", "configuration")
		known := max(f.configVersion, cordonsVersion)
		f.log.Warn("configuration_answer_stale", "version", revision.Version(read.Version), "era", revision.Era(read.Version), "known", revision.Version(known), "known_era", revision.Era(known))
		return false
	}
	if f.awaitsOthers(read) {
		return false
	}
	f.configVersion = read.Version
	f.checkList(sentAt, read.Version)
	f.adopt(sentAt, sentAt, update{config: read.Config, cordons: f.changedCordons(read)}, watch.Store)
	return true
}

// update is a set of changes from a source; nil fields are unchanged.
type update struct {
	config *route.Config
	// packed is config in the form sent between instances; nil if config was read from the
	// store.
	packed  msg.PackedConfig
	cordons *cordon.Set
}

// adopt applies an update and confirms the current state as of the given time. sentAt is the time at
// which the query was sent. Configuration and cordons change in one step, so that no request is
// admitted under one without the other.
func (f *follower) adopt(sentAt, asOf time.Time, u update, from string) {
	source := sourceName(from)
	adopted, cordoned := false, false
	c := u.config
	var version int64
	var before, cordons cordon.Set
	var unconfirmed, took time.Duration
	confirmed := false
	f.server.decide(func(now time.Time, g *forward.Gate) {
		took = now.Sub(sentAt)
		if !g.Confirmed().IsZero() {
			unconfirmed = now.Sub(g.Confirmed())
		}
		before = g.Cordons()
		if u.cordons != nil {
			cordoned = g.SetCordons(now, *u.cordons)
		}
		cordons = g.Cordons()
		if c != nil {
			if adopted = g.Adopt(route.NewTable(*c)); adopted {
				f.relay.config = &sharedConfig{config: c, packed: u.packed}
			}
		}
		if g.Table() == nil || c == nil && source == sourceName(watch.Store) || c != nil && c.Version < g.Table().Version {
			return // a store that has come back from an older copy does not hold the configuration in force yet
		}
		confirmed = g.Confirm(asOf)
		version = g.Table().Version
	})
	if cordoned {
		f.logCordons(before, cordons, asOf, source)
	}
	if adopted {
		f.metrics.Count("configurations_total", "adopted")
		f.log.Info("configuration_adopted", "version", version, "source", source, "routes", len(c.Routes),
			"services", len(c.Services), "organisations", len(c.Organisations),
			"unconfirmed_for", unconfirmed.Round(time.Millisecond), "query_took", took.Round(time.Millisecond))
		f.freshness.adopted(version, source, unconfirmed, took)
	}
	if adopted || cordoned {
		f.onAdopted(cordoned)
	}
	if confirmed {
		f.freshness.confirmed(source, unconfirmed)
		f.relay.onConfirmed(asOf)
	}
}

// followList keeps the list of upstreams current until the context ends. It reads the list while the
// store is the preferred source and responds, or once if that is requested.
func (f *follower) followList(ctx context.Context) error {
	f.peers.awaitJoined(ctx)
	for ctx.Err() == nil {
		if f.source() == watch.Store && f.reachesStore() {
			f.readListStep(ctx, f.listVersion == 0 || !f.listIsComplete())
			continue
		}
		check := time.NewTimer(sourceCheckInterval)
		select {
		case <-ctx.Done():
		case <-check.C:
		case <-f.listWanted:
			f.readListStep(ctx, true)
		}
		check.Stop()
	}
	return ctx.Err()
}

// readListStep reads the full list or its changes, and waits until the next read may begin.
func (f *follower) readListStep(ctx context.Context, full bool) {
	began := time.Now()
	err := f.readList(ctx, full)
	switch {
	case err == nil:
		sleep(ctx, f.listInterval()-time.Since(began))
	case full:
		f.listVersion = 0
		f.storeFailed(ctx, "list", err)
		sleep(ctx, retryBackoff)
	case f.feedInterrupted():
		// the changes are queried again immediately, with a query that the store does not hold
	default:
		f.listVersion = 0
		f.metrics.Count("store_failures_total", "list")
	}
}

// wantList requests that the list is read although the store is not the preferred source.
func (f *follower) wantList() {
	select {
	case f.listWanted <- struct{}{}:
	default: // a request is already pending
	}
}

// listIsComplete reports whether every upstream is known. An instance that has polled other
// instances may know only the upstreams that it uses.
func (f *follower) listIsComplete() (complete bool) {
	f.server.decide(func(_ time.Time, g *forward.Gate) { complete = g.Roster().Complete() })
	return complete
}

// listInterval returns the minimum interval between polls of the list.
func (f *follower) listInterval() (d time.Duration) {
	f.server.decide(func(_ time.Time, g *forward.Gate) {
		d = minListInterval + time.Duration(g.Roster().Len())*listPerEntry
	})
	return min(d, f.currentTiming().ReadInterval)
}

// readList reads the full list, or its changes. A failed read of changes does not mean that the
// store is down; the full list is read next.
func (f *follower) readList(ctx context.Context, full bool) error {
	sentAt := boottime.Now()
	var read ListResponse
	var err error
	if full {
		read, err = f.store.List(ctx)
	} else {
		limited, wait, end := f.beginFeed(ctx)
		read, err = f.store.ListSince(limited, f.listVersion, wait)
		end()
	}
	if err != nil {
		return err
	}
	f.applyList(sentAt, read, full)
	return nil
}

// applyList applies a response of the store; sentAt is the time at which the read was sent, and
// full is set if the response holds the full list.
func (f *follower) applyList(sentAt time.Time, read ListResponse, full bool) {
	for _, err := range read.Unreadable {
		f.metrics.Count("list_entries_total", "unreadable")
		f.log.Warn("upstream_entry_unreadable", "version", read.Version, "error", err)
	}
	divided, refused := false, false
	var known int64
	f.changeRoster("list", func(now time.Time, g *forward.Gate) (left []*roster.Upstream) {
		r := g.Roster()
		r.StoreUp(now)
		known = r.NewestVersion()
		switch {
		case read.Version < known:
			refused = true
			return nil // it confirms nothing
		case full:
			left, _ = r.Replace(now, read.Changes, read.Version)
		case r.Complete():
			left = r.Update(now, read.Changes, read.Version)
		default:
			return nil // groups were dropped while the request was in progress
		}
		r.Confirm(sentAt) // after the changes: what is new was not listed at the confirmation before
		if divided = f.divideServices && r.Divide(now); divided {
			layout, version := r.Layout()
			f.log.Info("services_divided", "layout", layout, "version", version, "listed", r.Len())
		}
		return left
	})
	if refused {
		f.metrics.Count("stale_answers_total", "list")
		f.log.Warn("list_answer_stale", "version", revision.Version(read.Version), "era", revision.Era(read.Version), "known", revision.Version(known), "known_era", revision.Era(known))
	}
	f.noteEra(read.Version)
	if divided {
		f.server.announceRunning() // the homes of the new pools do not know the running generations
	}
	if f.setStoreUp(true) {
		f.log.Info("dependency_regained", "dependency", "store", "version", read.Version)
	}
	f.listVersion = max(f.listVersion, read.Version)
	if refused && full {
		f.listVersion = 0
	}
	f.relay.tick()
}

// changeRoster applies changes of the list, logs them and calls onLeaving if upstreams began to
// leave or were removed.
func (f *follower) changeRoster(source string, do func(now time.Time, g *forward.Gate) []*roster.Upstream) {
	var left, joined []roster.Upstream
	listed := 0
	f.server.decide(func(now time.Time, g *forward.Gate) {
		left = copyUpstreams(do(now, g))
		joined, listed = copyUpstreams(g.Roster().Joined()), g.Roster().Len()
	})
	for _, u := range joined[:min(len(joined), maxChangeLogLines)] {
		f.log.Info("upstream_joined", "upstream", u.ID, "service", u.Service, "address", u.Address, "data_centre", u.DataCentre,
			"born", u.Born, "software", softwareName(u.Software), "leaving", u.Leaving, "source", source, "version", u.Version, "listed", listed)
	}
	for _, u := range left[:min(len(left), maxChangeLogLines)] {
		f.log.Info("upstream_leaving", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"gone", u.Removed, "source", source, "version", u.Version)
	}
	if more := max(len(joined), len(left)) - maxChangeLogLines; more > 0 {
		f.log.Info("upstreams_changed", "joined", len(joined), "left", len(left), "source", source, "listed", listed)
	}
	if len(left) > 0 {
		f.onLeaving()
	}
}

// copyUpstreams returns copies of upstreams that later changes of the list do not affect.
func copyUpstreams(list []*roster.Upstream) []roster.Upstream {
	out := make([]roster.Upstream, 0, len(list))
	for _, u := range list {
		out = append(out, *u)
	}
	return out
}

// storeFailed records a failed read of the store.
func (f *follower) storeFailed(ctx context.Context, step string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.metrics.Count("store_failures_total", step)
	f.server.decide(func(_ time.Time, g *forward.Gate) { g.Roster().StoreDown() })
	if f.setStoreUp(false) {
		f.log.Warn("dependency_lost", "dependency", "store", "step", step, "error", err)
	}
}

// tick drops expired entries and checks how old the configuration is.
func (f *follower) tick() {
	source, unconfirmed, listUnconfirmed := "", time.Duration(0), time.Duration(0)
	f.server.decide(func(now time.Time, g *forward.Gate) {
		if g.Table() != nil {
			unconfirmed = now.Sub(g.Confirmed())
		}
		if g.Roster().Received() {
			listUnconfirmed = now.Sub(g.Roster().Confirmed())
		}
	})
	f.mu.Lock()
	source = sourceName(f.lastSource)
	f.mu.Unlock()
	f.freshness.check(source, unconfirmed)
	f.freshness.checkList(source, listUnconfirmed)
	f.logEra()
	f.changeRoster("lapse", func(now time.Time, g *forward.Gate) []*roster.Upstream { return g.Roster().Tick(now) })
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
