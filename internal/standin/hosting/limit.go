package hosting

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// StatedLimit is a rate limit that an upstream states from a time on.
type StatedLimit struct {
	From time.Time
	// PerSecond is the limit in requests per second; 0 means that the upstream states none.
	PerSecond float64
}

// SetLimit makes the upstream state a rate limit in all responses from now on; 0 makes it state
// none. The upstream accepts requests beyond the limit.
func (w *Worker) SetLimit(perSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = append(w.limits, StatedLimit{From: time.Now(), PerSecond: perSecond})
}

// Limits returns the history of the limits that the upstream stated, oldest first.
func (w *Worker) Limits() []StatedLimit {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.limits)
}

// stateLimit adds the current limit to the head of a response.
func (w *Worker) stateLimit(h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.limits); n > 0 && w.limits[n-1].PerSecond > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(w.limits[n-1].PerSecond, 'f', -1, 64))
	}
}
