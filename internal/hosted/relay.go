package hosted

import (
	"context"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/watch"
)

// homeHold is the maximum time for which the long polls of a home are held. It limits the age of
// the home's state, and so the delay until the home detects an outage.
const homeHold = 150 * time.Millisecond

// relay responds to the polls of instances that do not read the store.
type relay struct {
	server *server
	send   func(to string, m msg.Message)
	// maxHold is the maximum time for which a poll is held while there is no update.
	maxHold time.Duration
	// mayBeSource reports whether other instances use this one as a source, or whether that is
	// unknown because the members are not known yet.
	mayBeSource func() bool

	// mu guards held, which holds the waiting poll of each requester by name.
	mu   sync.Mutex
	held map[string]heldPoll
	// config is the configuration in force. Guarded by the server's lock.
	config *sharedConfig
}

// sharedConfig is a configuration with the form in which it is sent between instances. All
// requesters get the same packed form.
type sharedConfig struct {
	config *route.Config
	// packed is config in the form sent between instances: as received, or packed for the first
	// requester if the configuration was read from the store.
	packed msg.PackedConfig
	once   sync.Once
	err    error
}

// packOnce returns the packed form, which the first call creates if needed.
func (s *sharedConfig) packOnce() (msg.PackedConfig, error) {
	s.once.Do(func() {
		if s.packed == nil {
			s.packed, s.err = msg.PackConfig(s.config)
		}
	})
	return s.packed, s.err
}

// heldPoll is a poll that waits for an update. If there is none before the time until, the
// response is sent then.
type heldPoll struct {
	message msg.SyncRequest
	until   time.Time
}

// handlePoll responds to a poll immediately if there is an update, or if it must not be held.
// Otherwise it holds the poll.
func (r *relay) handlePoll(from string, m msg.SyncRequest) {
	if response, updated := r.response(m); updated {
		r.send(from, response)
		return
	}
	if !r.mayHold() {
		r.send(from, msg.SyncResponse{Number: m.Number, ConfigAge: -1})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	hold := r.maxHold
	if m.Hold > 0 {
		hold = min(hold, m.Hold)
	}
	r.held[from] = heldPoll{message: m, until: time.Now().Add(hold)}
}

// mayHold reports whether a poll may be held. An instance without a configuration, which has
// nothing to compare with the requester's versions, holds polls only if it may be a source.
func (r *relay) mayHold() (ok bool) {
	r.server.decide(func(_ time.Time, g *forward.Gate) { ok = g.Table() != nil })
	return ok || r.mayBeSource()
}

// tick responds to held polls for which there is an update or whose time has passed.
func (r *relay) tick() {
	r.mu.Lock()
	waiting := make(map[string]heldPoll, len(r.held))
	for name, w := range r.held {
		waiting[name] = w
	}
	r.mu.Unlock()
	for name, w := range waiting {
		response, updated := r.response(w.message)
		if !updated && time.Now().Before(w.until) {
			continue
		}
		r.mu.Lock()
		if r.held[name].message.Number == w.message.Number {
			delete(r.held, name)
		}
		r.mu.Unlock()
		r.send(name, response)
	}
}

// response returns the updates since the requester's versions and reports whether there are any.
func (r *relay) response(m msg.SyncRequest) (a msg.SyncResponse, updated bool) {
	a = msg.SyncResponse{Number: m.Number, ConfigAge: -1}
	var newer *sharedConfig
	r.server.decide(func(now time.Time, g *forward.Gate) {
		if g.Table() == nil {
			return
		}
		if version := g.Table().Version; version > m.Config {
			if r.config == nil || r.config.config.Version != version {
				return // just adopted, and r.config is not set yet: the response must not confirm the requester's version
			}
			newer, updated = r.config, true
		}
		a.ConfigAge = max(now.Sub(g.Confirmed()), 0)
		if c := g.Cordons(); c.Version > m.Cordons {
			a.Cordons, updated = &c, true
		}
		share, ok := g.Roster().Respond(now, m.List)
		if !ok {
			a.ListAge = -1
			return
		}
		a.ListAge, a.List = max(now.Sub(g.Roster().Confirmed()), 0), share
		updated = updated || share != nil
	})
	if newer == nil {
		return a, updated
	}
	var err error
	if a.Config, err = newer.packOnce(); err != nil {
		r.server.log.Error("configuration_not_packed", "version", newer.config.Version, "error", err)
		// Without the configuration, the response must not confirm the requester's older one.
		return msg.SyncResponse{Number: m.Number, ConfigAge: -1}, true
	}
	return a, true
}

// syncPoller polls another instance for updates while this one does not read the store.
type syncPoller struct {
	follower  *follower
	responses chan syncResponse
	// neededGroups returns the groups of divided services that this instance needs.
	neededGroups func(*forward.Gate) []roster.Group
	// wake interrupts a poll when another group is needed.
	wake chan struct{}
	// lastNumber is the number of the latest poll, by which its response is recognised.
	lastNumber int64
}

// syncResponse is a response to a poll and the instance that sent it.
type syncResponse struct {
	from string
	msg.SyncResponse
}

// run polls until the context ends.
func (a *syncPoller) run(ctx context.Context) error {
	a.follower.peers.awaitJoined(ctx)
	for ctx.Err() == nil {
		source := a.follower.source()
		if source == watch.Store {
			sleep(ctx, sourceCheckInterval)
			continue
		}
		a.poll(ctx, source)
	}
	return ctx.Err()
}

// wakeUp interrupts the current poll, so that the next one starts immediately.
func (a *syncPoller) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// poll polls one instance and applies its response, which confirms the state as of the time at
// which the poll was sent.
func (a *syncPoller) poll(ctx context.Context, source string) {
	a.lastNumber++
	full := a.follower.isSource()
	q := msg.SyncRequest{Number: a.lastNumber}
	if a.follower.isHome() {
		q.Hold = homeHold
	}
	a.follower.server.decide(func(_ time.Time, g *forward.Gate) {
		q.List = g.Roster().Request(a.neededGroups(g), full)
		q.Cordons = g.Cordons().Version
		if g.Table() != nil {
			q.Config = g.Table().Version
		}
	})
	sentAt := boottime.Now()
	a.follower.peers.sendTo(source, q)
	timeout := time.NewTimer(watch.PeerTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
			return
		case <-timeout.C:
			a.follower.sourceFailed(source, "no answer", boottime.Now().Sub(sentAt))
			return
		case got := <-a.responses:
			if got.from != source || got.Number != q.Number {
				a.countLate(got) // response to an earlier poll
				continue
			}
			a.apply(ctx, source, sentAt, got.SyncResponse, full)
			return
		}
	}
}

