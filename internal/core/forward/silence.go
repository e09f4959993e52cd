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
	// missingReports is the number of consecutive reports without the generation that prove that
	// the upstream does not run it: the first report may predate its start.
	missingReports = 2
)

// RunReport is an upstream's report about one generation.
type RunReport struct {
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
	// missing is the number of consecutive reports without the generation.
	missing int
}

// begin resets the state at the start of an attempt.
func (s *silence) begin(now time.Time, r *route.Route) {
	first := max(time.Duration(firstQueryShare*float64(r.Target)), minSilence)
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

// QueryDue reports whether a query to the upstream is due about a stream that has been silent
// for too long, and schedules the next query. A network device may have lost track of the
// connection, which then stays open but delivers nothing. Only engines report their generations.
func (g *Gate) QueryDue(now time.Time, c *Call) bool {
	if g.options.Without.Has(mechanism.SilenceProbes) {
		return false
	}
	if c.current == nil || c.readingPaused || !c.Route.Generation || c.Route.Kind != route.Stream || now.Before(c.silence.nextQuery) {
		return false
	}
	if s := g.table.Service(c.Service); s == nil || s.Engine == nil {
		return false
	}
	interval := min(queryInterval<<min(c.silence.queries, 8), maxQueryInterval)
	c.silence.queries++
	c.silence.nextQuery = now.Add(interval)
	return true
}

// Diagnose returns the diagnosis for an attempt from the upstream's report r; queriedAt is when
// the report was requested. A stream whose events do not arrive is moved if the engine supports
// moves, else abandoned if it can be resumed at another upstream.
func (g *Gate) Diagnose(c *Call, a *Attempt, queriedAt time.Time, r RunReport) Finding {
	switch {
	case c.current != a || c.silence.lastEvent.After(queriedAt):
		return FindingWaiting // an event has arrived since, or the attempt has ended
	case r.Listed && r.Events > c.Events && g.canMove(c):
		return FindingLinkSilent
	case r.Listed && r.Events > c.Events && c.Route.Repeatable():
		return FindingLost
	case r.Listed || r.Waiting > 0:
		c.silence.missing = 0
		return FindingWaiting
	}
	c.silence.missing++
	if c.silence.missing < missingReports {
		return FindingWaiting
	}
	return FindingLost
}

// canMove reports whether the call's generation can be moved.
func (g *Gate) canMove(c *Call) bool {
	s := g.table.Service(c.Service)
	return s != nil && s.Engine != nil && s.Engine.Moves
}

// MoveTarget returns the upstream to which to move a generation whose connection is silent, or nil
// if no upstream accepts it.
func (g *Gate) MoveTarget(now time.Time, c *Call) *roster.Upstream {
	if c.origin == nil && c.current != nil {
		c.bind(c.current.Entry) // for its memory, which the target needs, though there is no event yet
		defer func() { c.origin = nil }()
	}
	return g.choose(now, c)
}
