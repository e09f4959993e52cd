package placement

import "time"

// backlog is what an upstream has yet to read: it reads prompts one after another, and
// the first token of an answer tells that its prompt was read.
type backlog struct {
	// tokens of count prompts are not known to be read.
	tokens int
	count  int
	// since is when the upstream began with the first of them, as far as is known.
	since time.Time
}

// add enters a grant whose prompt is unread.
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

// drop takes a grant out that has ended, or moved, unread.
func (b *backlog) drop(g *grant) {
	if g.begun {
		return
	}
	b.tokens -= g.ask.Prompt
	b.count--
}

// read notes that a grant's prompt has been read.
func (b *backlog) read(now time.Time, g *grant) {
	if g.begun {
		return
	}
	b.drop(g)
	g.begun, b.since = true, now
}

// entrySilent is how long an entry may say nothing of an unread prompt until that counts
// for nothing: the entry has died, and will not tell of a first token. An entry that
// lives announces all that it runs every 1.5 s at the latest.
const entrySilent = 1600 * time.Millisecond

// forget drops the prompts whose entries have fallen silent.
func (b *backlog) forget(now time.Time, grants []*grant) {
	for _, g := range grants {
		if !g.begun && now.Sub(g.seen) > entrySilent {
			b.read(now, g)
		}
	}
}

// Began takes an entry's word that the first token of an attempt has come, and grants
// what waited for that. The wait of a prompt that an upstream had to itself tells how
// fast it reads.
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

// unreadAt is how many prompt tokens are unread at a moment in nanoseconds. The first
// prompt is read at the known rate. What comes after it is not reckoned with before its
// first token has come: an upstream whose memory is full of what the home does not know
// of reads nothing, and would get one prompt after another.
func (s *summary) unreadAt(at int64) float64 {
	if s.unread == 0 {
		return 0
	}
	read := float64(at-s.unreadSince) / 1e9 * s.rate
	return s.unread - min(max(read, 0), s.firstPrompt)
}
