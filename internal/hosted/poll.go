package hosted

import (
	"context"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/watch"
)

// poller sends the queries for updates of the configuration, the cordons and the list, to other instances
// and to the store, and applies the responses.
type poller struct {
	follower *follower
	// responses receives the responses of instances, and reads those of the store.
	responses chan syncResponse
	reads     chan storeRead
	// neededGroups returns the groups of divided services that this instance needs.
	neededGroups func(*forward.Gate) []roster.Group
	// wake makes the next query due when another group is needed.
	wake chan struct{}
	// listSource is where the list came from.
	listSource listSource
}

// syncResponse is a response to a query and the instance that sent it.
type syncResponse struct {
	from string
	msg.SyncResponse
}

// storeRead is the outcome of a read of the configuration in the store.
type storeRead struct {
	query watch.Query
	ConfigResponse
	err error
}

// run sends queries until the context ends.
func (p *poller) run(ctx context.Context) error {
	p.follower.peers.awaitJoined(ctx)
	for ctx.Err() == nil {
		p.applyReceived(ctx) // before the time limits of queries are checked
		due, wait := p.follower.dueQueries()
		for _, q := range due {
			p.send(ctx, q)
		}
		p.await(ctx, wait)
	}
	return ctx.Err()
}

// await waits until something happens, at most for the given time.
func (p *poller) await(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.wake:
		p.follower.restartQueries()
	case got := <-p.responses:
		p.apply(got)
	case got := <-p.reads:
		p.applyRead(ctx, got)
	}
}

// applyReceived applies the responses that have arrived.
func (p *poller) applyReceived(ctx context.Context) {
	for {
		select {
		case got := <-p.responses:
			p.apply(got)
		case got := <-p.reads:
			p.applyRead(ctx, got)
		default:
			return
		}
	}
}

// wakeUp makes the next query due immediately.
func (p *poller) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// send sends a query.
func (p *poller) send(ctx context.Context, q watch.Query) {
	if q.Source == watch.Store {
		if q.List {
			p.follower.wantList() // at the same time: one read after the other would take too long
		}
		go p.readStore(ctx, q)
		return
	}
	m := msg.SyncRequest{Number: q.Number, Hold: q.Hold}
	full, states := p.follower.isSource(), p.follower.peers.understandsSoftware(q.Source)
	p.follower.server.decide(func(_ time.Time, g *forward.Gate) {
		m.List = g.Roster().Request(p.neededGroups(g), full)
		if states && g.Roster().LacksSoftware() || p.listSource.mustRequestAll(q) {
			m.List = m.List.RequestFull()
		}
		m.Cordons = g.Cordons().Version
		if g.Table() != nil {
			m.Config = g.Table().Version
		}
	})
	p.follower.peers.sendTo(q.Source, m)
}

// readStore reads the configuration in the store.
func (p *poller) readStore(ctx context.Context, q watch.Query) {
	limited, cancel := context.WithTimeout(ctx, p.follower.currentTiming().StoreTimeout)
	defer cancel()
	read, err := p.follower.store.Config(limited)
	select {
	case <-ctx.Done():
	case p.reads <- storeRead{query: q, ConfigResponse: read, err: err}:
	}
}

// applyRead applies the store's response.
func (p *poller) applyRead(ctx context.Context, got storeRead) {
	f, number := p.follower, got.query.Number
	sentAt, _, ok := f.querySent(watch.Store, number)
	if !ok {
		return
	}
	if got.err != nil {
		f.queryFailed(watch.Store, number, got.err.Error())
		f.storeFailed(ctx, "configuration", got.err)
		return
	}
	if !f.applyConfig(sentAt, got.ConfigResponse) {
		f.queryAnswered(number, time.Time{})
		return
	}
	f.queryAnswered(number, sentAt)
	p.listSource.onStoreRead()
}

// apply applies an instance's response.
func (p *poller) apply(got syncResponse) {
	f := p.follower
	sentAt, late, ok := f.querySent(got.from, got.Number)
	if !ok || late {
		f.freshness.lateResponse(got, ok)
	}
	if !ok {
		return
	}
	if got.ConfigAge == msg.NoAge {
		f.queryAnswered(got.Number, time.Time{})
		return
	}
	u := update{cordons: got.Cordons}
	if got.Config != nil {
		c, err := got.Config.Unpack()
		if err != nil {
			f.queryFailed(got.from, got.Number, err.Error())
			return
		}
		u.config, u.packed = c, got.Config
	}
	asOf := sentAt.Add(-got.ConfigAge)
	f.noteHeard()
	if got.List != nil {
		p.applyList(got.from, *got.List)
	}
	listAsOf := asOf
	if got.ListAge != msg.NoAge {
		listAsOf = sentAt.Add(-got.ListAge)
		p.listSource.onResponse(got.from, got.Number)
		// The list is confirmed once its changes are applied: until then it may lack an upstream.
		f.server.decide(func(_ time.Time, g *forward.Gate) { g.Roster().Confirm(listAsOf) })
	}
	f.adopt(sentAt, asOf, u, got.from)
	f.queryAnswered(got.Number, older(asOf, listAsOf))
}

// older returns the earlier one of two times.
func older(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// applyList applies a list received from another instance, and drops the groups that are not needed here
// unless this instance is a source of others.
func (p *poller) applyList(source string, share roster.ListUpdate) {
	f := p.follower
	full := f.isSource()
	f.noteEra(share.Version)
	var before, after int64
	f.changeRoster(source, func(now time.Time, g *forward.Gate) []*roster.Upstream {
		r := g.Roster()
		_, before = r.Layout()
		left := r.Adopt(now, share)
		_, after = r.Layout()
		if full {
			return left
		}
		known := r.Len()
		if use := p.neededGroups(g); r.Keep(use) {
			f.log.Info("groups_kept", "groups", len(use), "upstreams_before", known, "upstreams", r.Len(), "division", after)
		}
		return left
	})
	if before != after {
		f.server.announceRunning() // the homes of the new pools do not know the running generations
	}
}
