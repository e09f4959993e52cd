package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Short and long answers apart: a step of an engine that reads a prompt takes twice as long
// for all that run beside it, so that a few upstreams read the prompts of short answers and
// long ones run on the others.
const (
	// readersUse is the part of their time for which the readers may be busy: with more,
	// prompts wait for one another.
	readersUse = 0.7
	// readersShare is the most upstreams that are readers, as a part of all.
	readersShare = 0.5
	// shortFade is the part that a second changes of the mean load of short answers.
	shortFade = 0.2
	// readersEvery is how often the readers are chosen anew.
	readersEvery = 500 * time.Millisecond
	// readerKept is what an upstream that is a reader may run more of long answers than
	// another one before that takes its place, in prompt tokens.
	readerKept = 4000.0
	// spillShare is the part of its target after which a short answer that found no reader
	// free runs anywhere.
	spillShare = 0.2
	// longAtReader is what it costs to run a long answer on a reader, in seconds.
	longAtReader = 3.0
)

// apart keeps which upstreams are readers.
type apart struct {
	on bool
	// tokens were the prompts of short answers since counted, load is their mean a second.
	tokens  float64
	load    float64
	counted time.Time
	chosen  time.Time
}

// isShort reports whether an answer is expected to end soon after its first token.
func (p *prospect) isShort() bool { return p.output < longLeft }

// chooseReaders works out anew which upstreams read the prompts of short answers: as many
// as their load takes, those that run least of long answers.
func (h *Home) chooseReaders(now time.Time) {
	a := &h.apart
	if !a.on || now.Sub(a.chosen) < readersEvery {
		return
	}
	a.chosen = now
	a.measure(now)
	var open []*upstream
	for _, u := range h.upstreams {
		h.summaries[u.index].reader = false
		if u.takesWork(now) {
			open = append(open, u)
		}
	}
	n := int(math.Ceil(a.load / h.typicalRate() / readersUse))
	n = min(n, int(readersShare*float64(len(open))))
	weight := func(u *upstream) float64 {
		if u.reader {
			return u.running - readerKept
		}
		return u.running
	}
	slices.SortStableFunc(open, func(x, y *upstream) int { return cmp.Compare(weight(x), weight(y)) })
	for k, u := range open {
		u.reader = k < n
		h.summaries[u.index].reader = u.reader
	}
}

// measure brings the mean load of short answers up to date.
func (a *apart) measure(now time.Time) {
	if a.counted.IsZero() {
		a.counted = now
		return
	}
	seconds := now.Sub(a.counted).Seconds()
	if seconds <= 0 {
		return
	}
	fade := 1 - math.Pow(1-shortFade, seconds)
	a.load += fade * (a.tokens/seconds - a.load)
	a.tokens, a.counted = 0, now
}

// keepsFrom reports whether an ask is kept from an upstream as a reader may be free soon.
func (a *apart) keepsFrom(s *summary, p *prospect, waited time.Duration) bool {
	return a.on && a.load > 0 && p.isShort() && !s.reader && waited.Seconds() < spillShare*p.target
}
