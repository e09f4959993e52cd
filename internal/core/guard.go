package core

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

// crashGuard is the state with which a pool's home stops requests that crash upstreams.
type crashGuard struct {
	// verdicts holds the pending verdicts by upstream.
	verdicts map[string]*verdict
	// attempts holds granted and queued attempts by id. running maps fingerprints to granted
	// attempts.
	attempts map[string]guardedAttempt
	running  map[uint64][]string
}

// guardedAttempt is an attempt's fingerprint and the time of its last grant request or
// announcement.
type guardedAttempt struct {
	fingerprint uint64
	lastSeen    time.Time
	// upstream is the upstream that runs the attempt, "" before the grant.
	upstream string
}

func newCrashGuard() crashGuard {
	return crashGuard{verdicts: map[string]*verdict{}, attempts: map[string]guardedAttempt{}, running: map[uint64][]string{}}
}

// track records an attempt's fingerprint and the time at which its entry was last seen.
func (g *crashGuard) track(now time.Time, req placement.Request) {
	p := g.attempts[req.Attempt]
	p.fingerprint, p.lastSeen = req.Fingerprint, now
	g.attempts[req.Attempt] = p
}

// expire drops attempts that no entry has announced within the window. They were cancelled or
// never started.
func (g *crashGuard) expire(now time.Time, window time.Duration) {
	for attempt, p := range g.attempts {
		if now.Sub(p.lastSeen) > window {
			g.forget(attempt)
		}
	}
}

func (g *crashGuard) markGranted(attempt, upstream string) {
	p := g.attempts[attempt]
	p.upstream = upstream
	g.attempts[attempt] = p
	fingerprint := p.fingerprint
	if fingerprint != 0 && !slices.Contains(g.running[fingerprint], attempt) {
		g.running[fingerprint] = append(g.running[fingerprint], attempt)
	}
}

func (g *crashGuard) forget(attempt string) {
	p, ok := g.attempts[attempt]
	if !ok {
		return
	}
	fingerprint := p.fingerprint
	delete(g.attempts, attempt)
	g.running[fingerprint] = slices.DeleteFunc(g.running[fingerprint], func(a string) bool { return a == attempt })
	if len(g.running[fingerprint]) == 0 {
		delete(g.running, fingerprint)
	}
}

// otherRuns reports whether another attempt with the fingerprint is running.
func (g *crashGuard) otherRuns(attempt string, fingerprint uint64) bool {
	return slices.ContainsFunc(g.running[fingerprint], func(a string) bool { return a != attempt })
}

// hasPendingVerdict reports whether an attempt with the fingerprint failed on an upstream
// whose verdict is pending and has not timed out.
func (g *crashGuard) hasPendingVerdict(fingerprint uint64) bool {
	for _, v := range g.verdicts {
		if _, ran := v.fingerprints[fingerprint]; ran && !v.timedOut {
			return true
		}
	}
	return false
}

