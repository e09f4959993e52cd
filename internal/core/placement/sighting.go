package placement

import (
	"time"
)

// Sighting is an entry's announcement of a running attempt.
type Sighting struct {
	// Tokens is the number produced so far.
	Tokens int
	// Pace is the time per token without prefill beside it; 0 if unknown.
	Pace time.Duration
}

// Running records that an attempt runs on an upstream. A new home rebuilds its ledger from
// these.
func (h *Home) Running(now time.Time, ask Ask, name string, s Sighting) {
	if g := h.granted[ask.Attempt]; g != nil {
		g.seen = now
		g.sight(now, s.Tokens)
		if s.Tokens > 0 {
			g.upstream.backlog.read(now, g)
		}
		h.locate(now, g, name)
		if s.Pace > 0 && g.upstream.name == name {
			h.learnPace(now, g.upstream, s.Pace)
		}
		return
	}
	u := h.byName[name]
	if u == nil || h.ended.has(ask.Attempt) {
		return
	}
	if q := h.queue.byID[ask.Attempt]; q != nil {
		h.queue.remove(q)
	}
	h.hold(&grant{ask: ask, upstream: u, at: now, seen: now, tokens: s.Tokens, known: now, begun: s.Tokens > 0})
}

// locate moves a grant to the upstream that its entry reports, as entries that could not use a
// grant choose for themselves. A single report is not enough, as it may precede a move.
func (h *Home) locate(now time.Time, g *grant, name string) {
	if name == g.upstream.name {
		g.elsewhere = ""
		return
	}
	if g.elsewhere != name {
		g.elsewhere, g.elsewhereAt = name, now
		return
	}
	if now.Sub(g.elsewhereAt) >= minSightingInterval {
		g.elsewhere = ""
		h.Move(g.ask.Attempt, name)
	}
}

// Orphan is a grant whose entry has fallen silent.
type Orphan struct {
	Attempt  string
	Upstream string
}

// Orphans drops and returns the grants that no entry has announced for a time.
func (h *Home) Orphans(now time.Time, silent time.Duration) []Orphan {
	var out []Orphan
	for _, u := range h.upstreams {
		for _, g := range append([]*grant(nil), u.grants...) {
			if now.Sub(g.seen) <= silent {
				continue
			}
			out = append(out, Orphan{Attempt: g.ask.Attempt, Upstream: u.name})
			h.release(g)
		}
	}
	return out
}
