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
	// verdictTimeout is how long a retry waits for the home to find out whether the failed
	// upstream has crashed.
	verdictTimeout = time.Second
	// verdictTTL is how long a home remembers what ran on an upstream that failed and fell
	// silent: a machine that went down refuses no connection and shows a new boot only once it
	// is back.
	verdictTTL = 2 * time.Minute
)

// verdict is a home's knowledge of an upstream that failed attempts, until it is known whether
// it crashed.
type verdict struct {
	// opened is when the first attempt failed, since when the last one did: only a poll sent
	// after it can clear the upstream.
	opened time.Time
	since  time.Time
	// asks are the waiting retries, ended the failed attempts whose grants are kept so that
	// the fingerprint counts as running there.
	asks  []heldAsk
	ended []msg.GrantEnd
	// ran holds the fingerprints of the failed attempts.
	ran  map[uint64]string
	over bool
}

type heldAsk struct {
	from string
	ask  msg.GrantAsk
}

func (g *guard) verdict(now time.Time, upstream string) *verdict {
	v := g.verdicts[upstream]
	if v == nil {
		v = &verdict{opened: now, ran: map[uint64]string{}}
		g.verdicts[upstream] = v
	}
	return v
}

// joins records that an attempt with the fingerprint failed on a run.
func (v *verdict) joins(now time.Time, print uint64, boot string) {
	v.since = now
	v.ran[print] = boot
}

// awaitVerdict holds a retry until it is known whether the previous upstream crashed.
// Otherwise a request that crashes upstreams would reach the next one before its first strike.
func (i *Instance) awaitVerdict(now time.Time, h *poolHome, from string, m msg.GrantAsk) bool {
	if m.Failed == "" {
		return false
	}
	if m.FailedBoot == "" || i.version.PoolOf(m.Failed) != h.pool {
		i.pollUpstream(m.Failed)
		return false
	}
	if boot := h.boots[m.Failed]; boot != "" && boot != m.FailedBoot || h.crashed[m.Failed] == m.FailedBoot {
		i.strike(now, m.Ask.Fingerprint, suspect.Crash{Upstream: m.Failed, Boot: m.FailedBoot})
		return false
	}
	v := h.guard.verdict(now, m.Failed)
	if v.over {
		return false
	}
	v.hold(now, from, m)
	i.pollUpstream(m.Failed)
	i.answerGrant(h, placement.Decision{Attempt: m.Ask.Attempt, Kind: placement.Queued})
	return true
}

func (v *verdict) hold(now time.Time, from string, m msg.GrantAsk) {
	held := len(v.asks)
	v.drop(m.Ask.Attempt)
	if len(v.asks) == held { // not one that asks again
		v.joins(now, m.Ask.Fingerprint, m.FailedBoot)
	}
	v.asks = append(v.asks, heldAsk{from: from, ask: m})
}

func (v *verdict) drop(attempt string) {
	v.asks = slices.DeleteFunc(v.asks, func(a heldAsk) bool { return a.ask.Ask.Attempt == attempt })
}

// keepFailed keeps a failed attempt's grant until the verdict and reports whether it did.
func (i *Instance) keepFailed(now time.Time, h *poolHome, m msg.GrantEnd) bool {
	if !m.Failed || m.Boot == "" || i.version.PoolOf(m.Upstream) != h.pool {
		return false
	}
	if h.crashed[m.Upstream] == m.Boot || h.boots[m.Upstream] != m.Boot {
		return false // judged already: what ran there has its strike
	}
	v := h.guard.verdict(now, m.Upstream)
	v.joins(now, m.Fingerprint, m.Boot)
	if v.over {
		return false
	}
	v.ended = append(v.ended, m)
	i.pollUpstream(m.Upstream)
	return true
}

// judge settles what waited for an upstream's report. A different run than the one that failed
// means a crash, even to a home that has just taken over.
func (i *Instance) judge(now time.Time, h *poolHome, upstream, boot string, asked time.Time) {
	v := h.guard.verdicts[upstream]
	if v == nil || asked.Before(v.since) {
		return
	}
	delete(h.guard.verdicts, upstream)
	for _, print := range sortedPrints(v.ran, func(on string) bool { return on != boot }) {
		h.crashed[upstream] = v.ran[print]
		i.strike(now, print, suspect.Crash{Upstream: upstream, Boot: v.ran[print]})
	}
	i.letOn(now, h, v)
}

// letOn releases what waited for a verdict.
func (i *Instance) letOn(now time.Time, h *poolHome, v *verdict) {
	ended, asks := v.ended, v.asks
	v.ended, v.asks = nil, nil
	for _, m := range ended {
		i.endGranted(now, h, m)
	}
	for _, a := range asks {
		a.ask.Failed, a.ask.FailedBoot = "", ""
		i.onGrantAsk(now, a.from, a.ask)
	}
}

// tickVerdicts ends waits after verdictTimeout. A frozen or silent upstream has not crashed,
// but the retries run beside no other suspect, and what failed there is remembered in case it
// returns with a new run.
func (i *Instance) tickVerdicts(now time.Time, h *poolHome) {
	for _, name := range sortedNames(h.guard.verdicts) {
		v := h.guard.verdicts[name]
		switch {
		case now.Sub(v.opened) > verdictTTL:
			delete(h.guard.verdicts, name)
		case !v.over && now.Sub(v.opened) > verdictTimeout:
			v.over = true
			i.letOn(now, h, v)
		}
	}
}

// upstreamGone handles an upstream that refuses connections: it has crashed unless it had
// announced its shutdown.
func (i *Instance) upstreamGone(now time.Time, h *poolHome, name string) {
	if m, ok := i.view.Member(name); !h.leaving[name] && (!ok || m.State != membership.Leaving) {
		i.upstreamCrashed(now, h, name)
		return
	}
	for _, ask := range h.home.Remove(name) {
		h.guard.forget(ask.Attempt)
		delete(h.entries, ask.Attempt)
	}
	delete(h.boots, name)
	if v := h.guard.verdicts[name]; v != nil {
		delete(h.guard.verdicts, name)
		i.letOn(now, h, v)
	}
}

// upstreamCrashed gives every request that ran there a strike, at every instance.
func (i *Instance) upstreamCrashed(now time.Time, h *poolHome, name string) {
	boot := h.boots[name]
	ran := map[uint64]string{}
	for _, ask := range h.home.Remove(name) {
		h.guard.forget(ask.Attempt)
		delete(h.entries, ask.Attempt)
		ran[ask.Fingerprint] = boot
	}
	v := h.guard.verdicts[name]
	if v != nil {
		delete(h.guard.verdicts, name)
		maps.Copy(ran, v.ran)
	}
	if boot != "" {
		h.crashed[name] = boot
	}
	delete(h.boots, name)
	if len(ran) > 0 {
		i.emit(Log{Event: "upstream_crashed", Pairs: []any{"upstream", name, "boot", boot, "fingerprints", len(ran)}})
	}
	for _, print := range sortedPrints(ran, func(on string) bool { return on != "" }) {
		h.crashed[name] = ran[print]
		i.strike(now, print, suspect.Crash{Upstream: name, Boot: ran[print]})
	}
	if v != nil {
		i.letOn(now, h, v)
	}
}

// sortedPrints lists the fingerprints whose run passes a test, in order.
func sortedPrints(ran map[uint64]string, ok func(boot string) bool) []uint64 {
	var out []uint64
	for print, boot := range ran {
		if ok(boot) {
			out = append(out, print)
		}
	}
	slices.Sort(out)
	return out
}
