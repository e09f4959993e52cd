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

// homeHold is the hold of a home's long polls. It bounds the age of its knowledge and so the
// delay until it notices an outage.
const homeHold = 150 * time.Millisecond

// relay answers instances that do not read the store.
type relay struct {
	server *server
	send   func(to string, m msg.Message)
	// hold is how long a poll waits for an update.
	hold time.Duration
	// relays reports whether others use this instance as a source, or that is still unknown.
	relays func() bool

	mu      sync.Mutex
	waiting map[string]waitingAsk
	// config is the configuration in force. Guarded by the server's lock.
	config *sharedConfig
}

// sharedConfig is a configuration with its transfer form, which all requesters share.
type sharedConfig struct {
	config *route.Config
	// packed is as received, or packed on the first request if it was read from the store.
	packed msg.PackedConfig
	pack   sync.Once
	err    error
}

// transfer returns the transfer form.
func (s *sharedConfig) transfer() (msg.PackedConfig, error) {
	s.pack.Do(func() {
		if s.packed == nil {
			s.packed, s.err = msg.PackConfig(s.config)
		}
	})
	return s.packed, s.err
}

type waitingAsk struct {
	ask   msg.SyncAsk
	until time.Time
}

// ask handles a poll, which is answered immediately if there is an update.
func (r *relay) ask(from string, m msg.SyncAsk) {
	if answer, updated := r.answer(m); updated {
		r.send(from, answer)
		return
	}
	if !r.mayUpdate() {
		r.send(from, msg.SyncAnswer{Number: m.Number, ConfigAge: -1})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	hold := r.hold
	if m.Hold > 0 {
		hold = min(hold, m.Hold)
	}
	r.waiting[from] = waitingAsk{ask: m, until: time.Now().Add(hold)}
}

// mayUpdate reports whether a long poll is worth holding: without a configuration there is
// nothing to compare.
func (r *relay) mayUpdate() (ok bool) {
	r.server.decide(func(_ time.Time, g *forward.Gate) { ok = g.Table() != nil })
	return ok || r.relays()
}

// tick answers polls that have an update or have been held for long enough.
func (r *relay) tick() {
	r.mu.Lock()
	waiting := make(map[string]waitingAsk, len(r.waiting))
	for name, w := range r.waiting {
		waiting[name] = w
	}
	r.mu.Unlock()
	for name, w := range waiting {
		answer, updated := r.answer(w.ask)
		if !updated && time.Now().Before(w.until) {
			continue
		}
		r.mu.Lock()
		if r.waiting[name].ask.Number == w.ask.Number {
			delete(r.waiting, name)
		}
		r.mu.Unlock()
		r.send(name, answer)
	}
}

// answer returns what is newer than the requester's versions and whether anything is.
func (r *relay) answer(m msg.SyncAsk) (a msg.SyncAnswer, updated bool) {
	a = msg.SyncAnswer{Number: m.Number, ConfigAge: -1}
	var newer *sharedConfig
	r.server.decide(func(now time.Time, g *forward.Gate) {
		if g.Table() == nil {
			return
		}
		if version := g.Table().Version; version > m.Config {
			if r.config == nil || r.config.config.Version != version {
				return // just adopted: it must not confirm another version
			}
			newer, updated = r.config, true
		}
		a.ConfigAge = max(now.Sub(g.Confirmed()), 0)
		if c := g.Cordons(); c.Version > m.Cordons {
			a.Cordons, updated = &c, true
		}
		share, ok := g.Roster().Answer(now, m.List)
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
	if a.Config, err = newer.transfer(); err != nil {
		r.server.log.Error("configuration_not_packed", "version", newer.config.Version, "error", err)
		// Without the configuration the answer must not confirm the requester's older one.
		return msg.SyncAnswer{Number: m.Number, ConfigAge: -1}, true
	}
	return a, true
}

// asker polls other instances while this one does not read the store.
type asker struct {
	follower *follower
	answers  chan syncAnswer
	// uses returns the groups of divided services that this instance needs.
	uses func(*forward.Gate) []roster.Group
	// wake interrupts a poll when another group is needed.
	wake   chan struct{}
	number int64
}

type syncAnswer struct {
	from string
	msg.SyncAnswer
}

// run polls until the context ends.
func (a *asker) run(ctx context.Context) error {
	a.follower.peers.awaitLearned(ctx)
	for ctx.Err() == nil {
		source := a.follower.source()
		if source == watch.Store {
			pause(ctx, sourceCheckInterval)
			continue
		}
		a.ask(ctx, source)
	}
	return ctx.Err()
}

// wakeUp makes the next poll start immediately.
func (a *asker) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default: // it is woken already
	}
}

// ask polls one instance and applies its answer, which confirms the state as of the question.
func (a *asker) ask(ctx context.Context, source string) {
	a.number++
	all := a.follower.relays()
	q := msg.SyncAsk{Number: a.number}
	if a.follower.isHome() {
		q.Hold = homeHold
	}
	a.follower.server.decide(func(_ time.Time, g *forward.Gate) {
		q.List = g.Roster().Ask(a.uses(g), all)
		q.Cordons = g.Cordons().Version
		if g.Table() != nil {
			q.Config = g.Table().Version
		}
	})
	asked := boottime.Now()
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
			a.follower.sourceFailed(source, "no answer")
			return
		case got := <-a.answers:
			if got.from != source || got.Number != q.Number {
				continue // late
			}
			a.take(ctx, source, asked, got.SyncAnswer, all)
			return
		}
	}
}

func (a *asker) take(ctx context.Context, source string, asked time.Time, m msg.SyncAnswer, all bool) {
	f := a.follower
	if !f.sourceAnswered(source, m.ConfigAge) {
		// During an outage everyone's knowledge is old. Any other instance may be asked, with
		// a backoff.
		defer pause(ctx, staleBackoff)
	}
	if m.ConfigAge < 0 {
		return
	}
	u := update{cordons: m.Cordons}
	if m.Config != nil {
		c, err := m.Config.Unpack()
		if err != nil {
			f.sourceFailed(source, err.Error())
			return
		}
		u.config, u.packed = c, m.Config
	}
	f.adopt(asked.Add(-m.ConfigAge), u, source)
	if m.ListAge < 0 {
		return
	}
	f.server.decide(func(_ time.Time, g *forward.Gate) { g.Roster().Confirm(asked.Add(-m.ListAge)) })
	if m.List != nil {
		a.takeList(source, *m.List, all)
	}
}

// takeList applies another instance's list.
func (a *asker) takeList(source string, share roster.Share, all bool) {
	f := a.follower
	var before, after int64
	f.change(source, func(now time.Time, g *forward.Gate) []*roster.Upstream {
		r := g.Roster()
		_, before = r.Layout()
		left := r.Adopt(now, share)
		_, after = r.Layout()
		if all {
			return left
		}
		known := r.Len()
		if use := a.uses(g); r.Keep(use) {
			f.log.Info("groups_kept", "groups", len(use), "upstreams_before", known, "upstreams", r.Len(), "division", after)
		}
		return left
	})
	if before != after {
		f.server.announce() // the homes of the new pools know nothing of what runs
	}
}
