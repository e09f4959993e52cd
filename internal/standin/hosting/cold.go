package hosting

import (
	"net/http"
	"strconv"
	"time"
)

// A cold upstream crashes when more than coldBurstFactor times its rate (in requests per
// second) plus coldBurstAllowance requests arrive within one second.
const (
	coldBurstFactor    = 1.5
	coldBurstAllowance = 5
)

// healthPath is the path of the health check.
const healthPath = "/healthz"

// Chill makes the upstream cold for the duration d from now on.
func (w *Worker) Chill(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(d)
}

// Overrun reports whether the upstream crashed because too many requests arrived while it
// was cold.
func (w *Worker) Overrun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overrun
}

// recordArrival records a request and reports whether the upstream crashes because of it.
func (w *Worker) recordArrival(a *Arrival) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.Cold, a.Pause = a.At.Before(w.coldUntil), w.pause
	w.arrivals = append(w.arrivals, a)
	if !a.Cold || w.coldPerS <= 0 || w.overrun {
		return false
	}
	n := 0
	for _, b := range w.arrivals {
		if b.Cold && a.At.Sub(b.At) < time.Second {
			n++
		}
	}
	w.overrun = float64(n) > w.coldPerS*coldBurstFactor+coldBurstAllowance
	return w.overrun
}

// serveHealth responds with status 200 if the upstream is ready, otherwise with 503. The
// header Cold-Ms is the time for which the upstream stays cold.
func (w *Worker) serveHealth(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Instance-Id", w.ID)
	w.stateSpeed(rw.Header())
	if left := time.Until(w.coldUntil); left > 0 {
		rw.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	if w.state != "ready" {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}
