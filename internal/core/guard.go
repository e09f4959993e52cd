package core

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

// guard is a pool home's state for stopping requests that crash upstreams.
type guard struct {
	verdicts map[string]*verdict
	// prints maps granted and queued attempts to fingerprints, running maps fingerprints to
	// granted attempts.
	prints  map[string]printed
	running map[uint64][]string
}

// printed is an attempt's fingerprint and the time of its last announcement.
type printed struct {
	print uint64
	seen  time.Time
	// upstream is where the attempt runs, once granted.
	upstream string
}

func newGuard() guard {
	return guard{verdicts: map[string]*verdict{}, prints: map[string]printed{}, running: map[uint64][]string{}}
}

func (g *guard) note(now time.Time, ask placement.Ask) {
	p := g.prints[ask.Attempt]
	p.print, p.seen = ask.Fingerprint, now
	g.prints[ask.Attempt] = p
}

// expire drops the attempts whose entry has been silent for the window: they were cancelled or
// never started.
func (g *guard) expire(now time.Time, window time.Duration) {
	for attempt, p := range g.prints {
		if now.Sub(p.seen) > window {
			g.forget(attempt)
		}
	}
}

func (g *guard) granted(attempt, upstream string) {
	p := g.prints[attempt]
	p.upstream = upstream
	g.prints[attempt] = p
	print := p.print
	if print != 0 && !slices.Contains(g.running[print], attempt) {
		g.running[print] = append(g.running[print], attempt)
	}
}

func (g *guard) forget(attempt string) {
	p, ok := g.prints[attempt]
	if !ok {
		return
	}
	print := p.print
	delete(g.prints, attempt)
	g.running[print] = slices.DeleteFunc(g.running[print], func(a string) bool { return a == attempt })
	if len(g.running[print]) == 0 {
		delete(g.running, print)
	}
}

// beside reports whether another attempt with the fingerprint runs.
func (g *guard) beside(attempt string, print uint64) bool {
	return slices.ContainsFunc(g.running[print], func(a string) bool { return a != attempt })
}

// pending reports whether an attempt with the fingerprint failed on an upstream that may have
// crashed.
func (g *guard) pending(print uint64) bool {
	for _, v := range g.verdicts {
		if _, ran := v.ran[print]; ran && !v.over {
			return true
		}
	}
	return false
}

// doubts lists the upstreams on which an attempt with the fingerprint failed and that have not
// reported since.
func (g *guard) doubts(print uint64) []string {
	var out []string
	for name, v := range g.verdicts {
		if _, ran := v.ran[print]; ran {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// screen decides whether an ask may proceed to placement. If not, it answers or holds the ask.
func (i *Instance) screen(now time.Time, h *poolHome, from string, m *msg.GrantAsk) bool {
	if i.awaitVerdict(now, h, from, *m) {
		return false
	}
	if !h.hasOther(i.version, m.Ask.Exclude) {
		m.Ask.Exclude = nil // a pool of one: where it failed or nowhere
	}
	switch i.judgement(now, h, m.Ask.Fingerprint) {
	case suspect.Refused:
		i.answerGrant(h, i.poisoned(now, m.Ask))
		return false
	case suspect.Suspected:
		m.Ask.Suspect = true
		m.Ask.Exclude = append(slices.Clone(m.Ask.Exclude), i.withSuspects(now, h, m.Ask.Fingerprint)...)
		if i.mustWait(now, h, m.Ask) || !h.hasOther(i.version, m.Ask.Exclude) {
			i.answerGrant(h, waiting(m.Ask))
			return false
		}
	case suspect.Clean:
	}
	if more := append(slices.Clone(m.Ask.Exclude), h.failing.avoid(now)...); h.hasOther(i.version, more) {
		m.Ask.Exclude = more
	}
	h.guard.note(now, m.Ask)
	return true
}

// judgement returns the verdict on a fingerprint. A failure on an upstream that has not
// reported since counts as a strike: it may have gone down with its machine.
func (i *Instance) judgement(now time.Time, h *poolHome, print uint64) suspect.Verdict {
	v := i.suspects.Judge(now, print)
	if v == suspect.Clean && len(h.guard.doubts(print)) > 0 {
		return suspect.Suspected
	}
	return v
}

// mustWait reports whether a suspect may not run yet: after one crash, a second copy beside
// this one could make three. A new home first learns what runs from the entries, within a
// second. The entry asks again.
func (i *Instance) mustWait(now time.Time, h *poolHome, ask placement.Ask) bool {
	return h.guard.beside(ask.Attempt, ask.Fingerprint) || h.guard.pending(ask.Fingerprint) ||
		now.Sub(h.begun) < 2*announceInterval || i.mayBeSecond(h, ask.Fingerprint)
}

// mayBeSecond reports whether strikes and doubts of the fingerprint may amount to two crashes.
func (i *Instance) mayBeSecond(h *poolHome, print uint64) bool {
	struck := i.suspects.Upstreams(print)
	n := len(struck)
	for _, u := range h.guard.doubts(print) {
		if !slices.Contains(struck, u) {
			n++
		}
	}
	return n >= suspect.MaxStrikes
}

// waiting answers a suspect that may not run yet.
func waiting(ask placement.Ask) placement.Decision {
	if ask.MaxWait > 0 {
		return placement.Decision{Attempt: ask.Attempt, Kind: placement.Queued}
	}
	return placement.Decision{
		Attempt: ask.Attempt, Kind: placement.Refused, Reason: placement.ReasonQueueFull, RetryAfter: retryNoHome,
	}
}

func (i *Instance) poisoned(now time.Time, ask placement.Ask) placement.Decision {
	return placement.Decision{
		Attempt: ask.Attempt, Kind: placement.Refused, Reason: placement.ReasonPoison,
		RetryAfter: i.suspects.Until(ask.Fingerprint).Sub(now),
	}
}

// vetoes withdraws a grant from the queue whose fingerprint was struck while it waited.
func (i *Instance) vetoes(now time.Time, h *poolHome, d placement.Decision) (placement.Decision, bool) {
	p, ok := h.guard.prints[d.Attempt]
	print := p.print
	if !ok || d.Kind != placement.Granted || print == 0 {
		return d, false
	}
	ask := placement.Ask{Attempt: d.Attempt, Fingerprint: print}
	switch i.judgement(now, h, print) {
	case suspect.Refused:
		return i.poisoned(now, ask), true
	case suspect.Suspected:
		if i.mustWait(now, h, ask) || slices.Contains(i.withSuspects(now, h, print), d.Upstream) {
			return placement.Decision{Attempt: d.Attempt, Kind: placement.Queued}, true
		}
	case suspect.Clean:
	}
	return d, false
}

// withSuspects lists the upstreams that a suspect must avoid: those that run another suspect
// and those that crashed under it, as long as the pool has others. An innocent request must
// not get two strikes from the harmful one beside it or from one faulty upstream.
func (i *Instance) withSuspects(now time.Time, h *poolHome, print uint64) []string {
	var out []string
	for _, p := range h.guard.prints {
		if p.upstream != "" && p.print != print && i.judgement(now, h, p.print) != suspect.Clean {
			out = append(out, p.upstream)
		}
	}
	crashed := i.suspects.Upstreams(print)
	if h.hasOther(i.version, crashed) {
		out = append(out, crashed...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// hasOther reports whether the pool has an upstream outside the list.
func (h *poolHome) hasOther(v *config.Version, list []string) bool {
	p := v.Pool(h.pool)
	return p != nil && slices.ContainsFunc(p.Upstreams, func(u string) bool { return !slices.Contains(list, u) })
}
