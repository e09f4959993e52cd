package placement

import (
	"time"
)

// Progress is an entry's announcement of a running attempt.
type Progress struct {
	// Tokens is the number of output tokens so far.
	Tokens int
	// Pace is the time per token without concurrent prefill; 0 if unknown.
	Pace time.Duration
}

// RecordRunning records an entry's announcement that an attempt runs on an upstream. A new home
// rebuilds its ledger from announcements.
func (h *Home) RecordRunning(now time.Time, req Request, name string, s Progress) {
	if g := h.granted[req.Attempt]; g != nil {
		g.lastSeen = now
		g.recordProgress(now, s.Tokens)
		if s.Tokens > 0 {
			g.upstream.backlog.complete(now, g)
		}
		h.relocate(now, g, name)
		if s.Pace > 0 && g.upstream.name == name {
			h.recordPace(now, g.upstream, s.Pace)
		}
		return
	}
	u := h.byName[name]
	if u == nil || h.ended.has(req.Attempt) {
		return
	}
	if q := h.queue.byAttempt[req.Attempt]; q != nil {
		h.queue.remove(q)
	}
	h.addGrant(&grant{req: req, upstream: u, grantedAt: now, lastSeen: now, tokens: s.Tokens, tokensKnownAt: now, prefilled: s.Tokens > 0})
}

// relocate moves a grant to the upstream on which its entry announces the attempt: an entry that
// could not use the granted upstream selects another one. A single announcement is not enough,
// as it may have been sent before a move.
func (h *Home) relocate(now time.Time, g *grant, name string) {
	if name == g.upstream.name {
		g.otherUpstream = ""
		return
	}
	if g.otherUpstream != name {
		g.otherUpstream, g.otherSince = name, now
		return
	}
	if now.Sub(g.otherSince) >= minProgressInterval {
		g.otherUpstream = ""
		h.Move(g.req.Attempt, name)
	}
}

// Orphan is a grant that no entry announces any more.
type Orphan struct {
	Attempt  string
	Upstream string
}

// Orphans drops and returns the grants that no entry has requested or announced for longer than
// silent.
func (h *Home) Orphans(now time.Time, silent time.Duration) []Orphan {
	var out []Orphan
	for _, u := range h.upstreams {
		for _, g := range append([]*grant(nil), u.grants...) {
			if now.Sub(g.lastSeen) <= silent {
				continue
			}
			out = append(out, Orphan{Attempt: g.req.Attempt, Upstream: u.name})
			h.release(g)
		}
	}
	return out
}
