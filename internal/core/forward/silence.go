package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

const (
	// silenceFactor is the time without an event, in multiples of the route's maximum gap,
	// after which the upstream is asked. Lost packets and moves take one to one and a half
	// gaps.
	silenceFactor = 2
	// minSilence is its minimum: upstream reports lag by some hundred milliseconds.
	minSilence = 300 * time.Millisecond
	// firstShare is the part of the target latency after which an upstream is asked about a
	// stream that has not begun.
	firstShare = 0.6
	// questionInterval is the initial interval between questions about a stream. It doubles up
	// to maxQuestionInterval: questions are priced, and a loaded engine can be silent for
	// seconds.
	questionInterval    = 300 * time.Millisecond
	maxQuestionInterval = 2400 * time.Millisecond
	// missingSure is the number of consecutive reports without the generation that prove it
	// gone: the first may predate its start.
	missingSure = 2
)

// RunReport is an upstream's report about one generation.
type RunReport struct {
	// Listed is set if the upstream runs it; Events counts the events produced.
	Listed bool
	Events int
	// Waiting counts the requests queued at the upstream.
	Waiting int
}

// Finding is the diagnosis of a silent stream.
type Finding string

// Findings about silent streams.
const (
	// FindingWaits: no event is missing here.
	FindingWaits Finding = "waits"
	// FindingLinkSilent: the upstream produces events that do not arrive.
	FindingLinkSilent Finding = "link_silent"
	// FindingGone: the upstream does not run the generation, or produces it for nobody.
	FindingGone Finding = "gone"
)

// silence tracks the time without events of an attempt.
type silence struct {
	// heard is the time of the last event, or of the attempt's start; begun is set after the
	// first event.
	heard time.Time
	begun bool
	// next is the time of the next question, questions the number since the last event.
	next      time.Time
	questions int
	// missing counts consecutive reports without the generation.
	missing int
}

// begin starts tracking an attempt.
func (s *silence) begin(now time.Time, r *route.Route) {
	first := max(time.Duration(firstShare*float64(r.Target)), minSilence)
	*s = silence{heard: now, next: now.Add(first)}
}

// note records an event.
func (s *silence) note(now time.Time, r *route.Route) {
	*s = silence{heard: now, begun: true, next: now.Add(max(silenceFactor*r.MaxGap, minSilence))}
}

// QuestionDue reports whether the upstream must be asked about a stream that has been silent
// for too long, and schedules the next question. A connection may have lost its state in the
// network, so that it stays open but delivers nothing. Only engines report their generations.
func (g *Gate) QuestionDue(now time.Time, c *Call) bool {
	if g.options.Without.Has(mechanism.SilenceProbes) {
		return false
	}
	if c.current == nil || !c.Route.Generation || c.Route.Kind != route.Stream || now.Before(c.silence.next) {
		return false
	}
	if s := g.table.Service(c.Service); s == nil || s.Engine == nil {
		return false
	}
	pause := min(questionInterval<<min(c.silence.questions, 8), maxQuestionInterval)
	c.silence.questions++
	c.silence.next = now.Add(pause)
	return true
}

// Judge interprets an upstream's report about an attempt. Without moves, a stream that an
// engine produces for nobody is given up if it can be resumed elsewhere.
func (g *Gate) Judge(c *Call, a *Attempt, asked time.Time, r RunReport) Finding {
	switch {
	case c.current != a || c.silence.heard.After(asked):
		return FindingWaits // it has spoken meanwhile, or ended
	case r.Listed && r.Events > c.Events && g.moves(c):
		return FindingLinkSilent
	case r.Listed && r.Events > c.Events && c.Route.Repeatable():
		return FindingGone
	case r.Listed || r.Waiting > 0:
		c.silence.missing = 0
		return FindingWaits
	}
	c.silence.missing++
	if c.silence.missing < missingSure {
		return FindingWaits
	}
	return FindingGone
}

// moves reports whether the call's generation can be moved.
func (g *Gate) moves(c *Call) bool {
	s := g.table.Service(c.Service)
	return s != nil && s.Engine != nil && s.Engine.Moves
}

// Refuge returns the upstream to move a generation to whose connection went silent, or nil.
func (g *Gate) Refuge(now time.Time, c *Call) *roster.Upstream { return g.choose(now, c) }
