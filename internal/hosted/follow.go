package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/watch"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

const (
	// configInterval is the longest interval between reads of the configuration, and so the
	// delay until a new one is in force. Operators are promised two seconds.
	configInterval = 600 * time.Millisecond
	// confirmShare divides the validity of keys after a confirmation into intervals between
	// reads. Instances behind a reader add a hold of the same length, so that three failed
	// reads in a row are tolerated.
	confirmShare = 6
	// listWait bounds a long poll for changes of the list, as the connection may go silent
	// meanwhile: leaving upstreams must get no work after two seconds.
	listWait = time.Second
	// listInterval is the minimum interval between polls of the list.
	listInterval = 100 * time.Millisecond
	// staleBackoff is the delay after an answer that confirms too little. It keeps hundreds of
	// instances that ask each other from overloading their machines, and is short against the
	// validity of keys.
	staleBackoff = 150 * time.Millisecond
	// retryBackoff is the delay after a failed call to the store.
	retryBackoff = 150 * time.Millisecond
	// sourcesInterval is the interval at which sources are recomputed. One that does not
	// answer is skipped immediately.
	sourcesInterval = 200 * time.Millisecond
	// listPerEntry extends the interval for each entry of the list: every entry is renewed
	// about once a second.
	listPerEntry = 200 * time.Microsecond
	// maxChangeLines bounds the log lines about upstreams that joined, and that left, per
	// answer.
	maxChangeLines = 16
	// sourceCheckInterval is the interval between checks for a better update source.
	sourceCheckInterval = 100 * time.Millisecond
)

// follower keeps the gate's configuration and list of upstreams current.
type follower struct {
	store   Store
	server  *server
	metrics *metrics.Metrics
	log     hclog.Logger
	// left is called when upstreams begin to leave.
	left func()
	// isHome reports whether this instance is home of a pool.
	isHome func() bool
	// adopted is called with each update that was put in force.
	adopted func(update)
	// regions maps each data centre to its region.
	regions map[string]string
	peers   *peers
	relay   *relay
	// wait is the interval between reads of the configuration.
	wait time.Duration
	// divides is unset if large services stay whole.
	divides bool

	// mu guards the fields up to last.
	mu    sync.Mutex
	watch *watch.Watch
	// up is set while the store answers.
	up bool
	// sources are the candidates for updates as of sourcesAt.
	sources   fleet.Sources
	sourcesAt time.Time
	// last is the source asked last.
	last string

	// configAt and listAt are the latest versions seen.
	configAt int64
	listAt   int64
	// unreadable is the last log message about undecodable cordons.
	unreadable string
}

// holdFor returns the interval between reads and the hold of other instances' long polls,
// given the validity of keys after a confirmation; 0 is unlimited.
func holdFor(keys time.Duration) time.Duration {
	if keys == 0 {
		return configInterval
	}
	return min(configInterval, keys/confirmShare)
}

// followConfig follows the configuration until the context ends. It polls the row: a feed of
// changes can stall, and its silence must not confirm that keys are still valid.
func (f *follower) followConfig(ctx context.Context) error {
	return f.whileReading(ctx, func() {
		asked := boottime.Now()
		read, err := f.store.Config(ctx)
		if err != nil {
			f.sourceFailed(watch.Store, err.Error())
			f.failed(ctx, "configuration", err)
			pause(ctx, retryBackoff)
			return
		}
		f.takeConfig(asked, read)
		pause(ctx, f.wait)
	})
}

// whileReading repeats a step while the store is this instance's source, until the context
// ends.
func (f *follower) whileReading(ctx context.Context, step func()) error {
	f.peers.awaitLearned(ctx)
	for ctx.Err() == nil {
		if f.source() == watch.Store {
			step()
		} else {
			pause(ctx, sourceCheckInterval)
		}
	}
	return ctx.Err()
}

func (f *follower) takeConfig(asked time.Time, read ConfigRead) {
	var cordonsAt int64
	f.server.decide(func(_ time.Time, g *forward.Gate) { cordonsAt = g.Cordons().Version })
	if read.Version < max(f.configAt, cordonsAt) {
		f.metrics.Count("stale_answers_total", "configuration")
		f.log.Warn("configuration_answer_stale", "version", read.Version, "known", max(f.configAt, cordonsAt))
		return
	}
	f.configAt = read.Version
	f.sourceAnswered(watch.Store, 0)
	f.adopt(asked, update{config: read.Config, cordons: f.cordonsRead(read)}, "store")
}

// update is a set of changes from a source; nil fields are unchanged.
type update struct {
	config *route.Config
	// packed is the transfer form of config, nil if it was read from the store.
	packed  msg.PackedConfig
	cordons *cordon.Set
}

// adopt applies an update and confirms the current state as of the question. Configuration and
// cordons change in one step, so that no request is admitted under one without the other.
func (f *follower) adopt(asked time.Time, u update, source string) {
	adopted, cordoned := false, false
	c := u.config
	var version int64
	var before, cordons cordon.Set
	f.server.decide(func(now time.Time, g *forward.Gate) {
		before = g.Cordons()
		if u.cordons != nil {
			cordoned = g.SetCordons(now, *u.cordons)
		}
		cordons = g.Cordons()
		if c != nil {
			adopted = g.Adopt(route.NewTable(*c))
		}
		if g.Table() == nil || c != nil && c.Version < g.Table().Version {
			return
		}
		g.Confirm(asked)
		version = g.Table().Version
	})
	if cordoned {
		f.logCordons(before, cordons, asked, source)
	}
	if adopted {
		f.metrics.Count("configurations_total", "adopted")
		f.log.Info("configuration_adopted", "version", version, "source", source, "routes", len(c.Routes),
			"services", len(c.Services), "organisations", len(c.Organisations))
	}
	switch {
	case !adopted && !cordoned:
		return
	case !adopted:
		u.config = nil
	case !cordoned:
		u.cordons = nil
	}
	f.adopted(u)
}