// unconfirmedStrikes lists the upstreams on which an attempt with the fingerprint failed and that
// have not reported since.
func (g *crashGuard) unconfirmedStrikes(fingerprint uint64) []string {
	var out []string
	for name, v := range g.verdicts {
		if _, ran := v.fingerprints[fingerprint]; ran {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// screen reports whether a grant request may proceed to placement. If not, it replies to the request
// or holds it.
func (i *Instance) screen(now time.Time, h *poolHome, from string, m *msg.GrantRequest) bool {
	if i.awaitVerdict(now, h, from, *m) {
		return false
	}
	if !h.hasOther(i.version, m.Request.Exclude) {
		m.Request.Exclude = nil // no other upstream: retry on the one that failed
	}
	switch i.classify(now, h, m.Request.Fingerprint) {
	case suspect.Refused:
		i.sendDecision(h, i.refusePoison(now, m.Request))
		return false
	case suspect.Suspected:
		m.Request.Suspect = true
		m.Request.Exclude = append(slices.Clone(m.Request.Exclude), i.upstreamsToAvoid(now, h, m.Request.Fingerprint)...)
		if i.suspectMustWait(now, h, m.Request) || !h.hasOther(i.version, m.Request.Exclude) {
			i.sendDecision(h, queueSuspect(m.Request))
			return false
		}
	case suspect.Clean:
	}
	if exclude := append(slices.Clone(m.Request.Exclude), h.failures.avoided(now)...); h.hasOther(i.version, exclude) {
		m.Request.Exclude = exclude
	}
	h.guard.track(now, m.Request)
	return true
}

// classify returns the verdict on a fingerprint. A failure on an upstream that has not reported
// since counts as a strike, as the upstream may have gone down together with its host.
func (i *Instance) classify(now time.Time, h *poolHome, fingerprint uint64) suspect.Verdict {
	v := i.suspects.Verdict(now, fingerprint)
	if v == suspect.Clean && len(h.guard.unconfirmedStrikes(fingerprint)) > 0 {
		return suspect.Suspected
	}
	return v
}

// suspectMustWait reports whether a suspect may not run yet. A request with one crash could reach
// three crashes if two attempts of it ran at once. A new home does not know the running attempts
// until the entries have announced them, within a second. The entry repeats its request.
func (i *Instance) suspectMustWait(now time.Time, h *poolHome, req placement.Request) bool {
	return h.guard.otherRuns(req.Attempt, req.Fingerprint) || h.guard.hasPendingVerdict(req.Fingerprint) ||
		now.Sub(h.createdAt) < 2*announceInterval || i.mayReachMaxStrikes(h, req.Fingerprint)
}

// mayReachMaxStrikes reports whether the strikes and unconfirmed strikes of a fingerprint together
// amount to suspect.MaxStrikes crashes.
func (i *Instance) mayReachMaxStrikes(h *poolHome, fingerprint uint64) bool {
	confirmed := i.suspects.Upstreams(fingerprint)
	n := len(confirmed)
	for _, u := range h.guard.unconfirmedStrikes(fingerprint) {
		if !slices.Contains(confirmed, u) {
			n++
		}
	}
	return n >= suspect.MaxStrikes
}

// queueSuspect returns the decision for a suspect that may not run yet: queued if its request can
// wait, otherwise refused.
func queueSuspect(req placement.Request) placement.Decision {
	if req.MaxWait > 0 {
		return placement.Decision{Attempt: req.Attempt, Kind: placement.Queued}
	}
	return placement.Decision{
		Attempt: req.Attempt, Kind: placement.Refused, Reason: placement.ReasonQueueFull, RetryAfter: retryAfterNoHome,
	}
}

// refusePoison returns the refusal of an attempt whose fingerprint has too many strikes.
func (i *Instance) refusePoison(now time.Time, req placement.Request) placement.Decision {
	return placement.Decision{
		Attempt: req.Attempt, Kind: placement.Refused, Reason: placement.ReasonPoison,
		RetryAfter: i.suspects.RefusedUntil(req.Fingerprint).Sub(now),
	}
}

// recheckGrant withdraws a grant for a queued attempt if its fingerprint got a strike while the
// attempt was waiting. It returns the decision to send and whether the grant was withdrawn.
func (i *Instance) recheckGrant(now time.Time, h *poolHome, d placement.Decision) (placement.Decision, bool) {
	p, ok := h.guard.attempts[d.Attempt]
	fingerprint := p.fingerprint
	if !ok || d.Kind != placement.Granted || fingerprint == 0 {
		return d, false
	}
	req := placement.Request{Attempt: d.Attempt, Fingerprint: fingerprint}
	switch i.classify(now, h, fingerprint) {
	case suspect.Refused:
		return i.refusePoison(now, req), true
	case suspect.Suspected:
		if i.suspectMustWait(now, h, req) || slices.Contains(i.upstreamsToAvoid(now, h, fingerprint), d.Upstream) {
			return placement.Decision{Attempt: d.Attempt, Kind: placement.Queued}, true
		}
	case suspect.Clean:
	}
	return d, false
}

// upstreamsToAvoid lists the upstreams on which a suspect must not run: those that run another
// suspect and, unless the pool has no others, those that crashed while they ran this one.
// A harmless request must not get two strikes from a harmful request on the same upstream or from
// one faulty upstream.
func (i *Instance) upstreamsToAvoid(now time.Time, h *poolHome, fingerprint uint64) []string {
	var out []string
	for _, p := range h.guard.attempts {
		if p.upstream != "" && p.fingerprint != fingerprint && i.classify(now, h, p.fingerprint) != suspect.Clean {
			out = append(out, p.upstream)
		}
	}
	crashed := i.suspects.Upstreams(fingerprint)
	if h.hasOther(i.version, crashed) {
		out = append(out, crashed...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// hasOther reports whether the pool has an upstream that is not in the list.
func (h *poolHome) hasOther(v *config.Version, list []string) bool {
	p := v.Pool(h.pool)
	return p != nil && slices.ContainsFunc(p.Upstreams, func(u string) bool { return !slices.Contains(list, u) })
}
