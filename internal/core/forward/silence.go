package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

const (
	// silenceFactor is the time without an event, in multiples of the route's maximum gap,
	// after which the upstream is queried. Lost packets and moves delay events by one to one
	// and a half gaps.
	silenceFactor = 2
	// minSilence is the minimum time without an event before a query: upstream reports lag by
	// some hundred milliseconds.
	minSilence = 300 * time.Millisecond
	// firstQueryShare is the fraction of the target latency after which an upstream is queried
	// about a stream that has not delivered any event.
	firstQueryShare = 0.6
	// queryInterval is the initial interval between queries about a stream. It doubles up to
	// maxQueryInterval: queries are priced, and a loaded engine can be silent for seconds.
	queryInterval    = 300 * time.Millisecond
	maxQueryInterval = 2400 * time.Millisecond
	// linkProof is for how long an upstream must report events that do not arrive before the stream is
	// moved. A move loses nothing if the events arrive after all, but a generation that ends first does.
	linkProof = 500 * time.Millisecond
	// lossProofShare is the fraction of the caller's patience for which an upstream must respond and
	// report nothing of a generation before its stream is given up. An upstream that was silent itself
	// reports what it did before, and what it has sent on open connections can arrive one and a half
	// seconds later than on new ones.
	lossProofShare = 1.0 / 3
	// minLossProof is the shortest such time.
	minLossProof = 2 * time.Second
	// maxOutOfReach is for how long an upstream may send nothing, neither events nor reports, before its
	// streams are given up, and outOfReachShare the fraction of the caller's patience, if that is longer.
	maxOutOfReach   = 3 * time.Second
	outOfReachShare = 1.0 / 2
	// maxReportAge is the greatest age of a report: what began later may be missing in it.
	maxReportAge = time.Second
)

// RunReport is an upstream's report about one generation.
type RunReport struct {
	// Born identifies the run of the upstream's process; 0 if unknown.
	Born int64
	// Listed is set if the upstream runs the generation. Events is the number of events that it
	// has produced.
	Listed bool
	Events int
	// Waiting is the number of requests queued at the upstream.
	Waiting int
}

// Finding is the diagnosis of a silent stream.
type Finding string

// Findings about silent streams.
const (
	// FindingWaiting: no event is known to be missing, or the generation can be neither moved nor
	// repeated. The call keeps waiting.
	FindingWaiting Finding = "waits"
	// FindingLinkSilent: the upstream produces events that do not arrive, and the generation can
	// be moved.
	FindingLinkSilent Finding = "link_silent"
	// FindingOutOfReach: the upstream has sent nothing for so long that it counts as gone.
	FindingOutOfReach Finding = "out_of_reach"
	// FindingLost: the upstream does not run the generation, or its events do not arrive and the
	// generation can be repeated at another upstream.
	FindingLost Finding = "gone"
)

// silence tracks how long an attempt's stream has delivered no event, and the queries about it.
type silence struct {
	// lastEvent is the time of the last event, or of the attempt's start before the first event.
	// hasEvent is set after the first event.
	lastEvent time.Time
	hasEvent  bool
	// nextQuery is the time of the next query. queries is the number of queries since the last
	// event.
	nextQuery time.Time
	queries   int
	// undeliveredSince and missingSince are when the first of the consecutive reports was requested that
	// showed events which have not arrived, or did not list the generation; zero if the last report did
	// not show that, or did not arrive.
	undeliveredSince, missingSince time.Time
	// failedAt is when the last query was sent that the upstream has not answered, and respondedAt when the
	// last report arrived.
	failedAt, respondedAt time.Time
}

// begin resets the state at the start of an attempt.
func (s *silence) begin(now time.Time, r *route.Route) {
	first := max(share(firstQueryShare, r.Target), minSilence)
	*s = silence{lastEvent: now, nextQuery: now.Add(first)}
}

// onEvent records the arrival of an event.
func (s *silence) onEvent(now time.Time, r *route.Route) {
	*s = silence{lastEvent: now, hasEvent: true, nextQuery: now.Add(max(silenceFactor*r.MaxGap, minSilence))}
}

// SilentFor returns how long the current attempt's stream has delivered no event.
func (c *Call) SilentFor(now time.Time) time.Duration { return now.Sub(c.silence.lastEvent) }

// SetReadingPaused records whether reading is paused because the caller has not read earlier events.
// The upstream is not the cause of such a silence, which counts from the end of the pause.
func (c *Call) SetReadingPaused(now time.Time, paused bool) {
	c.readingPaused = paused
	if !paused {
		c.silence.onEvent(now, c.Route)
	}
}

// AwaitsEvents reports whether an attempt is in progress and the next event is read as soon as it arrives.
func (c *Call) AwaitsEvents(a *Attempt) bool { return c.current == a && !c.readingPaused }

// WatchesSilence reports whether upstreams are queried about a call's stream while it is silent.
func (g *Gate) WatchesSilence(c *Call) bool {
	return c.Route.Generation && c.Route.Kind == route.Stream && g.QueriesService(c.Service)
}

// QueriesService reports whether the upstreams of a service are queried about silent streams.
func (g *Gate) QueriesService(name string) bool {
	s := g.service(name)
	return s != nil && s.Engine != nil && !g.options.Without.Has(mechanism.SilenceProbes)
}

// Reports reports whether the upstreams of a service report their generations.
func (g *Gate) Reports(name string) bool {
	s := g.service(name)
	return s != nil && s.Engine != nil
}

