package placement

import "time"

// backlog holds the prompts whose prefill on an upstream is not complete. Upstreams prefill
// one prompt after another; the first token of a generation ends its prefill.
type backlog struct {
	// tokens is the total length of the prompts, count their number.
	tokens int
	count  int
	// prefillStart is the estimated start of the first prompt's prefill.
	prefillStart time.Time
}

// add adds the prompt of a new grant.
func (b *backlog) add(g *grant) {
	if g.prefilled {
		return
	}
	if b.count == 0 {
		b.prefillStart = g.grantedAt
	}
	g.soloPrefill = b.count == 0
	b.tokens += g.req.Prompt
	b.count++
}

// remove removes the prompt of a grant that ended or moved before its first token.
func (b *backlog) remove(g *grant) {
	if g.prefilled {
		return
	}
	b.tokens -= g.req.Prompt
	b.count--
}

// complete marks a grant as prefilled and removes its prompt.
func (b *backlog) complete(now time.Time, g *grant) {
	if g.prefilled {
		return
	}
	b.remove(g)
	g.prefilled, b.prefillStart = true, now
}

// prefillTTL is how long a prompt counts after the last announcement of its entry, which
// announces all its attempts every 1.5 s at the latest.
const prefillTTL = 1600 * time.Millisecond

// expire drops the prompts whose entries have stopped announcing them.
func (b *backlog) expire(now time.Time, grants []*grant) {
	for _, g := range grants {
		if !g.prefilled && now.Sub(g.lastSeen) > prefillTTL {
			b.complete(now, g)
		}
	}
}

// OnFirstToken records the first token of an attempt and grants requests that waited for the
// prefill to end. The time to first token measures the prefill throughput if no other prompt was
// pending.
func (h *Home) OnFirstToken(now time.Time, attempt string) []Decision {
	g := h.granted[attempt]
	if g == nil || g.prefilled {
		return nil
	}
	u := g.upstream
	if took := now.Sub(g.grantedAt); g.soloPrefill && took > 0 {
		h.recordPrefillRate(now, u, g.req.Prompt, took)
		u.assumedSpeed = h.speedAt(now, u)
	}
	u.backlog.complete(now, g)
	h.summarize(u)
	return h.drainQueue(now)
}

// prefillTokensAt returns the number of prompt tokens still to compute at a time in Unix
// nanoseconds. Progress is assumed for the first prompt only: an upstream whose memory is full
// of generations unknown to the home computes no prompts, but would otherwise be given one
// after another.
func (s *summary) prefillTokensAt(at int64) float64 {
	if s.prefillTokens == 0 {
		return 0
	}
	computed := float64(at-s.prefillStart) / 1e9 * s.rate
	if s.slowdown.Stated() {
		computed /= s.slowdown.At(at)
	}
	return s.prefillTokens - min(max(computed, 0), s.firstPrompt)
}
