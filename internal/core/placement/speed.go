package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// speed holds the decode interval and the prefill throughput of an upstream while work takes as long
// as usual there; 0 while unknown.
type speed struct {
	// pace is the decode interval, in seconds, without concurrent prefill.
	pace float64
	// rate is the prefill throughput in tokens a second.
	rate float64
	// paceAt and rateAt are the times of the last measurements.
	paceAt time.Time
	rateAt time.Time
}

const (
	// speedWeight is the weight of one measurement in an upstream's moving average. It is high,
	// as upstreams are short-lived and may become slow.
	speedWeight = 0.3
	// slowerPaceWeight replaces speedWeight for a decode interval above the average. It is low, as
	// most of the long intervals were measured under continuous concurrent prefill, while the
	// average is meant to be without it.
	slowerPaceWeight = 0.03
	// poolSpeedWeight is the weight of one measurement in the moving average of the pool.
	poolSpeedWeight = 0.02
	// speedTTL is how long a measurement is used. An upstream that gets no work because it was
	// slow is not measured again, so that its measurements must expire.
	speedTTL = 10 * time.Second
	// initialPace is the initial estimate of the decode interval in seconds.
	initialPace = 0.01
)

// updateMean adds a value with a weight to a moving average, which is 0 before the first value.
func updateMean(mean *float64, value, weight float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += weight * (value - *mean)
}

// recordPace records the decode interval of a generation, corrected by what the upstream has stated
// about the time in which it was measured.
func (h *Home) recordPace(now time.Time, u *upstream, pace time.Duration) {
	usual := u.usualPace(now, pace)
	weight := speedWeight
	if usual > u.measuredSpeed.pace {
		weight = slowerPaceWeight
	}
	updateMean(&u.measuredSpeed.pace, usual, weight)
	u.measuredSpeed.paceAt = now
	updateMean(&h.poolSpeed.pace, u.measuredSpeed.pace, poolSpeedWeight)
}

// recordPrefillRate records the duration of a prefill that waited for no other prompt, corrected like
// decode intervals.
func (h *Home) recordPrefillRate(now time.Time, u *upstream, prompt int, took time.Duration) {
	rate := float64(prompt) / u.usualPrefill(now, took)
	updateMean(&u.measuredSpeed.rate, rate, speedWeight)
	u.measuredSpeed.rateAt = now
	updateMean(&h.poolSpeed.rate, rate, poolSpeedWeight)
}

// speedAt returns the usual speed assumed for an upstream: recent measurements, or the pool's speed if
// there are none. While only the prefill throughput is measured, the decode interval is assumed
// to be proportionally slower or faster, so that the first prompt already gives an estimate for a
// new upstream.
func (h *Home) speedAt(now time.Time, u *upstream) speed {
	hasPace, hasRate := now.Sub(u.measuredSpeed.paceAt) < speedTTL, now.Sub(u.measuredSpeed.rateAt) < speedTTL
	if h.settings.Without.Has(mechanism.Speeds) {
		hasPace, hasRate = false, false
	}
	s := speed{pace: h.poolSpeed.pace, rate: h.usualPrefillRate()}
	if hasRate {
		s.rate = u.measuredSpeed.rate
	}
	switch {
	case hasPace:
		s.pace = u.measuredSpeed.pace
	case s.pace == 0:
		s.pace = initialPace
	case hasRate:
		s.pace *= h.usualPrefillRate() / s.rate
	}
	return s
}

// poolPrefillRate returns the expected mean prefill throughput of the pool's upstreams in tokens a
// second.
func (h *Home) poolPrefillRate() float64 {
	if h.relativeSpeed == 0 {
		return h.usualPrefillRate()
	}
	return h.usualPrefillRate() * h.relativeSpeed
}

// usualPrefillRate returns what poolPrefillRate is while work takes as long as usual.
func (h *Home) usualPrefillRate() float64 {
	if h.poolSpeed.rate > 0 {
		return h.poolSpeed.rate
	}
	return h.settings.PromptRate
}
