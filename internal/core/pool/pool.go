// Package pool is the home of an engine pool on a hosting platform: one instance
// that places the pool's generations and moves them off upstreams that leave. It
// holds soft state only: another instance that takes over learns what runs from
// the entries. It does no I/O.
//
// pool.go places and keeps the ledger, evacuate.go orders the moves.
package pool

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/health"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

const (
	// grantTTL is how long a grant may be used. An entry that was frozen
	// meanwhile must not send work where it no longer belongs.
	grantTTL = time.Second
	// orphanAfter is how long a grant is kept that no entry announces.
	orphanAfter = 3 * time.Second
	// firstPromptRate is how many prompt tokens a second an upstream is assumed to
	// read before the first token of an answer has told.
	firstPromptRate = 7200
	// failurePenalty is how much it counts against an upstream if it fails all that
	// it is given, in seconds in flight: as much as if all came late. An engine that
	// fails is freed at once, looks idle, and would draw work.
	failurePenalty = 20.0
	// avoidFor is how long an upstream gets no new work that could not be
	// reached. A dead one stays listed for three of its heartbeats, and while
	// the store is away for as long as that lasts.
	avoidFor = 1500 * time.Millisecond
	// probeInterval is the pause between two questions to an upstream whether it
	// leaves. A notice may be as short as 1.5 s, and the store silent, slow or cut
	// off from the upstream when that begins.
	probeInterval = time.Second
	// storeFresh is how long after the store last answered the upstreams are asked
	// more often, at outageProbeInterval: no notice arrives by the list then.
	storeFresh          = 900 * time.Millisecond
	outageProbeInterval = 300 * time.Millisecond
	// knownAfter is how long after an upstream was listed here entries may not know it
	// yet: a home hears of it first, and a relay or two lie between.
	knownAfter = 3 * time.Second
	// AnnounceEvery is how often an entry tells the home what it runs, at most,
	// and announceShare the time for each generation that it runs: 175 of them,
	// as at the largest sizes, take 11 KB/s at 89 bytes each instead of 31. An
	// entry that says nothing for orphanAfter is taken for dead.
	AnnounceEvery = 500 * time.Millisecond
	announceShare = 8 * time.Millisecond
	announceMost  = orphanAfter / 2
)

// AnnouncePause returns the pause between two announcements of an entry that runs
// some generations.
func AnnouncePause(running int) time.Duration {
	return min(max(AnnounceEvery, time.Duration(running)*announceShare), announceMost)
}

// Out is a message to an instance.
type Out struct {
	To  string
	Msg msg.Message
}

// Home decides for one pool. It is not safe for concurrent use.
type Home struct {
	service string
	engine  route.Engine
	without mechanism.Set
	ways    mechanism.Ways
	// part is set if the pool is a part of a divided service: entries do not
	// know its upstreams.
	part      bool
	placement *placement.Home
	upstreams map[string]*roster.Upstream
	// entries maps attempts to the instances that asked for them.
	entries     map[string]string
	evacuations map[string]*evacuation
	cordons     cordon.Set
	// coldRate is how many requests a second a cold upstream bears; 0 is no bound.
	coldRate float64
	// full holds until when destinations are passed over that had no room.
	full map[string]time.Time
	// abandoned holds copies that take memory until they lapse.
	abandoned []abandoned
	// unreachable holds when an upstream was last found so, probedAt when it
	// was last asked for its state.
	unreachable map[string]time.Time
	// failures holds how upstreams have ended what they were given.
	failures map[string]*health.Record
	// own holds the upstreams that have said themselves that they leave.
	own      map[string]time.Time
	probedAt map[string]time.Time
	number   int64
	probes   []Probe
	out      []Out
	notes    []Note
}

// Probe is an upstream that is to be asked for its state.
type Probe struct {
	ID      string
	Address string
}

// Note is a decision to be logged.
type Note struct {
	Event string
	Pairs []any
}

// NewHome returns the home of a pool, which is a service or a group of its upstreams.
// without lists the mechanisms that it does without, ways are those in which it decides.
func NewHome(service string, engine route.Engine, without mechanism.Set, ways mechanism.Ways) *Home {
	engine.Moves = engine.Moves && !without.Has(mechanism.Moves)
	return &Home{
		service: service, engine: engine, without: without, ways: ways, part: roster.ParseGroup(service).Of > 0, upstreams: map[string]*roster.Upstream{},
		entries: map[string]string{}, evacuations: map[string]*evacuation{}, full: map[string]time.Time{},
		unreachable: map[string]time.Time{}, own: map[string]time.Time{}, probedAt: map[string]time.Time{}, failures: map[string]*health.Record{},
		placement: placement.NewHome(placement.Settings{
			Weights: config.Weights{Stall: 1, Preemptions: 1, Tail: 1}, Engine: true, Service: service,
			PromptRate: firstPromptRate, Predict: true, Without: without, Ways: ways,
		}),
	}
}

