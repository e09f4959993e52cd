package pool

import (
	"maps"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// coldShare is the part of a cold upstream's rate that one home uses: two instances may both
// act as home, and entries that reach neither choose on their own.
const coldShare = 0.4

// Listing is what the home's instance knows of the pool.
type Listing struct {
	// Answered is when the last question was asked that the store answered.
	Answered  time.Time
	Upstreams []*roster.Upstream
	Cordons   cordon.Set
	// ColdRate is the request rate that a cold upstream accepts; 0 means no limit.
	ColdRate float64
}

// Sync updates the pool from the list.
func (h *Home) Sync(now time.Time, l Listing) {
	h.coldRate = l.ColdRate
	h.decide(now, h.placement.SetCordons(now, l.Cordons))
	seen := map[string]bool{}
	for _, u := range l.Upstreams {
		seen[u.ID] = true
		if at, ok := h.own[u.ID]; ok && u.LeavingSince.IsZero() {
			u.LeavingSince = at // its own notice precedes the list
		}
		h.upstreams[u.ID] = u
		h.report(now, u)
	}
	for _, id := range slices.Sorted(maps.Keys(h.upstreams)) {
		if !seen[id] {
			h.gone(now, id)
		}
	}
	interval := probeInterval
	if now.Sub(l.Answered) > storeFresh {
		interval = outageProbeInterval
	}
	if !h.without.Has(mechanism.LeaveProbes) {
		h.probe(now, interval)
	}
	h.evacuate(now)
}

// probe asks upstreams with running generations whether they are leaving: during an outage of
// the store notices do not arrive through the list.
func (h *Home) probe(now time.Time, interval time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(h.upstreams)) {
		if u := h.upstreams[id]; h.placement.Runs(id) && u.LeavingSince.IsZero() && now.Sub(h.probedAt[id]) >= interval {
			h.probedAt[id] = now
			h.probes = append(h.probes, Probe{ID: id, Address: u.Address})
		}
	}
}

// Leaves processes an upstream's own notice that it is leaving, and when if known.
func (h *Home) Leaves(now time.Time, id string, in time.Duration, known bool) {
	u := h.upstreams[id]
	if u == nil {
		return
	}
	if u.LeavingSince.IsZero() {
		u.LeavingSince = now
		h.own[id] = now
	}
	h.report(now, u)
	if e := h.evacuations[id]; e != nil && known {
		e.ends = now.Add(in)
		h.note("upstream_leaves", "upstream", id, "in", in)
	}
	h.evacuate(now)
}

// Unreachable records a failed connection to an upstream.
func (h *Home) Unreachable(now time.Time, id string) {
	if u := h.upstreams[id]; u != nil {
		h.unreachable[id] = now
		h.report(now, u)
	}
}

// report passes an upstream's state to the placement and starts its evacuation if it is
// leaving.
func (h *Home) report(now time.Time, u *roster.Upstream) {
	slots := u.Slots
	if slots == 0 {
		slots = h.engine.Slots
	}
	h.decide(now, h.placement.Report(now, now, placement.Report{
		Upstream: u.ID, DataCentre: u.DataCentre, Leaving: !u.TakesWork() || now.Sub(h.unreachable[u.ID]) < unreachableBackoff, Capacity: h.engine.MemoryToken, MaxBatch: slots,
		Penalty: failurePenalty * h.failureRate(now, u.ID), MaxStarts: h.maxStarts(now, u),
	}))
	if !u.TakesWork() && h.evacuations[u.ID] == nil {
		h.evacuations[u.ID] = newEvacuation(u, now)
		h.probes = append(h.probes, Probe{ID: u.ID, Address: u.Address})
		h.note("evacuation_began", "upstream", u.ID, "running", len(h.placement.On(now, u.ID)))
	}
}

// maxStarts bounds the requests sent to an upstream in a second. The bound also applies to
// upstreams that are not known to be cold: they may have become so a moment ago.
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

// gone drops an upstream that is no longer listed once it is idle. It may still serve for a
// while, so that its generations are moved as from a leaving one.
func (h *Home) gone(now time.Time, id string) {
	u := h.upstreams[id]
	u.Gone = true
	if u.LeavingSince.IsZero() {
		u.LeavingSince = now
	}
	if len(h.placement.On(now, id)) > 0 && now.Sub(u.LeavingSince) < evacuationTimeout {
		h.report(now, u)
		return
	}
	for _, ask := range h.placement.Remove(id) {
		delete(h.entries, ask.Attempt)
	}
	if e := h.evacuations[id]; e != nil && e.order != nil {
		h.abandonCopy(now, e.order)
	}
	delete(h.upstreams, id)
	delete(h.evacuations, id)
	delete(h.unreachable, id)
	delete(h.failures, id)
	delete(h.full, id)
	delete(h.probedAt, id)
	delete(h.own, id)
}
