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
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/watch"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

const (
	// configWait is the most time between two readings of the configuration.
	// A new one is in force everywhere that much later, plus some
	// milliseconds; operators are promised two seconds.
	configWait = 600 * time.Millisecond
	// confirmShare is the part of the time for which keys are accepted
	// without a new confirmation that may pass between two readings. Who asks
	// a reader adds a hold of the same length, so that three failed readings
	// in a row are borne.
	confirmShare = 6
	// listWait is how long the store may hold a question for changes of the
	// list of upstreams, on a connection that may go silent meanwhile: what
	// leaves must get no more work within two seconds.
	listWait = time.Second
	// listPause is the least time between two questions for the list: many
	// changes at once must not cost a call each.
	listPause = 100 * time.Millisecond
	// sparingPause is the same where calls to the store are to be saved.
	sparingPause = 300 * time.Millisecond
	// stalePause is the pause after an answer that confirms too little: long
	// enough that hundreds of instances that all ask each other do not keep
	// their machines busy, short against the time for which keys are accepted.
	stalePause = 150 * time.Millisecond
	// retryPause is the pause after a call to the store that failed.
	retryPause = 150 * time.Millisecond
	// sourcesEvery is how often it is worked out whom to ask. Instances come and
	// go; one that does not answer is passed over at once all the same.
	sourcesEvery = 200 * time.Millisecond
	// listPerEntry is added to listPause for each entry of a long list: each is
	// renewed every second or so, and what is asked for sooner is read twice.
	listPerEntry = 200 * time.Microsecond
	// changeLines bounds the lines on upstreams that join, and on those that
	// leave, by one answer: the first answer of a large service names thousands.
	changeLines = 16
	// sourcePause is how often it is looked whether another source is to be
	// asked.
	sourcePause = 100 * time.Millisecond
)

// follower keeps the gate's configuration and list of upstreams up to date.
type follower struct {
	store   Store
	server  *server
	metrics *metrics.Metrics
	log     hclog.Logger
	// left is called when upstreams begin to leave.
	left func()
	// isHome reports whether this instance is home of a pool.
	isHome func() bool
	// adopted is called with what was put in force anew.
	adopted func(update)
	// regions maps each data centre to its region.
	regions map[string]string
	peers   *peers
	relay   *relay
	// wait is the time between two readings of the configuration.
	wait time.Duration
	// divides is set unless large services are left whole.
	divides bool
	// pace is the least time between two questions for the list, apart from its length.
	pace time.Duration

	// mu guards what follows, up to last.
	mu    sync.Mutex
	watch *watch.Watch
	// up is set while the store answers.
	up bool
	// sources are whom this instance may ask, as of sourcesAt.
	sources   fleet.Sources
	sourcesAt time.Time
	// last is the source that was asked last.
	last string

	// configAt and listAt are the store's versions that were last seen.
	configAt int64
	listAt   int64
	// unreadable is what was last logged of cordons that can't be read.
	unreadable string
}

// holdFor returns the time between two readings, and for which another
// instance's question may be held, if keys are accepted for a time after a
// confirmation; 0 accepts them for ever.
func holdFor(keys time.Duration) time.Duration {
	if keys == 0 {
		return configWait
	}
	return min(configWait, keys/confirmShare)
}

// followConfig follows the configuration until the context ends. It reads the
// row itself again and again: a feed of changes may be silent for a while though
// there are changes, and its silence must not confirm that keys are still good.
func (f *follower) followConfig(ctx context.Context) error {
	return f.whileReading(ctx, func() {
		asked := boottime.Now()
		read, err := f.store.Config(ctx)
		if err != nil {
			f.sourceFailed(watch.Store, err.Error())
			f.failed(ctx, "configuration", err)
			pause(ctx, retryPause)
			return
		}
		f.takeConfig(asked, read)
		pause(ctx, f.wait)
	})
}

// whileReading repeats a step as long as the store is whom this instance asks
// for updates, until the context ends.
func (f *follower) whileReading(ctx context.Context, step func()) error {
	f.peers.awaitLearned(ctx)
	for ctx.Err() == nil {
		if f.source() == watch.Store {
			step()
		} else {
			pause(ctx, sourcePause)
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

// update is what a source tells anew; what is nil is as it was.
type update struct {
	config  *route.Config
	cordons *cordon.Set
}

// adopt puts an update in force and confirms what is in force as of the question. The
// configuration and the cordons are taken in one step: no request is let in by the one
// before the other is known.
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
				pause(ctx, retryPause)
			} else {
				f.metrics.Count("store_failures_total", "list")
			}
			return
		}
		pause(ctx, f.listPause()-time.Since(began))
	})
}

// knowsAll reports whether every upstream is known. An instance that asked others
// for a while knows what it uses.
func (f *follower) knowsAll() (all bool) {
	f.server.decide(func(_ time.Time, g *forward.Gate) { all = g.Roster().Whole() })
	return all
}

// listPause is the least time between two questions for the list.
func (f *follower) listPause() (d time.Duration) {
	f.server.decide(func(_ time.Time, g *forward.Gate) {
		d = f.pace + time.Duration(g.Roster().Len())*listPerEntry
	})
	return d
}

// readList reads the whole list, or what has changed. A feed that fails or is
// cut is no sign that the store is away: the whole list is read then.
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

// change changes the list, logs what that changes and tells who must know of it.
func (f *follower) change(source string, do func(now time.Time, g *forward.Gate) []*roster.Upstream) {
	var left, joined []roster.Upstream
	listed := 0
	f.server.decide(func(now time.Time, g *forward.Gate) {
		left = copies(do(now, g))
		joined, listed = copies(g.Roster().Joined()), g.Roster().Len()
	})
	for _, u := range joined[:min(len(joined), changeLines)] {
		f.log.Info("upstream_joined", "upstream", u.ID, "service", u.Service, "address", u.Address, "data_centre", u.DataCentre,
			"born", u.Born, "leaving", u.Leaving, "source", source, "version", u.Version, "listed", listed)
	}
	for _, u := range left[:min(len(left), changeLines)] {
		f.log.Info("upstream_leaving", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"gone", u.Gone, "source", source, "version", u.Version)
	}
	if more := max(len(joined), len(left)) - changeLines; more > 0 {
		f.log.Info("upstreams_changed", "joined", len(joined), "left", len(left), "source", source, "listed", listed)
	}
	if len(left) > 0 {
		f.left()
	}
}

// copies returns upstreams as they are: the list goes on changing them.
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

// tick gives up what lapsed and did not come back.
func (f *follower) tick() {
	f.change("lapse", func(now time.Time, g *forward.Gate) []*roster.Upstream { return g.Roster().Tick(now) })
}

// pause waits, unless the context ends first.
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
