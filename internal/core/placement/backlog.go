package placement

import "time"

// backlog is the prompts that an upstream has yet to compute. Upstreams prefill one prompt
// after another; the first token of an answer ends its prefill.
type backlog struct {
	// tokens is the sum over count prompts.
	tokens int
	count  int
	// since is the estimated start of the first prefill.
	since time.Time
}

// add adds a grant.
func (b *backlog) add(g *grant) {
	if g.begun {
		return
	}
	if b.count == 0 {
		b.since = g.at
	}
	g.alone = b.count == 0
	b.tokens += g.ask.Prompt
	b.count++
}

// drop removes a grant that ended or moved before its first token.
func (b *backlog) drop(g *grant) {
	if g.begun {
		return
	}
	b.tokens -= g.ask.Prompt
	b.count--
}

// read removes a grant whose prefill is complete.
func (b *backlog) read(now time.Time, g *grant) {
	if g.begun {
		return
	}
	b.drop(g)
	g.begun, b.since = true, now
}

// unreadTimeout is how long an unread prompt counts without a word from its entry, which
// announces all its runs every 1.5 s at the latest.
const unreadTimeout = 1600 * time.Millisecond

// forget drops the prompts whose entries have fallen silent.
func (b *backlog) forget(now time.Time, grants []*grant) {
	for _, g := range grants {
		if !g.begun && now.Sub(g.seen) > unreadTimeout {
			b.read(now, g)
		}
	}
}

// Began records the first token of an attempt and grants what waited for it. The time to first
// token of a prompt that was alone measures the prefill throughput.
func (h *Home) Began(now time.Time, attempt string) []Decision {
	g := h.granted[attempt]
	if g == nil || g.begun {
		return nil
	}
	u := g.upstream
	if took := now.Sub(g.at); g.alone && took > 0 {
		h.learnRate(now, u, g.ask.Prompt, took)
		u.believed = h.speedAt(now, u)
	}
	u.backlog.read(now, g)
	h.summarize(u)
	return h.drainQueue(now)
}

// unreadAt returns the number of prompt tokens still to compute at a time in nanoseconds.
// Progress is assumed for the first prompt only: an upstream whose memory is full of
// generations unknown to the home computes nothing, and would get one prompt after another.
func (s *summary) unreadAt(at int64) float64 {
	if s.unread == 0 {
		return 0
	}
	read := float64(at-s.unreadSince) / 1e9 * s.rate
	return s.unread - min(max(read, 0), s.firstPrompt)
}