// followList follows the list of upstreams until the context ends.
func (f *follower) followList(ctx context.Context) error {
	return f.whileReading(ctx, func() {
		began := time.Now()
		whole := f.listAt == 0 || !f.knowsAll()
		if err := f.readList(ctx, whole); err != nil {
			f.listAt = 0
			if whole {
				f.failed(ctx, "list", err)
				pause(ctx, retryBackoff)
			} else {
				f.metrics.Count("store_failures_total", "list")
			}
			return
		}
		pause(ctx, f.listInterval()-time.Since(began))
	})
}

// knowsAll reports whether every upstream is known. Instances that asked others know only what
// they use.
func (f *follower) knowsAll() (all bool) {
	f.server.decide(func(_ time.Time, g *forward.Gate) { all = g.Roster().Whole() })
	return all
}

// listInterval returns the minimum interval between polls of the list.
func (f *follower) listInterval() (d time.Duration) {
	f.server.decide(func(_ time.Time, g *forward.Gate) {
		d = listInterval + time.Duration(g.Roster().Len())*listPerEntry
	})
	return d
}

// readList reads the whole list, or its changes. A feed that fails does not mean that the
// store is down: the whole list is read instead.
func (f *follower) readList(ctx context.Context, whole bool) error {
	asked := boottime.Now()
	var read ListRead
	var err error
	if whole {
		read, err = f.store.List(ctx)
	} else {
		read, err = f.store.ListSince(ctx, f.listAt, listWait)
	}
	if err != nil {
		return err
	}
	f.takeList(asked, read, whole)
	return nil
}

func (f *follower) takeList(asked time.Time, read ListRead, whole bool) {
	for _, err := range read.Unreadable {
		f.metrics.Count("list_entries_total", "unreadable")
		f.log.Warn("upstream_entry_unreadable", "version", read.Version, "error", err)
	}
	divided := false
	f.change("list", func(now time.Time, g *forward.Gate) (left []*roster.Upstream) {
		r := g.Roster()
		r.StoreUp(now)
		r.Confirm(asked)
		switch {
		case whole:
			left, _ = r.Replace(now, read.Changes, read.Version)
		case r.Whole():
			left = r.Update(now, read.Changes, read.Version)
		default:
			return nil // groups were forgotten while the question was open
		}
		if divided = f.divides && r.Divide(now); divided {
			layout, version := r.Layout()
			f.log.Info("services_divided", "layout", layout, "version", version, "listed", r.Len())
		}
		return left
	})
	if divided {
		f.server.announce() // the homes of the new pools know nothing of what runs
	}
	if f.setUp(true) {
		f.log.Info("dependency_regained", "dependency", "store", "version", read.Version)
	}
	f.listAt = max(f.listAt, read.Version)
	f.relay.tick()
}

// change applies changes of the list, logs them and notifies.
func (f *follower) change(source string, do func(now time.Time, g *forward.Gate) []*roster.Upstream) {
	var left, joined []roster.Upstream
	listed := 0
	f.server.decide(func(now time.Time, g *forward.Gate) {
		left = copies(do(now, g))
		joined, listed = copies(g.Roster().Joined()), g.Roster().Len()
	})
	for _, u := range joined[:min(len(joined), maxChangeLines)] {
		f.log.Info("upstream_joined", "upstream", u.ID, "service", u.Service, "address", u.Address, "data_centre", u.DataCentre,
			"born", u.Born, "leaving", u.Leaving, "source", source, "version", u.Version, "listed", listed)
	}
	for _, u := range left[:min(len(left), maxChangeLines)] {
		f.log.Info("upstream_leaving", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"gone", u.Gone, "source", source, "version", u.Version)
	}
	if more := max(len(joined), len(left)) - maxChangeLines; more > 0 {
		f.log.Info("upstreams_changed", "joined", len(joined), "left", len(left), "source", source, "listed", listed)
	}
	if len(left) > 0 {
		f.left()
	}
}

// copies returns copies of upstreams that later changes of the list do not affect.
func copies(list []*roster.Upstream) []roster.Upstream {
	out := make([]roster.Upstream, 0, len(list))
	for _, u := range list {
		out = append(out, *u)
	}
	return out
}

func (f *follower) failed(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.metrics.Count("store_failures_total", what)
	f.server.decide(func(_ time.Time, g *forward.Gate) { g.Roster().StoreDown() })
	if f.setUp(false) {
		f.log.Warn("dependency_lost", "dependency", "store", "step", what, "error", err)
	}
}

// tick drops lapsed entries.
func (f *follower) tick() {
	f.change("lapse", func(now time.Time, g *forward.Gate) []*roster.Upstream { return g.Roster().Tick(now) })
}

// pause sleeps until the context ends.
func pause(ctx context.Context, d time.Duration) {
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
