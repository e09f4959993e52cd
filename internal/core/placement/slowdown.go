package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// decodeWindowTokens is the number of tokens in the window from which entries measure a pace.
const decodeWindowTokens = 64

// OnSlowdown processes an upstream's statement, made at a time, that work takes factor times as long
// as usual on its machine. It reports whether the statement was taken: statements of unknown
// upstreams, those that were not made after the last one and those beyond slowdown's bounds are
// ignored. Requests that wait may get room by it.
func (h *Home) OnSlowdown(now, at time.Time, name string, factor float64) (ds []Decision, taken bool) {
	u := h.byName[name]
	if u == nil || !h.observeSlowdown(now, at, u, factor) {
		return nil, false
	}
	h.summarize(u)
	if h.queue.len() > 0 {
		ds = h.drainQueue(now)
	}
	return ds, true
}

// observeSlowdown records a statement. One that claims to be made in the future counts as made now, so
// that it does not hide all statements until then.
func (h *Home) observeSlowdown(now, at time.Time, u *upstream, factor float64) bool {
	if h.settings.Without.Has(mechanism.StatedSpeeds) || !(factor >= slowdown.MinStated && factor <= slowdown.MaxStated) {
		return false
	}
	if at.After(now) {
		at = now
	}
	if !u.slowdown.Observe(at, factor) {
		return false
	}
	h.updatePoolSlowdown()
	return true
}

// Slowdown returns the factor that is expected for an upstream at a time and in the long run, and
// whether its upstream has stated any.
func (h *Home) Slowdown(now time.Time, name string) (present, mean float64, stated bool) {
	u := h.byName[name]
	if u == nil || !u.slowdown.Stated() {
		return slowdown.Usual, slowdown.Usual, false
	}
	p := u.slowdown.Prediction()
	return p.At(now.UnixNano()), p.Mean(), true
}

// updatePoolSlowdown recomputes relativeSpeed.
func (h *Home) updatePoolSlowdown() {
	sum := 0.0
	for _, u := range h.upstreams {
		sum += 1 / u.meanSlowdown()
	}
	h.relativeSpeed = sum / float64(max(len(h.upstreams), 1))
}

// meanSlowdown returns the factor by which work takes longer than usual in the long run.
func (u *upstream) meanSlowdown() float64 {
	if !u.slowdown.Stated() {
		return slowdown.Usual
	}
	p := u.slowdown.Prediction()
	return p.Mean()
}

// usualPrefill returns how long a prefill that took until now would usually have taken, in seconds.
func (u *upstream) usualPrefill(now time.Time, took time.Duration) float64 {
	return took.Seconds() / u.slowdown.Mean(now.Add(-took), now)
}

// usualPace returns the usual decode interval, in seconds, if the lower quartile of the latest
// intervals is pace.
func (u *upstream) usualPace(now time.Time, pace time.Duration) float64 {
	return pace.Seconds() / u.slowdown.Quartile(now.Add(-decodeWindowTokens*pace), now)
}

// expectedRate returns the prefill throughput that is expected in the long run, in tokens a second.
func (u *upstream) expectedRate() float64 { return u.assumedSpeed.rate / u.meanSlowdown() }
