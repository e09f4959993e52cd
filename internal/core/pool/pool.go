// Package pool implements the home of an engine pool on a hosting platform: the instance that
// places the pool's generations and moves them off leaving upstreams. Its state is soft: the next
// home rebuilds it from the announcements of the entries. The package does no I/O.
//
// pool.go places generations, upstreams.go tracks the upstreams, and evacuate.go orders moves.
package pool

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/health"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

const (
	// grantTTL is how long an entry may use a grant. It stops entries that were frozen in the
	// meantime from using an outdated one.
	grantTTL = time.Second
	// orphanTimeout is how long a grant is kept without being announced by an entry.
	orphanTimeout = 3 * time.Second
	// initialPrefillRate is the prefill throughput, in tokens a second, that is assumed until it
	// has been measured.
	initialPrefillRate = 7200
	// failurePenalty, multiplied by the failure rate of an upstream, is added to the cost of the
	// upstream, in seconds of time in flight. Without it a failing engine, which frees its slots
	// at once, would appear idle and get more work.
	failurePenalty = 20.0
	// unreachableBackoff is how long an upstream gets no new work after a failed connection.
	// Failed upstreams stay listed for three heartbeats, and throughout an outage of the store.
	unreachableBackoff = 1500 * time.Millisecond
	// probeInterval is the interval at which upstreams are probed for whether they are leaving.
	// Notices can be as short as 1.5 s, and the store may be unavailable when they are given.
	probeInterval = time.Second
	// maxStoreAge is the age of the store's last reply above which the store is assumed to be
	// unavailable and outageProbeInterval replaces probeInterval.
	maxStoreAge         = 900 * time.Millisecond
	outageProbeInterval = 300 * time.Millisecond
	// propagationTime is how long after an upstream is first listed here it may be unknown to
	// entries, which may receive the list through relays.
	propagationTime = 3 * time.Second
	// AnnounceInterval is the minimum interval between an entry's announcements. The interval is
	// announcePerRun for each running generation if that is longer, up to maxAnnounceInterval.
	// The attempts of an entry that announces nothing for orphanTimeout are dropped.
	AnnounceInterval    = 500 * time.Millisecond
	announcePerRun      = 8 * time.Millisecond
	maxAnnounceInterval = orphanTimeout / 2
)

// AnnouncePause returns the interval between announcements for a number of running generations.
func AnnouncePause(running int) time.Duration {
	return min(max(AnnounceInterval, time.Duration(running)*announcePerRun), maxAnnounceInterval)
}

// OutgoingMessage is a message to be sent to another instance.
type OutgoingMessage struct {
	// To is the name of the receiving instance.
	To  string
	Msg msg.Message
}

// Home makes the decisions for one pool. It is not safe for concurrent use.
type Home struct {
	service string
	engine  route.Engine
	without mechanism.Set
	// isGroup is set if the pool is a group of a divided service. Grants then contain the row of
	// the upstream in the store's list, as entries do not know the upstreams of groups.
	isGroup   bool
	placement *placement.Home
	upstreams map[string]*roster.Upstream
	// entries maps attempts to the instances that requested them.
	entries     map[string]string
	evacuations map[string]*evacuation
	// coldRate is the request rate that a cold upstream accepts; 0 means no limit.
	coldRate float64
	// rateLimits holds the limits that upstreams state, by id. Grants are paced by them, so that
	// an entry seldom finds that it gets no permit for a granted upstream.
	rateLimits map[string]ratelimit.Limit
	// fullUntil holds, for each destination that had no room for a copy, until when it is
	// skipped.
	fullUntil map[string]time.Time
	// abandoned holds copies that occupy memory until they expire.
	abandoned []abandonedCopy
	// unreachable holds when a connection to each upstream last failed.
	unreachable map[string]time.Time
	// failures holds the recent outcomes of each upstream.
	failures map[string]*health.Record
	// queuedAt holds, by request, when a request was first queued that has had no token yet.
	queuedAt map[string]time.Time
	// speedNotes holds what was logged about the speed of each upstream.
	speedNotes map[string]*slowdown.Noted
	// ownNotices holds when each upstream itself reported that it is leaving.
	ownNotices map[string]time.Time
	// probedAt holds when each upstream was last probed.
	probedAt map[string]time.Time
	// lastOrder is the number of the last move order.
	lastOrder int64
	// probes, out and notes hold the results that the caller has not yet taken.
	probes []Probe
	out    []OutgoingMessage
	notes  []Note
	counts []Count
	// ranks holds the ranks that entries have stated.
	ranks knownRanks
}

// Probe is an upstream to be probed for whether it is leaving.
type Probe struct {
	ID      string
	Address string
}

// Note is a log event.
type Note struct {
	Event string
	// Pairs alternates keys and values.
	Pairs []any
}

// NewHome returns the home of a pool. service is the name of a service or of a group of its
// upstreams. without holds the disabled mechanisms; ways selects alternative algorithms.
func NewHome(service string, engine route.Engine, without mechanism.Set, ways mechanism.Ways) *Home {
	engine.Moves = engine.Moves && !without.Has(mechanism.Moves)
	return &Home{
		service: service, engine: engine, without: without, isGroup: roster.ParseGroup(service).Count > 0, upstreams: map[string]*roster.Upstream{},
		entries: map[string]string{}, evacuations: map[string]*evacuation{}, fullUntil: map[string]time.Time{},
		unreachable: map[string]time.Time{}, ownNotices: map[string]time.Time{}, probedAt: map[string]time.Time{}, failures: map[string]*health.Record{}, speedNotes: map[string]*slowdown.Noted{}, queuedAt: map[string]time.Time{},
		ranks: knownRanks{},
		placement: placement.NewHome(placement.Settings{
			Weights: config.Weights{Stall: 1, Preemptions: 1, Tail: 1}, Engine: true, Service: service,
			PromptRate: initialPrefillRate, Predict: true, Without: without, Ways: ways,
		}),
	}
}

