package hosted

import (
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/watch"
)

// relay responds to the polls of instances that do not read the store.
type relay struct {
	server *server
	send   func(to string, m msg.Message)
	// understandsNegativeAges reports whether a requester does.
	understandsNegativeAges func(name string) bool
	// mayBeSource reports whether other instances use this one as a source, or whether that is
	// unknown because the members are not known yet.
	mayBeSource func() bool

	// mu guards the waiting polls, the time of the last confirmation for which they were checked, and
	// minAdvance, the difference of confirmations for which they are checked again.
	mu         sync.Mutex
	held       *watch.Held[msg.SyncRequest]
	checkedFor time.Time
	minAdvance time.Duration
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

// newRelay returns a relay without a configuration.
func newRelay(s *server, t watch.Timing) *relay {
	r := &relay{server: s, held: watch.NewHeld[msg.SyncRequest](t)}
	r.setTiming(t)
	return r
}

// setTiming replaces the time limits.
func (r *relay) setTiming(t watch.Timing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held.SetTiming(t)
	r.minAdvance = t.ReadInterval / 2
}

// handlePoll responds to a poll immediately if there is an update, or a confirmation of which its sender
// has not been notified, or if the poll must not be held. Otherwise it holds the poll.
func (r *relay) handlePoll(from string, m msg.SyncRequest) {
	arrived := boottime.Now()
	response, confirmed, updated := r.response(from, m, arrived)
	if updated || r.hasNews(arrived, from, confirmed) {
		r.respond(from, response, confirmed)
		return
	}
	if !r.mayHold() {
		r.send(from, msg.SyncResponse{Number: m.Number, ConfigAge: msg.NoAge})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held.Add(arrived, from, m, m.Hold, confirmed)
}

// hasNews reports whether the sender of a poll has not been notified of a recent confirmation.
func (r *relay) hasNews(now time.Time, from string, confirmed time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held.HasNews(now, from, confirmed)
}

// respond sends a response, whose state was confirmed at the given time.
func (r *relay) respond(to string, m msg.SyncResponse, confirmed time.Time) {
	r.mu.Lock()
	r.held.Told(to, confirmed)
	r.mu.Unlock()
	if !r.understandsNegativeAges(to) {
		m = m.WithoutNegativeAges()
	}
	r.send(to, m)
}

// onConfirmed responds to the polls that wait for a newer confirmation than they would have got when
// they arrived.
func (r *relay) onConfirmed(asOf time.Time) {
	r.mu.Lock()
	advanced := asOf.Sub(r.checkedFor) >= r.minAdvance
	if advanced {
		r.checkedFor = asOf
	}
	r.mu.Unlock()
	if advanced {
		r.tick()
	}
}

// mayHold reports whether a poll may be held. An instance without a configuration, which has
// nothing to compare with the requester's versions, holds polls only if it may be a source.
func (r *relay) mayHold() (ok bool) {
	r.server.decide(func(_ time.Time, g *forward.Gate) { ok = g.Table() != nil })
	return ok || r.mayBeSource()
}

// tick responds to held polls for which there is an update or a newer confirmation, and to those whose
// time has passed.
func (r *relay) tick() {
	r.mu.Lock()
	waiting := r.held.Waiting()
	r.mu.Unlock()
	for _, q := range waiting {
		response, confirmed, updated := r.response(q.From, q.Message, q.Arrived)
		r.mu.Lock()
		due := (updated || r.held.IsDue(boottime.Now(), q, confirmed)) && r.held.Remove(q)
		r.mu.Unlock()
		if due {
			r.respond(q.From, response, confirmed)
		}
	}
}

// response returns the updates for a requester since its versions, the time as of which both the configuration and the
// list were confirmed, and whether there are any updates. arrived is the time at which the request arrived.
func (r *relay) response(from string, m msg.SyncRequest, arrived time.Time) (a msg.SyncResponse, confirmed time.Time, updated bool) {
	a = msg.SyncResponse{Number: m.Number, ConfigAge: msg.NoAge}
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
		confirmed = g.Confirmed()
		a.ConfigAge = msg.AgeAt(arrived, confirmed)
		if c := g.Cordons(); c.Version > m.Cordons {
			a.Cordons, updated = &c, true
		}
		share, ok := g.Roster().Respond(now, from, m.List)
		if !ok {
			a.ListAge = msg.NoAge
			return
		}
		a.ListAge, a.List = msg.AgeAt(arrived, g.Roster().Confirmed()), share
		confirmed = older(confirmed, g.Roster().Confirmed())
		updated = updated || share != nil
	})
	if newer == nil {
		return a, confirmed, updated
	}
	var err error
	if a.Config, err = newer.packOnce(); err != nil {
		r.server.log.Error("configuration_not_packed", "version", newer.config.Version, "error", err)
		// Without the configuration, the response must not confirm the requester's older one.
		return msg.SyncResponse{Number: m.Number, ConfigAge: msg.NoAge}, time.Time{}, true
	}
	return a, confirmed, true
}
