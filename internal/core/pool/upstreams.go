package pool

import (
	"maps"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// coldShare is the fraction of a cold upstream's request rate that one home uses. Two instances may
// both act as home, and entries that reach neither select upstreams themselves.
const coldShare = 0.4

// Listing is the state of the pool according to the store.
type Listing struct {
	// Answered is the time as of which the store last confirmed the list: when the query was sent
	// to which the store replied.
	Answered  time.Time
	Upstreams []*roster.Upstream
	Cordons   cordon.Set
	// ColdRate is the request rate that a cold upstream accepts; 0 means no limit.
	ColdRate float64
	// RateLimits holds the limits that upstreams state, by id.
	RateLimits map[string]ratelimit.Limit
}

// Sync updates the pool from a listing and continues evacuations.
func (h *Home) Sync(now time.Time, l Listing) {
	h.coldRate, h.rateLimits = l.ColdRate, l.RateLimits
	h.decide(now, h.placement.SetCordons(now, l.Cordons))
	seen := map[string]bool{}
	for _, u := range l.Upstreams {
		seen[u.ID] = true
		if known := h.upstreams[u.ID]; known != nil && (known.Run() != u.Run() || known.Software != "" && known.Software != u.Software) {
			h.forget(now, u.ID) // another run holds nothing of what the last one held or stated
		}
		if at, ok := h.ownNotices[u.ID]; ok && u.LeavingSince.IsZero() {
			u.LeavingSince = at // the listing does not yet include the upstream's own notice
		}
		h.upstreams[u.ID] = u
		h.report(now, u)
	}
	for _, id := range slices.Sorted(maps.Keys(h.upstreams)) {
		if !seen[id] {
			h.dropUnlisted(now, id)
		}
	}
	interval := probeInterval
	if now.Sub(l.Answered) > maxStoreAge {
		interval = outageProbeInterval
	}
	if !h.without.Has(mechanism.LeaveProbes) {
		h.probe(now, interval)
	}
	h.evacuate(now)
}

// probe requests probes of the upstreams that run generations and are not known to be leaving.
// During an outage of the store the listing shows no new notices.
func (h *Home) probe(now time.Time, interval time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(h.upstreams)) {
		if u := h.upstreams[id]; h.placement.HasGenerations(id) && u.LeavingSince.IsZero() && now.Sub(h.probedAt[id]) >= interval {
			h.probedAt[id] = now
			h.probes = append(h.probes, Probe{ID: id, Address: u.Address})
		}
	}
}

// NoticeLeaving processes an upstream's own notice that it is leaving. stopsIn is the time until
// the upstream stops; it is valid only if hasStopsIn is set.
func (h *Home) NoticeLeaving(now time.Time, id string, stopsIn time.Duration, hasStopsIn bool) {
	u := h.upstreams[id]
	if u == nil {
		return
	}
	if u.LeavingSince.IsZero() {
		u.LeavingSince = now
		h.ownNotices[id] = now
	}
	h.report(now, u)
	if e := h.evacuations[id]; e != nil && hasStopsIn {
		e.stopsAt = now.Add(stopsIn)
		h.note("upstream_leaves", "upstream", id, "in", stopsIn)
	}
	h.evacuate(now)
}

// Unreachable records that a connection to an upstream failed.
func (h *Home) Unreachable(now time.Time, id string) {
	if u := h.upstreams[id]; u != nil {
		h.unreachable[id] = now
		h.report(now, u)
	}
}

// report passes an upstream's state to the placement and starts the evacuation of an upstream that
// takes no more work.
func (h *Home) report(now time.Time, u *roster.Upstream) {
	slots := u.Slots
	if slots == 0 {
		slots = h.engine.Slots
	}
	h.decide(now, h.placement.Report(now, now, placement.Report{
		Upstream: u.ID, DataCentre: u.DataCentre, Software: u.Software, Leaving: !u.TakesWork() || now.Sub(h.unreachable[u.ID]) < unreachableBackoff, Capacity: h.engine.MemoryToken, MaxBatch: slots,
		Penalty: failurePenalty * h.failureRate(now, u.ID), MaxStarts: h.maxStarts(now, u),
		RateLimit: h.rateLimits[u.ID],
	}))
	if !u.TakesWork() && h.evacuations[u.ID] == nil {
		h.evacuations[u.ID] = newEvacuation(u, now)
		h.probes = append(h.probes, Probe{ID: u.ID, Address: u.Address})
		h.note("evacuation_began", "upstream", u.ID, "running", len(h.placement.Generations(now, u.ID)))
	}
}

// maxStarts returns the maximum number of requests sent to an upstream in a second; 0 means no
// limit. It also limits upstreams that are not known to be cold, as they may have become cold a
// moment ago.
func (h *Home) maxStarts(now time.Time, u *roster.Upstream) int {
	if h.coldRate <= 0 {
		return 0
	}
	rate := h.coldRate
	if now.Before(u.ColdUntil) {
		rate *= coldShare
	}
	return max(int(rate), 1)
}

// dropUnlisted drops an upstream that is no longer listed once it is idle or evacuationTimeout has
// passed. Until then the upstream may still serve, so its generations are moved as if it were
// leaving.
func (h *Home) dropUnlisted(now time.Time, id string) {
	u := h.upstreams[id]
	u.Removed = true
	if u.LeavingSince.IsZero() {
		u.LeavingSince = now
	}
	if len(h.placement.Generations(now, id)) > 0 && now.Sub(u.LeavingSince) < evacuationTimeout {
		h.report(now, u)
		return
	}
	h.forget(now, id)
}

// forget drops all state of an upstream.
func (h *Home) forget(now time.Time, id string) {
	for _, req := range h.placement.Remove(id) {
		delete(h.entries, req.Attempt)
	}
	if e := h.evacuations[id]; e != nil && e.order != nil {
		h.abandonCopy(now, e.order)
	}
	delete(h.upstreams, id)
	delete(h.evacuations, id)
	delete(h.unreachable, id)
	delete(h.failures, id)
	delete(h.fullUntil, id)
	delete(h.probedAt, id)
	delete(h.ownNotices, id)
	delete(h.speedNotes, id)
}
