package placement

import (
	"math"
	"math/bits"
	"time"
)

const (
	// drainTimeConstant is the time constant with which measurements decay.
	drainTimeConstant = 10 * time.Second
	// guessWeight is the weight of the guessed rate, in seconds of measurement.
	guessWeight = 5.0
	// costClasses is the number of cost classes, one for each power of two.
	costClasses = 32
	// minShare is the minimum fraction of the drain rate that reaches a request while cheaper
	// work continues to arrive; ageing guarantees it.
	minShare = 0.05
	// lateShareGuess is the fraction of the drain rate that late requests are assumed to get
	// before it is measured.
	lateShareGuess = 0.25
	// missStep is added to logCorrection when a timely request reaches its maximum wait, hitStep
	// is subtracted when a queued request is granted. They balance at one miss in 21.
	missStep = 0.1
	hitStep  = 0.005
	// maxLogCorrection bounds logCorrection.
	maxLogCorrection = 3.0
)

// drainMeter measures how much work a pool grants per second while requests wait, and how much
// work arrives in each cost class. All measurements decay.
type drainMeter struct {
	updatedAt time.Time
	// granted is the cost granted while requests waited. busy is the time in seconds during which
	// requests waited. lateGranted is the cost granted to late requests while late requests waited.
	// lateBusy is the time in seconds during which late requests waited.
	granted, busy         float64
	lateGranted, lateBusy float64
	// arrived is the cost by class that arrived during arrivalSeconds.
	arrived        [costClasses]float64
	arrivalSeconds float64
	// logCorrection is the natural logarithm of the factor by which waits were underestimated.
	logCorrection float64
}

// costClass returns the class of a cost: the number of bits of its integer part.
func costClass(cost float64) int {
	return min(bits.Len64(uint64(max(cost, 0))), costClasses-1)
}

// advance decays the measurements for the time since the last call. waiting reports whether
// requests are queued, late whether late ones are.
func (m *drainMeter) advance(now time.Time, waiting, late bool) {
	since := now.Sub(m.updatedAt).Seconds()
	if m.updatedAt.IsZero() {
		since = 0
	}
	m.updatedAt = now
	if since <= 0 {
		return
	}
	keep := math.Exp(-since / drainTimeConstant.Seconds())
	if waiting {
		m.granted *= keep
		m.busy = m.busy*keep + since
	}
	if late {
		m.lateGranted *= keep
		m.lateBusy = m.lateBusy*keep + since
	}
	m.arrivalSeconds = m.arrivalSeconds*keep + since
	for i := range m.arrived {
		m.arrived[i] *= keep
	}
}

// rate returns the cost granted per second, close to the guess until enough is measured.
func (m *drainMeter) rate(guess float64) float64 {
	return (m.granted + guess*guessWeight) / (m.busy + guessWeight)
}

// lateRate returns the share of a drain rate that late requests get.
func (m *drainMeter) lateRate(rate float64) float64 {
	return (m.lateGranted + lateShareGuess*rate*guessWeight) / (m.lateBusy + guessWeight)
}

// cheaperRate returns the cost per second that arrives in classes below that of a cost.
func (m *drainMeter) cheaperRate(cost float64) float64 {
	sum := 0.0
	for i := range costClass(cost) {
		sum += m.arrived[i]
	}
	return sum / (m.arrivalSeconds + guessWeight)
}

// recordGrant records the grant of a queued request.
func (m *drainMeter) recordGrant(cost float64, late bool) {
	m.granted += cost
	if late {
		m.lateGranted += cost
	}
	m.logCorrection = max(m.logCorrection-hitStep, 0)
}

// recordMiss records that a timely request reached its maximum wait in the queue.
func (m *drainMeter) recordMiss() { m.logCorrection = min(m.logCorrection+missStep, maxLogCorrection) }

// correction returns the factor applied to predicted waits. If predictions are too short,
// requests are refused only at their maximum wait; the correction then grows until nearly all
// refusals are immediate.
func (m *drainMeter) correction() float64 { return math.Exp(m.logCorrection) }
