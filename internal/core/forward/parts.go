package forward

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

// partsAt returns hashes of the parts of a prompt at a service: a part that crashes the upstreams of one
// service may be sound at another.
func partsAt(service string, parts []uint64) []uint64 {
	out := make([]uint64, len(parts))
	for k, part := range parts {
		out[k] = part ^ xxhash.Sum64String(service)
	}
	return out
}

// mayAccuse reports whether the crash of the upstream of a call's last attempt counts against the parts of
// its prompt: no answer had begun soundly.
func (c *Call) mayAccuse() bool {
	return c.Route.Generation && len(c.Parts) > 0 && c.Events < suspect.SoundEvents
}

// MayCrashByPart reports whether a part of a call's prompt may be the reason if an upstream has crashed, so
// that this must be known before the call is sent to another one.
func (g *Gate) MayCrashByPart(c *Call) bool { return c.mayAccuse() }

// AccusableParts returns the parts of a call's prompt that the crash of its upstream counts against.
func (g *Gate) AccusableParts(c *Call) []uint64 {
	if !c.mayAccuse() {
		return nil
	}
	return c.Parts
}

// Accuse records that an upstream crashed while a request with some parts waited for a sound answer, and
// returns the convictions that are new.
func (g *Gate) Accuse(now time.Time, e suspect.Evidence) []suspect.Conviction {
	before := g.parts.Convictions(now)
	if !g.parts.Accuse(now, e) {
		return nil
	}
	return newConvictions(before, g.parts.Convictions(now))
}

// newConvictions returns the convictions in after whose parts are not the same as of one in before.
func newConvictions(before, after []suspect.Conviction) (out []suspect.Conviction) {
	for _, c := range after {
		if !c.In(before) {
			out = append(out, c)
		}
	}
	return out
}

// ClearParts records that an answer to a request with these parts had begun soundly at a time.
func (g *Gate) ClearParts(parts []uint64, at time.Time) { g.parts.Clear(parts, at) }

// NewlySound records that a call has just had a sound beginning of an answer, and returns those of its parts
// that were accused, of which the other instances must know.
func (g *Gate) NewlySound(now time.Time, c *Call) []uint64 {
	if c.Events != suspect.SoundEvents {
		return nil
	}
	return g.sound(now, c)
}

// SoundlyEnded does the same for a call whose complete answer is shorter than a sound beginning.
func (g *Gate) SoundlyEnded(now time.Time, c *Call) []uint64 {
	if c.Events == 0 || c.Events >= suspect.SoundEvents {
		return nil
	}
	return g.sound(now, c)
}

func (g *Gate) sound(now time.Time, c *Call) []uint64 {
	if !c.Route.Generation || len(c.Parts) == 0 {
		return nil
	}
	accused := g.parts.Accused(c.Parts)
	g.parts.Clear(c.Parts, now)
	return accused
}

// Evidence returns the evidence against parts, for an instance that has just started.
func (g *Gate) Evidence(now time.Time) []suspect.Evidence { return g.parts.Evidence(now) }

// Strikes returns at most a number of the newest strikes against requests that have been refused, for an instance that
// has just started. The oldest come first: whether one counts depends on those before it.
func (g *Gate) Strikes(now time.Time, most int) []suspect.Strike {
	out := g.suspects.Repeated(now, most)
	slices.Reverse(out)
	return out
}

// Convictions returns the convictions, also those that are not in force yet.
func (g *Gate) Convictions(now time.Time) []suspect.Conviction { return g.parts.Convictions(now) }

// IsConvicted reports whether the parts of a call's prompt are convicted of crashing upstreams.
func (g *Gate) IsConvicted(now time.Time, c *Call) bool {
	return g.parts.Convicted(now, c.Parts) != nil
}

// RefuseConvicted ends a call whose parts were convicted while it waited.
func (g *Gate) RefuseConvicted(c *Call) Step { return g.refuse(c, Crashes, crashRetryAfter) }

// StopConvicted ends a call whose parts were convicted while an upstream had it, and whose attempt was
// cancelled.
func (g *Gate) StopConvicted(now time.Time, c *Call, headerDelivered bool) Step {
	if a := c.current; a != nil {
		c.current = nil
		c.mayHaveRun = true
		g.recordOutcome(now, c, a, Cancelled)
	}
	return g.failCall(c, Crashes, crashRetryAfter, headerDelivered)
}
