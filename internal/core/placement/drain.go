package placement

import (
	"math"
	"math/bits"
	"time"
)

const (
	// drainFade is the time constant of measured rates.
	drainFade = 10 * time.Second
	// guessWeight is the weight of the guessed rate in seconds of measurement.
	guessWeight = 5.0
	// costClasses is the number of cost classes, one for each power of two.
	costClasses = 32
	// minShare is the fraction of the drain rate that always reaches an ask, however much
	// cheaper work arrives; ageing guarantees it.
	minShare = 0.05
	// lateGuess is the assumed fraction of the drain rate for late asks before it is measured.
	lateGuess = 0.25
	// missStep and hitStep adjust the doubt after a wait that exceeded its limit and after one
	// that did not. They balance at one miss in 21.
	missStep = 0.1
	hitStep  = 0.005
	// maxErrors bounds the doubt.
	maxErrors = 3.0
)

// drainMeter measures, by cost class, how much work a pool completes per second while asks
// wait and how much arrives.
type drainMeter struct {
	at time.Time
	// granted is the cost granted in busy seconds with a queue, lateGranted the cost granted
	// in lateBusy seconds to asks past their deadline.
	granted, busy         float64
	lateGranted, lateBusy float64
	// came is the cost that arrived over the last seconds; both decay.
	came    [costClasses]float64
	seconds float64
	// errors is the logarithm of the factor by which waits were underestimated.
	errors float64
}

func classOf(cost float64) int {
	return min(bits.Len64(uint64(max(cost, 0))), costClasses-1)
}

// advance decays the measurements; waiting and late report whether any and whether late asks
// were queued.
func (m *drainMeter) advance(now time.Time, waiting, late bool) {
	since := now.Sub(m.at).Seconds()
	if m.at.IsZero() {
		since = 0
	}
	m.at = now
	if since <= 0 {
		return
	}
	keep := math.Exp(-since / drainFade.Seconds())
	if waiting {
		m.granted *= keep
		m.busy = m.busy*keep + since
	}
	if late {
		m.lateGranted *= keep
		m.lateBusy = m.lateBusy*keep + since
	}
	m.seconds = m.seconds*keep + since
	for i := range m.came {
		m.came[i] *= keep
	}
}

// rate returns the cost completed per second, close to the guess until enough is measured.
func (m *drainMeter) rate(guess float64) float64 {
	return (m.granted + guess*guessWeight) / (m.busy + guessWeight)
}

// lateRate returns the part of a rate that reaches late asks.
func (m *drainMeter) lateRate(rate float64) float64 {
	return (m.lateGranted + lateGuess*rate*guessWeight) / (m.lateBusy + guessWeight)
}

// cheaper returns the cost per second arriving in lower classes.
func (m *drainMeter) cheaper(cost float64) float64 {
	sum := 0.0
	for i := range classOf(cost) {
		sum += m.came[i]
	}
	return sum / (m.seconds + guessWeight)
}

// served records a grant from the queue.
func (m *drainMeter) served(cost float64, late bool) {
	m.granted += cost
	if late {
		m.lateGranted += cost
	}
	m.errors = max(m.errors-hitStep, 0)
}

// missed records a wait that exceeded its prediction.
func (m *drainMeter) missed() { m.errors = min(m.errors+missStep, maxErrors) }

// doubt is the factor applied to predicted waits. Predictions that are too short appear as
// late refusals; the doubt then grows until nearly all refusals are immediate.
func (m *drainMeter) doubt() float64 { return math.Exp(m.errors) }
