// Package pool is the home of an engine pool on a hosting platform: one instance that places
// the pool's generations and moves them off leaving upstreams. Its state is soft: a successor
// rebuilds it from the entries' announcements. It does no I/O.
//
// pool.go places generations, upstreams.go tracks the upstreams, evacuate.go orders moves.
package pool

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/health"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

const (
	// grantTTL bounds the use of a grant by an entry that was frozen in the meantime.
	grantTTL = time.Second
	// orphanTimeout is how long a grant is kept that no entry announces.
	orphanTimeout = 3 * time.Second
	// firstPromptRate is the assumed prefill throughput in tokens a second before any was
	// measured.
	firstPromptRate = 7200
	// failurePenalty is the cost of a failure rate of 1, in seconds in flight. Without it a
	// failing engine, which frees its slots at once, would look idle and attract work.
	failurePenalty = 20.0
	// unreachableBackoff is how long an unreachable upstream gets no new work. Dead ones stay
	// listed for three heartbeats, and throughout an outage of the store.
	unreachableBackoff = 1500 * time.Millisecond
	// probeInterval is the interval at which upstreams are asked whether they are leaving.
	// Notices can be as short as 1.5 s, and the store may be unavailable when they arrive.
	probeInterval = time.Second
	// storeFresh is the age of the store's last answer from which outageProbeInterval is used
	// instead.
	storeFresh          = 900 * time.Millisecond
	outageProbeInterval = 300 * time.Millisecond
	// propagationTime is how long after an upstream was listed here entries may not know it
	// yet: relays may be in between.
	propagationTime = 3 * time.Second
	// AnnounceInterval is the minimum interval of an entry's announcements, to which
	// announcePerRun is added for each running generation, up to maxAnnounceInterval. An entry
	// that is silent for orphanTimeout counts as dead.
	AnnounceInterval    = 500 * time.Millisecond
	announcePerRun      = 8 * time.Millisecond
	maxAnnounceInterval = orphanTimeout / 2
)

// AnnouncePause returns the interval of announcements for a number of running generations.
func AnnouncePause(running int) time.Duration {
	return min(max(AnnounceInterval, time.Duration(running)*announcePerRun), maxAnnounceInterval)
}

// Out is an outgoing message.
type Out struct {
	To  string
	Msg msg.Message
}

// Home makes the decisions for one pool. It is not safe for concurrent use.
type Home struct {
	service string
	engine  route.Engine
	without mechanism.Set
	// part is set for a group of a divided service, whose upstreams entries do not know.
	part      bool
	placement *placement.Home
	upstreams map[string]*roster.Upstream
	// entries maps attempts to the instances that requested them.
	entries     map[string]string
	evacuations map[string]*evacuation
	// coldRate is the request rate that a cold upstream accepts; 0 means no limit.
	coldRate float64
	// full holds until when a destination is skipped that had no room for a copy.
	full map[string]time.Time
	// abandoned holds copies that occupy memory until they expire.
	abandoned []abandoned
	// unreachable and probedAt hold when each upstream was last found unreachable and last
	// asked.
	unreachable map[string]time.Time
	// failures holds the recent outcomes of each upstream.
	failures map[string]*health.Record
	// own holds the upstreams that reported leaving themselves.
	own      map[string]time.Time
	probedAt map[string]time.Time
	number   int64
	probes   []Probe
	out      []Out
	notes    []Note
}

// Probe is an upstream to ask for its state.
type Probe struct {
	ID      string
	Address string
}

// Note is a log event.
type Note struct {
	Event string
	Pairs []any
}

// NewHome returns the home of a pool: a service or a group of its upstreams. without lists
// disabled mechanisms, ways alternative ways of deciding.
func NewHome(service string, engine route.Engine, without mechanism.Set, ways mechanism.Ways) *Home {
	engine.Moves = engine.Moves && !without.Has(mechanism.Moves)
	return &Home{
		service: service, engine: engine, without: without, part: roster.ParseGroup(service).Of > 0, upstreams: map[string]*roster.Upstream{},
		entries: map[string]string{}, evacuations: map[string]*evacuation{}, full: map[string]time.Time{},
		unreachable: map[string]time.Time{}, own: map[string]time.Time{}, probedAt: map[string]time.Time{}, failures: map[string]*health.Record{},
		placement: placement.NewHome(placement.Settings{
			Weights: config.Weights{Stall: 1, Preemptions: 1, Tail: 1}, Engine: true, Service: service,
			PromptRate: firstPromptRate, Predict: true, Without: without, Ways: ways,
		}),
	}
}

// Take returns and clears the outgoing messages.
func (h *Home) Take() []Out {
	out := h.out
	h.out = nil
	return out
}

// Probes returns and clears the upstreams to ask for their state.
func (h *Home) Probes() []Probe {
	probes := h.probes
	h.probes = nil
	return probes
}

// Notes returns and clears the log events.
func (h *Home) Notes() []Note {
	notes := h.notes
	h.notes = nil
	return notes
}

func (h *Home) send(to string, m msg.Message) { h.out = append(h.out, Out{To: to, Msg: m}) }

func (h *Home) note(event string, pairs ...any) {
	h.notes = append(h.notes, Note{Event: event, Pairs: append(pairs, "pool", h.service)})
}

// Entry is the sender of a message.
type Entry struct {
	Name       string
	DataCentre string
}

// nearTo returns the preferred data centre for an entry's generations.
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
			if h.part || now.Sub(u.Seen) < propagationTime {
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

// End releases an attempt.
func (h *Home) End(now time.Time, m msg.GrantEnd) {
	delete(h.entries, m.Attempt)
	h.ran(now, m)
	h.decide(now, h.placement.End(now, m.Attempt, m.Tokens, !m.Failed && !m.Cut))
	h.evacuate(now)
}

// ran records an attempt's outcome at its upstream. Streams cut by a leaving upstream say
// nothing about its health.
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

// failureRate is the share of recent attempts that an upstream failed.
func (h *Home) failureRate(now time.Time, id string) float64 {
	if r := h.failures[id]; r != nil && !h.without.Has(mechanism.Failures) {
		return r.Rate(now)
	}
	return 0
}

// Announce processes an entry's running generations.
func (h *Home) Announce(now time.Time, from Entry, m msg.Announce) {
	for _, a := range m.Running {
		h.entries[a.Ask.Attempt] = from.Name
		a.Ask.DataCentre = h.nearTo(from)
		h.placement.Running(now, a.Ask, a.Upstream, placement.Sighting{Tokens: a.Tokens, Pace: a.Pace})
	}
}

// Begun processes the first token of an attempt: from then on it can be moved.
func (h *Home) Begun(now time.Time, m msg.Begun) {
	h.decide(now, h.placement.Began(now, m.Attempt))
	h.evacuate(now)
}

// Tick grants waiting requests and drops orphaned grants.
func (h *Home) Tick(now time.Time) {
	h.lapseCopies(now)
	h.decide(now, h.placement.Tick(now))
	for _, o := range h.placement.Orphans(now, orphanTimeout) {
		delete(h.entries, o.Attempt)
		h.note("grant_dropped", "request", o.Attempt, "upstream", o.Upstream, "why", "entry_silent")
	}
	h.evacuate(now)
}