// Take returns the messages that are to be sent, and forgets them.
func (h *Home) Take() []Out {
	out := h.out
	h.out = nil
	return out
}

// Probes returns the upstreams that are to be asked for their state, and forgets
// them.
func (h *Home) Probes() []Probe {
	probes := h.probes
	h.probes = nil
	return probes
}

// Notes returns the decisions that are to be logged, and forgets them.
func (h *Home) Notes() []Note {
	notes := h.notes
	h.notes = nil
	return notes
}

func (h *Home) send(to string, m msg.Message) { h.out = append(h.out, Out{To: to, Msg: m}) }

func (h *Home) note(event string, pairs ...any) {
	h.notes = append(h.notes, Note{Event: event, Pairs: append(pairs, "pool", h.service)})
}

// Entry is the instance that a message came from, and where it stands.
type Entry struct {
	Name       string
	DataCentre string
}

// nearTo returns the data centre that is preferred for an entry's answers.
func (h *Home) nearTo(from Entry) string {
	if h.without.Has(mechanism.Near) {
		return ""
	}
	return from.DataCentre
}

// Ask places a generation.
func (h *Home) Ask(now time.Time, from Entry, m msg.GrantAsk) {
	h.entries[m.Ask.Attempt] = from.Name
	m.Ask.DataCentre = h.nearTo(from)
	h.decide(now, h.placement.Ask(now, m.Ask))
}

func (h *Home) decide(now time.Time, ds []placement.Decision) {
	for _, d := range ds {
		m := msg.GrantAnswer{Pool: h.service, Decision: d, TTL: grantTTL}
		if u := h.upstreams[d.Upstream]; u != nil {
			m.Address = u.Address
			if h.part || now.Sub(u.Seen) < knownAfter {
				m.Entry = &u.Entry
			}
		}
		h.send(h.entries[d.Attempt], m)
		switch d.Kind {
		case placement.Refused:
			delete(h.entries, d.Attempt)
		case placement.Granted:
			f := d.Forecast
			h.note("granted", "request", d.Attempt, "entry", h.entries[d.Attempt], "upstream", d.Upstream, "unread", f.Unread, "first", f.First, "pace", f.Pace, "output", f.Output, "free", f.Free)
		}
	}
}

// End releases what an attempt held.
func (h *Home) End(now time.Time, m msg.GrantEnd) {
	delete(h.entries, m.Attempt)
	h.ran(now, m)
	h.decide(now, h.placement.End(now, m.Attempt, m.Tokens, !m.Failed && !m.Cut))
	h.evacuate(now)
}

// ran notes how an upstream ended what it was given. One that leaves cuts off
// what it runs, which says nothing about it.
func (h *Home) ran(now time.Time, m msg.GrantEnd) {
	u := h.upstreams[m.Upstream]
	if m.Unreachable {
		h.Unreachable(now, m.Upstream)
	}
	if u == nil || m.Cut || m.Unreachable || !u.TakesWork() {
		return
	}
	r := h.failures[m.Upstream]
	if r == nil {
		r = &health.Record{}
		h.failures[m.Upstream] = r
	}
	r.Note(now, m.Failed)
	if m.Failed {
		h.note("upstream_failed", "request", m.Attempt, "upstream", m.Upstream, "failure_rate", r.Rate(now))
		h.report(now, u)
	}
}

// failureRate is the share of failures among what an upstream ended of late.
func (h *Home) failureRate(now time.Time, id string) float64 {
	if r := h.failures[id]; r != nil && !h.without.Has(mechanism.Failures) {
		return r.Rate(now)
	}
	return 0
}

// Announce takes an entry's word of what it runs.
func (h *Home) Announce(now time.Time, from Entry, m msg.Announce) {
	for _, a := range m.Running {
		h.entries[a.Ask.Attempt] = from.Name
		a.Ask.DataCentre = h.nearTo(from)
		h.placement.Running(now, a.Ask, a.Upstream, placement.Sighting{Tokens: a.Tokens, Pace: a.Pace})
	}
}

// Begun takes an entry's word that the first token of an attempt has come: its run
// can be moved from now on.
func (h *Home) Begun(now time.Time, m msg.Begun) {
	h.decide(now, h.placement.Began(now, m.Attempt))
	h.evacuate(now)
}

// Tick grants what waited and drops what nobody follows any more.
func (h *Home) Tick(now time.Time) {
	h.lapseCopies(now)
	h.decide(now, h.placement.Tick(now))
	for _, o := range h.placement.Orphans(now, orphanAfter) {
		delete(h.entries, o.Attempt)
		h.note("grant_dropped", "request", o.Attempt, "upstream", o.Upstream, "why", "entry_silent")
	}
	h.evacuate(now)
}