// QueryDue reports whether a query to the upstream is due about a stream that has been silent
// for too long, and schedules the next query. A network device may have lost track of the
// connection, which then stays open but delivers nothing. Only engines report their generations.
func (g *Gate) QueryDue(now time.Time, c *Call) bool {
	if c.current == nil || c.readingPaused || now.Before(c.silence.nextQuery) || !g.WatchesSilence(c) {
		return false
	}
	interval := min(queryInterval<<min(c.silence.queries, 8), maxQueryInterval)
	c.silence.queries++
	c.silence.nextQuery = now.Add(interval)
	return true
}

// Responded records that the upstream of an attempt has responded to a query.
func (c *Call) Responded(now time.Time, a *Attempt) {
	if c.current == a {
		c.silence.respondedAt = now
	}
}

// QueryFailed records that an upstream did not respond to the query about an attempt that was sent at
// queriedAt, and returns the diagnosis. The upstream may be silent itself, so that earlier reports are no
// evidence any more.
func (g *Gate) QueryFailed(now time.Time, c *Call, a *Attempt, queriedAt time.Time) Finding {
	s := &c.silence
	if c.current != a || s.lastEvent.After(queriedAt) || s.respondedAt.After(queriedAt) {
		return FindingWaiting
	}
	s.undeliveredSince, s.missingSince, s.failedAt = time.Time{}, time.Time{}, queriedAt
	lastSign := s.lastEvent
	if s.respondedAt.After(lastSign) {
		lastSign = s.respondedAt
	}
	limit := maxOutOfReach
	if !g.mayRepeat(now, c) {
		limit = max(limit, share(outOfReachShare, c.Route.Patience()))
	}
	return s.conclude(FindingOutOfReach, now, lastSign, limit)
}

// Diagnose returns the diagnosis for an attempt from the upstream's report r; queriedAt is when
// the report was requested. A finding other than FindingWaiting moves the stream or closes its connection,
// so that a report counts only if all reports have shown the same for long enough: a sound upstream may
// be silent for a second or two and go on. A stream whose events do not arrive is moved if the engine
// supports moves, else abandoned if it can be resumed at another upstream.
func (g *Gate) Diagnose(now time.Time, c *Call, a *Attempt, queriedAt time.Time, r RunReport) Finding {
	s := &c.silence
	c.Responded(now, a)
	if c.current != a || s.lastEvent.After(queriedAt) || s.failedAt.After(queriedAt) {
		return FindingWaiting // an event has arrived since, the upstream was silent since, or the attempt has ended
	}
	received, known := c.received()
	s.undeliveredSince = heldSince(s.undeliveredSince, queriedAt, r.Listed && known && r.Events > received)
	s.missingSince = heldSince(s.missingSince, queriedAt, !r.Listed && r.Waiting == 0)
	switch {
	case !s.undeliveredSince.IsZero() && g.canMove(c):
		return s.conclude(FindingLinkSilent, queriedAt, s.undeliveredSince, linkProof)
	case !s.undeliveredSince.IsZero() && g.mayRepeat(now, c):
		return g.orRepeat(now, c, s.conclude(FindingLost, queriedAt, s.undeliveredSince, lossProof(c.Route)))
	case s.missingSince.IsZero():
		return FindingWaiting
	case c.Events == 0 && g.mayRepeat(now, c) && g.anotherTakes(now, c):
		return g.orRepeat(now, c, s.conclude(FindingLost, queriedAt, s.missingSince, maxReportAge))
	}
	return s.conclude(FindingLost, queriedAt, s.missingSince, lossProof(c.Route))
}

// orRepeat returns a finding about a call that is repeated if it is lost.
func (g *Gate) orRepeat(now time.Time, c *Call, f Finding) Finding {
	if f == FindingLost {
		g.reserveRetry(now, c)
	}
	return f
}

// heldSince returns since when reports have shown something, given the time before the report that was
// requested at queriedAt; zero if this one does not show it.
func heldSince(since, queriedAt time.Time, shown bool) time.Time {
	switch {
	case !shown:
		return time.Time{}
	case since.IsZero() || queriedAt.Before(since):
		return queriedAt
	}
	return since
}

// conclude returns the finding if it has held since a time for as long as needed, as of another one. Otherwise
// the next query is due as soon as that can be the case.
func (s *silence) conclude(f Finding, asOf, since time.Time, needed time.Duration) Finding {
	if asOf.Sub(since) >= needed {
		return f
	}
	if at := since.Add(needed); at.Before(s.nextQuery) {
		s.nextQuery = at
	}
	return FindingWaiting
}

func share(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// lossProof returns for how long reports must miss a stream's generation before the stream is given up.
func lossProof(r *route.Route) time.Duration {
	return max(share(lossProofShare, r.Patience()), minLossProof)
}

// canMove reports whether the call's generation can be moved.
func (g *Gate) canMove(c *Call) bool {
	s := g.table.Service(c.Service)
	return s != nil && s.Engine != nil && s.Engine.Moves
}

// CanStop reports whether an upstream may run a call's generation, also if none of its events has arrived, and
// stops it when ordered to.
func (g *Gate) CanStop(c *Call) bool {
	return c.current != nil && c.Route.Kind == route.Stream && g.canMove(c)
}

// IsMovable reports whether a call's stream has begun and its generation can be moved.
func (g *Gate) IsMovable(c *Call) bool { return c.Events > 0 && g.CanStop(c) }

// MoveTarget returns the upstream to which to move a generation off its connection, or nil if no upstream
// accepts it.
func (g *Gate) MoveTarget(now time.Time, c *Call) *roster.Upstream {
	if c.origin == nil && c.current != nil {
		c.bind(c.current.Entry) // for its memory, which the target needs, though there is no event yet
		defer func() { c.origin = nil }()
	}
	return g.choose(now, c)
}
