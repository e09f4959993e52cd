// Package permits implements the home of the rate limits that upstreams state: the instance that
// grants to all instances together no more requests than an upstream accepts. Its state is soft.
// The next home learns the limit from the requests that it receives, and grants less than the limit
// until what its predecessor granted has left the window. The package does no I/O.
package permits

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
)

const (
	// permitTTL is how long a permit may be used. Permits that arrive later, after a pause of the
	// receiver or of the network, would be used together with those of that time.
	permitTTL = 500 * time.Millisecond
	// idleTimeout is how long the state of an upstream is kept to which no instance sends.
	idleTimeout = 5 * time.Minute
)

// OutgoingMessage is a message to be sent to another instance.
type OutgoingMessage struct {
	// To is the name of the receiving instance.
	To  string
	Msg msg.Message
}

// Note is a log event.
type Note struct {
	Event string
	// Pairs alternates keys and values.
	Pairs []any
}

// run identifies a process run of an upstream.
type run struct{ upstream, boot string }

// upstream is the state of one upstream.
type upstream struct {
	queue ratelimit.Queue
	// namedAt is when the last response with a limit arrived at an instance. endedAt is when the
	// request was sent whose response showed the end of the limit; zero while there is a limit.
	namedAt, endedAt time.Time
	lastUsed         time.Time
}

// Home decides the permits of the upstreams for which this instance receives messages. It is not
// safe for concurrent use.
type Home struct {
	upstreams map[run]*upstream
	out       []OutgoingMessage
	notes     []Note
}

// NewHome returns a home that knows no limits.
func NewHome() *Home { return &Home{upstreams: map[run]*upstream{}} }

// TakeMessages returns and clears the outgoing messages.
func (h *Home) TakeMessages() []OutgoingMessage {
	out := h.out
	h.out = nil
	return out
}

// Notes returns and clears the log events.
func (h *Home) Notes() []Note {
	notes := h.notes
	h.notes = nil
	return notes
}

// OnStatement processes what an upstream stated in a response to an instance.
func (h *Home) OnStatement(now time.Time, from string, m msg.RateStatement) {
	r := run{m.Upstream, m.Boot}
	u := h.upstreams[r]
	if u == nil {
		if !m.Stated {
			return // no limit is known here that could end
		}
		u = &upstream{}
		h.upstreams[r] = u
	}
	u.lastUsed = now
	before := u.queue.Limit()
	applied := u.apply(now, m)
	u.queue.CountBefore(now, m.Sent)
	if !applied {
		return
	}
	limit := u.queue.Limit()
	if before == limit {
		return
	}
	h.note("rate_limit_changed", "upstream", m.Upstream, "boot", m.Boot, "limit", limit.PerSecond, "limit_before", before.PerSecond, "source", from, "age", m.Age)
	h.decide(now, r, u, u.queue.Tick(now))
}

// apply updates the limit from a statement and reports whether the statement is newer than what is
// known.
func (u *upstream) apply(now time.Time, m msg.RateStatement) bool {
	at := now.Add(-m.Age)
	if m.Stated {
		if !at.After(u.namedAt) || !at.After(u.endedAt) {
			return false
		}
		u.namedAt, u.endedAt = at, time.Time{}
		u.queue.SetLimit(now, ratelimit.Of(m.PerSecond))
		return true
	}
	if !at.After(u.namedAt.Add(ratelimit.StatementSlack)) || !u.endedAt.IsZero() {
		return false
	}
	u.endedAt = at
	u.queue.SetLimit(now, ratelimit.Limit{})
	return true
}

// statement returns the message that states the current limit.
func (u *upstream) statement(now time.Time, r run) msg.RateStatement {
	limit := u.queue.Limit()
	at := u.namedAt
	if !limit.Stated {
		at = u.endedAt
	}
	return msg.RateStatement{
		Upstream: r.upstream, Boot: r.boot, Stated: limit.Stated, PerSecond: limit.PerSecond, Age: max(now.Sub(at), 0),
	}
}

// OnRequest decides an instance's request for a permit.
func (h *Home) OnRequest(now time.Time, from string, m msg.PermitRequest) {
	h.OnStatement(now, from, m.Limit)
	r := run{m.Limit.Upstream, m.Limit.Boot}
	u := h.upstreams[r]
	if u == nil {
		u = &upstream{}
		h.upstreams[r] = u
	}
	u.lastUsed = now
	h.decide(now, r, u, u.queue.Add(now, ratelimit.Request{
		ID: m.ID, Instance: from, Rank: m.Rank, MaxWait: m.MaxWait, MaxLateWait: m.MaxLateWait, Spare: m.Spare,
	}))
}

// OnCancel drops a queued request.
func (h *Home) OnCancel(m msg.PermitCancel) {
	if u := h.upstreams[run{m.Upstream, m.Boot}]; u != nil {
		u.queue.Drop(m.ID)
	}
}

// decide sends decisions to the instances that requested them.
func (h *Home) decide(now time.Time, r run, u *upstream, ds []ratelimit.Decision) {
	for _, d := range ds {
		h.out = append(h.out, OutgoingMessage{To: d.Instance, Msg: msg.PermitResponse{
			ID: d.ID, Outcome: d.Outcome, Wait: d.Wait, TTL: permitTTL, Limit: u.statement(now, r),
		}})
		if d.Outcome != ratelimit.Queued {
			h.note("permit_"+d.Outcome.String(), "request", d.ID, "entry", d.Instance, "upstream", r.upstream,
				"limit", u.queue.Limit().PerSecond, "rank", d.Rank, "ahead", d.Ahead, "retry_after", d.Wait)
		}
	}
}

// Tick decides the requests whose time has come and drops idle upstreams.
func (h *Home) Tick(now time.Time) {
	for r, u := range h.upstreams {
		h.decide(now, r, u, u.queue.Tick(now))
		if now.Sub(u.lastUsed) > idleTimeout {
			delete(h.upstreams, r)
		}
	}
}

// NextAt returns when Tick must be called next; zero if no request is queued.
func (h *Home) NextAt() (next time.Time) {
	for _, u := range h.upstreams {
		if at := u.queue.NextAt(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (h *Home) note(event string, pairs ...any) {
	h.notes = append(h.notes, Note{Event: event, Pairs: pairs})
}