// TakeMessages returns and clears the outgoing messages.
func (h *Home) TakeMessages() []OutgoingMessage {
	out := h.out
	h.out = nil
	return out
}

// Probes returns and clears the upstreams to be probed.
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

func (h *Home) send(to string, m msg.Message) { h.out = append(h.out, OutgoingMessage{To: to, Msg: m}) }

func (h *Home) note(event string, pairs ...any) {
	h.notes = append(h.notes, Note{Event: event, Pairs: append(pairs, "pool", h.service)})
}

// Entry identifies the instance that sent a message: the entry of a generation's caller.
type Entry struct {
	Name       string
	DataCentre string
}

// nearTo returns the preferred data centre for an entry's generations, or "" if none is preferred.
func (h *Home) nearTo(from Entry) string {
	if h.without.Has(mechanism.Near) {
		return ""
	}
	return from.DataCentre
}

// Place processes an entry's request to place a generation.
func (h *Home) Place(now time.Time, from Entry, m msg.GrantRequest) {
	m.Request.Rank = h.ranks.of(&m.Request)
	h.place(now, from, m)
}

func (h *Home) place(now time.Time, from Entry, m msg.GrantRequest) {
	if _, known := h.entries[m.Request.Attempt]; !known {
		h.keepPlace(now, &m.Request)
	}
	h.entries[m.Request.Attempt] = from.Name
	m.Request.DataCentre = h.nearTo(from)
	h.decide(now, h.placement.Place(now, m.Request))
}

// decide sends decisions to the entries that requested them.
func (h *Home) decide(now time.Time, ds []placement.Decision) {
	for _, d := range ds {
		m := msg.GrantResponse{Pool: h.service, Decision: d, TTL: grantTTL}
		if u := h.upstreams[d.Upstream]; u != nil {
			m.Address = u.Address
			if h.isGroup || now.Sub(u.FirstSeen) < propagationTime {
				m.Entry = &u.Entry
			}
		}
		h.send(h.entries[d.Attempt], m)
		if d.Turn {
			h.noteTurn(d)
		}
		switch d.Kind {
		case placement.Queued:
			h.recordQueued(now, d.Attempt)
		case placement.Refused:
			h.noteRefusal(d)
			delete(h.entries, d.Attempt)
			delete(h.queuedAt, requestOf(d.Attempt))
		case placement.Granted:
			f := d.Forecast
			pairs := []any{"request", d.Attempt, "entry", h.entries[d.Attempt], "upstream", d.Upstream, "unread", f.Unread, "first", f.First, "pace", f.Pace, "output", f.Output, "free", f.Free}
			if f.Slowdown != 0 {
				pairs = append(pairs, "slowdown", f.Slowdown)
			}
			h.note("granted", pairs...)
		}
	}
}

// End processes the end of an attempt and releases its grant.
func (h *Home) End(now time.Time, m msg.GrantEnd) {
	delete(h.entries, m.Attempt)
	h.recordOutcome(now, m)
	if m.Tokens > 0 {
		delete(h.queuedAt, requestOf(m.Attempt))
	}
	h.decide(now, h.placement.End(now, m.Attempt, m.Tokens, !m.Failed && !m.CallerDisconnected))
	h.evacuate(now)
}

// recordOutcome records whether an upstream failed an attempt. Streams broken off by a
// leaving upstream do not count, as they say nothing about its health.
func (h *Home) recordOutcome(now time.Time, m msg.GrantEnd) {
	u := h.upstreams[m.Upstream]
	if m.Unreachable {
		h.Unreachable(now, m.Upstream)
	}
	if u == nil || m.CallerDisconnected || m.Unreachable || !u.TakesWork() {
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

// failureRate returns the fraction of an upstream's recent attempts that failed.
func (h *Home) failureRate(now time.Time, id string) float64 {
	if r := h.failures[id]; r != nil && !h.without.Has(mechanism.Failures) {
		return r.Rate(now)
	}
	return 0
}

// Announce processes an entry's announcement of its running generations.
func (h *Home) Announce(now time.Time, from Entry, m msg.Announce) {
	for _, a := range m.Running {
		h.entries[a.Request.Attempt] = from.Name
		a.Request.DataCentre = h.nearTo(from)
		h.placement.RecordRunning(now, a.Request, a.Upstream, placement.Progress{Tokens: a.Tokens, Pace: a.Pace})
	}
}

// OnFirstToken processes the first token of an attempt. From then on its generation can be moved.
func (h *Home) OnFirstToken(now time.Time, m msg.FirstToken) {
	h.decide(now, h.placement.OnFirstToken(now, m.Attempt))
	h.evacuate(now)
}

// Tick grants or refuses queued requests, drops orphaned grants and continues evacuations. It is
// called periodically.
func (h *Home) Tick(now time.Time) {
	h.expireCopies(now)
	h.expireQueued(now)
	h.decide(now, h.placement.Tick(now))
	for _, o := range h.placement.Orphans(now, orphanTimeout) {
		delete(h.entries, o.Attempt)
		h.note("grant_dropped", "request", o.Attempt, "upstream", o.Upstream, "why", "entry_silent")
	}
	h.evacuate(now)
}
