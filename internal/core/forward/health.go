package forward

import "time"

const (
	// restAfterDial is how long an upstream is passed over after a failed
	// dial. A dead machine costs each caller the dial's timeout, and its
	// entry stays listed for three heartbeats, 3.6 s.
	restAfterDial = 1500 * time.Millisecond
	// failureDecay is the weight of the newest outcome in an upstream's
	// failure rate: about the last ten count.
	failureDecay = 0.1
	// failureForget halves a failure rate, so that an upstream that is passed
	// over because it failed is tried again.
	failureForget = 3 * time.Second
)

// Failing notes another instance's word that an upstream gave it no usable
// answer. Counted like an own failure, it keeps the callers of all instances from
// an upstream after the first few losses, not after some at each instance; an
// instance whose own links are bad accuses all upstreams alike, which leaves the
// choice among them as it is.
func (g *Gate) Failing(now time.Time, id string, born int64) {
	if u := g.roster.Find(id); u != nil && u.Born == born {
		g.load(u).note(now, true)
	}
}

// health remembers how an upstream has answered.
type health struct {
	restUntil time.Time
	failures  float64
	updated   time.Time
}

// note counts an outcome.
func (h *health) note(now time.Time, failed bool) {
	h.failures = h.rate(now) * (1 - failureDecay)
	if failed {
		h.failures += failureDecay
	}
	h.updated = now
}

// rate returns the share of failures among the recent outcomes, which fades.
func (h *health) rate(now time.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	for now.Sub(h.updated) > failureForget {
		h.failures /= 2
		h.updated = h.updated.Add(failureForget)
		if h.failures < 0.001 {
			h.failures = 0
			break
		}
	}
	return h.failures
}

func (h *health) rest(now time.Time) { h.restUntil = now.Add(restAfterDial) }

func (h *health) resting(now time.Time) bool { return now.Before(h.restUntil) }
