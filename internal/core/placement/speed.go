package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// speed holds an upstream's unloaded decode interval and prefill throughput; 0 while unknown.
type speed struct {
	// pace is the decode interval in seconds without prefill beside it.
	pace float64
	// rate is the prefill throughput in tokens a second.
	rate float64
	// pacedAt and ratedAt are the times of the last measurements.
	pacedAt time.Time
	ratedAt time.Time
}

const (
	// speedFade is the weight of one measurement: upstreams are short-lived and may become
	// slow.
	speedFade = 0.3
	// disturbedFade is that weight for a longer decode interval, most of which were disturbed
	// by prefill all the while.
	disturbedFade = 0.03
	// typicalFade is the weight in the mean of the pool.
	typicalFade = 0.02
	// speedTTL is how long a measurement counts. An upstream that is avoided gets no new ones.
	speedTTL = 10 * time.Second
	// firstPace is the initial estimate of the decode interval in seconds.
	firstPace = 0.01
)

// learn updates a mean that is 0 before the first value.
func learn(mean *float64, value, fade float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += fade * (value - *mean)
}

// learnPace records the decode interval of an answer.
func (h *Home) learnPace(now time.Time, u *upstream, pace time.Duration) {
	fade := speedFade
	if pace.Seconds() > u.speed.pace {
		fade = disturbedFade
	}
	learn(&u.speed.pace, pace.Seconds(), fade)
	u.speed.pacedAt = now
	learn(&h.typical.pace, u.speed.pace, typicalFade)
}

// learnRate records the duration of a prefill without other prompts.
func (h *Home) learnRate(now time.Time, u *upstream, prompt int, took time.Duration) {
	rate := float64(prompt) / took.Seconds()
	learn(&u.speed.rate, rate, speedFade)
	u.speed.ratedAt = now
	learn(&h.typical.rate, rate, typicalFade)
}

// speedAt returns an upstream's assumed speed: what was measured, or the pool's. A slow
// prefill implies slow decoding, so that the first prompt already tells about a new upstream.
func (h *Home) speedAt(now time.Time, u *upstream) speed {
	paced, rated := now.Sub(u.speed.pacedAt) < speedTTL, now.Sub(u.speed.ratedAt) < speedTTL
	if h.settings.Without.Has(mechanism.Speeds) {
		paced, rated = false, false
	}
	s := speed{pace: h.typical.pace, rate: h.typicalRate()}
	if rated {
		s.rate = u.speed.rate
	}
	switch {
	case paced:
		s.pace = u.speed.pace
	case s.pace == 0:
		s.pace = firstPace
	case rated:
		s.pace *= h.typicalRate() / s.rate
	}
	return s
}

// typicalRate returns the pool's mean prefill throughput in tokens a second.
func (h *Home) typicalRate() float64 {
	if h.typical.rate > 0 {
		return h.typical.rate
	}
	return h.settings.PromptRate
}
