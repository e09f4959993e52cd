package core

import (
	"maps"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

const (
	// verdictTimeout is how long a retry waits until the home has detected whether the failed
	// upstream has crashed.
	verdictTimeout = time.Second
	// verdictTTL is how long a home keeps the fingerprints of attempts that failed on a silent
	// upstream. An upstream whose host went down does not refuse connections, and shows a new boot
	// only once it is back.
	verdictTTL = 2 * time.Minute
)

// verdict collects the failed attempts of an upstream until the home knows whether the upstream has
// crashed.
type verdict struct {
	// openedAt is the time of the first failure. lastFailedAt is the time of the last failure. Only
	// a poll that was sent after lastFailedAt can show that the upstream has not crashed.
	openedAt     time.Time
	lastFailedAt time.Time
	// heldRequests are the grant requests of retries that wait for the verdict. heldEnds are the
	// ends of failed attempts whose grants are kept, so that their fingerprints still count as
	// running on the upstream.
	heldRequests []heldRequest
	heldEnds     []msg.GrantEnd
	// fingerprints maps the fingerprints of the failed attempts to the boot on which they failed.
	fingerprints map[uint64]string
	timedOut     bool
}

// heldRequest is a grant request and the entry that sent it.
type heldRequest struct {
	from    string
	request msg.GrantRequest
}

// verdictFor returns the pending verdict on an upstream and creates it if needed.
func (g *crashGuard) verdictFor(now time.Time, upstream string) *verdict {
	v := g.verdicts[upstream]
	if v == nil {
		v = &verdict{openedAt: now, fingerprints: map[uint64]string{}}
		g.verdicts[upstream] = v
	}
	return v
}

// addFailure records that an attempt with the fingerprint failed on a run of the upstream.
func (v *verdict) addFailure(now time.Time, fingerprint uint64, boot string) {
	v.lastFailedAt = now
	v.fingerprints[fingerprint] = boot
}

// awaitVerdict holds a retry until the verdict on the upstream of its previous attempt is known, and
// reports whether the retry is held. Without the wait, a request that crashes upstreams would reach
// the next upstream before its first strike.
func (i *Instance) awaitVerdict(now time.Time, h *poolHome, from string, m msg.GrantRequest) bool {
	if m.FailedUpstream == "" {
		return false
	}
	if m.FailedBoot == "" || i.version.PoolOf(m.FailedUpstream) != h.pool {
		i.pollUpstream(m.FailedUpstream)
		return false
	}
	if boot := h.boots[m.FailedUpstream]; boot != "" && boot != m.FailedBoot || h.crashedBoots[m.FailedUpstream] == m.FailedBoot {
		i.recordStrike(now, m.Request.Fingerprint, suspect.Crash{Upstream: m.FailedUpstream, Boot: m.FailedBoot})
		return false
	}
	v := h.guard.verdictFor(now, m.FailedUpstream)
	if v.timedOut {
		return false
	}
	v.hold(now, from, m)
	i.pollUpstream(m.FailedUpstream)
	i.sendDecision(h, placement.Decision{Attempt: m.Request.Attempt, Kind: placement.Queued})
	return true
}

// hold adds the grant request of a retry, or replaces it if the entry repeats the request.
func (v *verdict) hold(now time.Time, from string, m msg.GrantRequest) {
	held := len(v.heldRequests)
	v.dropRequest(m.Request.Attempt)
	if len(v.heldRequests) == held { // not a repeat of a held grant request
		v.addFailure(now, m.Request.Fingerprint, m.FailedBoot)
	}
	v.heldRequests = append(v.heldRequests, heldRequest{from: from, request: m})
}

func (v *verdict) dropRequest(attempt string) {
	v.heldRequests = slices.DeleteFunc(v.heldRequests, func(a heldRequest) bool { return a.request.Request.Attempt == attempt })
}

// holdFailedGrant keeps the grant of a failed attempt until the verdict on the upstream is known, and
// reports whether the grant is kept.
func (i *Instance) holdFailedGrant(now time.Time, h *poolHome, m msg.GrantEnd) bool {
	if !m.Failed || m.Boot == "" || i.version.PoolOf(m.Upstream) != h.pool {
		return false
	}
	if h.crashedBoots[m.Upstream] == m.Boot || h.boots[m.Upstream] != m.Boot {
		return false // the verdict on that run is known, and its attempts have their strikes
	}
	v := h.guard.verdictFor(now, m.Upstream)
	v.addFailure(now, m.Fingerprint, m.Boot)
	if v.timedOut {
		return false
	}
	v.heldEnds = append(v.heldEnds, m)
	i.pollUpstream(m.Upstream)
	return true
}

// resolveVerdict resolves the verdict on an upstream with its report. If the upstream now has a
// different boot than the one on which an attempt failed, it has crashed. This also holds at a new
// home that has no earlier report.
func (i *Instance) resolveVerdict(now time.Time, h *poolHome, upstream, boot string, polledAt time.Time) {
	v := h.guard.verdicts[upstream]
	if v == nil || polledAt.Before(v.lastFailedAt) {
		return
	}
	delete(h.guard.verdicts, upstream)
	for _, fingerprint := range sortedFingerprints(v.fingerprints, func(on string) bool { return on != boot }) {
		h.crashedBoots[upstream] = v.fingerprints[fingerprint]
		i.recordStrike(now, fingerprint, suspect.Crash{Upstream: upstream, Boot: v.fingerprints[fingerprint]})
	}
	i.releaseHeld(now, h, v)
}

// releaseHeld ends the grants and processes the grant requests that a verdict has held.
func (i *Instance) releaseHeld(now time.Time, h *poolHome, v *verdict) {
	ends, requests := v.heldEnds, v.heldRequests
	v.heldEnds, v.heldRequests = nil, nil
	for _, m := range ends {
		i.releaseGrant(now, h, m)
	}
	for _, a := range requests {
		a.request.FailedUpstream, a.request.FailedBoot = "", ""
		i.onGrantRequest(now, a.from, a.request)
	}
}

// tickVerdicts ends the wait for a verdict after verdictTimeout. A frozen or silent upstream has not
// crashed as far as the home knows, so the retries may run, but not on an upstream that runs another
// suspect. The fingerprints are kept for verdictTTL in case the upstream returns with a new boot.
func (i *Instance) tickVerdicts(now time.Time, h *poolHome) {
	for _, name := range sortedNames(h.guard.verdicts) {
		v := h.guard.verdicts[name]
		switch {
		case now.Sub(v.openedAt) > verdictTTL:
			delete(h.guard.verdicts, name)
		case !v.timedOut && now.Sub(v.openedAt) > verdictTimeout:
			v.timedOut = true
			i.releaseHeld(now, h, v)
		}
	}
}

// onConnectionRefused handles an upstream that refuses connections. It has crashed unless it had
// announced that it is leaving.
func (i *Instance) onConnectionRefused(now time.Time, h *poolHome, name string) {
	if m, ok := i.view.Member(name); !h.leaving[name] && (!ok || m.State != membership.Leaving) {
		i.upstreamCrashed(now, h, name)
		return
	}
	for _, req := range h.home.Remove(name) {
		h.guard.forget(req.Attempt)
		delete(h.entries, req.Attempt)
	}
	delete(h.boots, name)
	if v := h.guard.verdicts[name]; v != nil {
		delete(h.guard.verdicts, name)
		i.releaseHeld(now, h, v)
	}
}

// upstreamCrashed gives every request that ran on the upstream a strike, at every instance.
func (i *Instance) upstreamCrashed(now time.Time, h *poolHome, name string) {
	boot := h.boots[name]
	fingerprints := map[uint64]string{}
	for _, req := range h.home.Remove(name) {
		h.guard.forget(req.Attempt)
		delete(h.entries, req.Attempt)
		fingerprints[req.Fingerprint] = boot
	}
	v := h.guard.verdicts[name]
	if v != nil {
		delete(h.guard.verdicts, name)
		maps.Copy(fingerprints, v.fingerprints)
	}
	if boot != "" {
		h.crashedBoots[name] = boot
	}
	delete(h.boots, name)
	if len(fingerprints) > 0 {
		i.emit(Log{Event: "upstream_crashed", Pairs: []any{"upstream", name, "boot", boot, "fingerprints", len(fingerprints)}})
	}
	for _, fingerprint := range sortedFingerprints(fingerprints, func(on string) bool { return on != "" }) {
		h.crashedBoots[name] = fingerprints[fingerprint]
		i.recordStrike(now, fingerprint, suspect.Crash{Upstream: name, Boot: fingerprints[fingerprint]})
	}
	if v != nil {
		i.releaseHeld(now, h, v)
	}
}

// sortedFingerprints lists the fingerprints whose boot passes a test, in ascending order.
func sortedFingerprints(boots map[uint64]string, ok func(boot string) bool) []uint64 {
	var out []uint64
	for fingerprint, boot := range boots {
		if ok(boot) {
			out = append(out, fingerprint)
		}
	}
	slices.Sort(out)
	return out
}
