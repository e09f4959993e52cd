package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// leavingRuns holds, by upstream, the boot of the run that has stated in a response that it
// leaves. Load reports and the instance list may show that later. A run that leaves does not come
// back; another run has another boot.
type leavingRuns map[string]string

// has reports whether a run of an upstream has stated that it leaves.
func (l leavingRuns) has(name, boot string) bool { return boot != "" && l[name] == boot }

// onLeavingStatement records that an upstream stated in a response that it leaves, and notifies the home
// of its pool, which grants no more work there.
func (i *Instance) onLeavingStatement(e UpstreamStatement, home string) {
	if e.Boot == "" || i.leavingRuns.has(e.Upstream, e.Boot) {
		return
	}
	i.leavingRuns[e.Upstream] = e.Boot
	i.count("upstream_statements_total", "upstream_leaving")
	i.emit(Log{Event: "upstream_leaving", Pairs: []any{"upstream", e.Upstream, "boot", e.Boot, "source", "response"}})
	if home != "" {
		i.send(home, msg.UpstreamLeaving{Upstream: e.Upstream, Boot: e.Boot})
	}
}

// onUpstreamLeaving stops grants for an upstream of whose leaving an entry was notified.
func (i *Instance) onUpstreamLeaving(now time.Time, m msg.UpstreamLeaving) {
	h := i.homeOf(m.Upstream)
	if h == nil || m.Boot != h.boots[m.Upstream] || h.leavingRuns.has(m.Upstream, m.Boot) {
		return
	}
	h.leavingRuns[m.Upstream] = m.Boot
	i.sendDecisions(now, h, h.home.MarkLeaving(now, m.Upstream))
}

// returnLeavingGrant returns a grant for an upstream that has stated to this instance that it leaves,
// and requests another one. The home is notified, as it may have taken over only now.
func (i *Instance) returnLeavingGrant(now time.Time, r *request, m msg.GrantResponse) {
	i.count("retries_total", "grant_leaving")
	i.send(r.place.home, msg.UpstreamLeaving{Upstream: m.Decision.Upstream, Boot: m.Boot})
	i.send(r.place.home, msg.GrantEnd{Pool: m.Pool, Attempt: r.attempt})
	i.requestGrant(now, r)
}