// countLate counts a response that arrived after its poll had ended, and is not used.
func (a *syncPoller) countLate(got syncResponse) {
	what := "confirmation"
	if got.Config != nil {
		what = "configuration"
	}
	a.follower.metrics.Count("late_responses_total", what)
	a.follower.log.Info("response_late", "source", got.from, "number", got.Number, "last_number", a.lastNumber, "holds", what)
}

// apply applies a source's response; sentAt is the time at which the poll was sent, and full is
// set if the poll requested the full list.
func (a *syncPoller) apply(ctx context.Context, source string, sentAt time.Time, m msg.SyncResponse, full bool) {
	f := a.follower
	if !f.sourceResponded(source, m.ConfigAge) {
		// During an outage the state of every instance is old. Other instances may be polled,
		// with a backoff.
		defer sleep(ctx, staleBackoff)
	}
	if m.ConfigAge < 0 {
		return
	}
	u := update{cordons: m.Cordons}
	if m.Config != nil {
		c, err := m.Config.Unpack()
		if err != nil {
			f.sourceFailed(source, err.Error(), boottime.Now().Sub(sentAt))
			return
		}
		u.config, u.packed = c, m.Config
	}
	f.adopt(sentAt, sentAt.Add(-m.ConfigAge), u, source)
	if m.ListAge < 0 {
		return
	}
	f.server.decide(func(_ time.Time, g *forward.Gate) { g.Roster().Confirm(sentAt.Add(-m.ListAge)) })
	if m.List != nil {
		a.applyList(source, *m.List, full)
	}
}

// applyList applies a list received from another instance, and drops the groups that are not
// needed here unless full is set.
func (a *syncPoller) applyList(source string, share roster.ListUpdate, full bool) {
	f := a.follower
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
		if use := a.neededGroups(g); r.Keep(use) {
			f.log.Info("groups_kept", "groups", len(use), "upstreams_before", known, "upstreams", r.Len(), "division", after)
		}
		return left
	})
	if before != after {
		f.server.announceRunning() // the homes of the new pools do not know the running generations
	}
}
