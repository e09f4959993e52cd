package pool

import (
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

const (
	// waitedTTL is how long after it was queued a request is recognised when it comes again. No
	// request waits longer.
	waitedTTL = 20 * time.Second
	// minTargetLeft is the least target of a request that comes again, in addition to its prefill. With
	// less, the home would take it for one that is late anyway and serve it behind all others.
	minTargetLeft = 500 * time.Millisecond
)

// requestOf returns the request that an attempt belongs to: its id without the attempt's number.
func requestOf(attempt string) string {
	if k := strings.LastIndexByte(attempt, '/'); k >= 0 {
		return attempt[:k]
	}
	return attempt
}

// keepPlace gives a request that has waited here before the place of its first attempt: its target is
// counted from then. Its upstream has left, or has failed, between the grant and the first token. As a
// newcomer it would wait a second time, behind requests that came after it.
func (h *Home) keepPlace(now time.Time, req *placement.Request) {
	since, ok := h.queuedAt[requestOf(req.Attempt)]
	if !ok || req.FirstTarget <= 0 || h.without.Has(mechanism.DueOrder) {
		return
	}
	prefill := time.Duration(float64(req.Prompt) / initialPrefillRate * float64(time.Second))
	req.FirstTarget = min(req.FirstTarget, max(req.FirstTarget-now.Sub(since), minTargetLeft+prefill))
	h.note("place_kept", "request", req.Attempt, "waited", now.Sub(since), "target_left", req.FirstTarget)
}

// recordQueued remembers since when a request has waited.
func (h *Home) recordQueued(now time.Time, attempt string) {
	if id := requestOf(attempt); h.queuedAt[id].IsZero() {
		h.queuedAt[id] = now
	}
}

// expireQueued drops the requests that were queued long ago.
func (h *Home) expireQueued(now time.Time) {
	for id, since := range h.queuedAt {
		if now.Sub(since) > waitedTTL {
			delete(h.queuedAt, id)
		}
	}
}
