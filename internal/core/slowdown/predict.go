package slowdown

import (
	"math"
	"time"
)

// Prediction is what a decision needs of a State, in a form that is cheap to evaluate: one square root
// at most. The zero value is that of an upstream that has stated nothing: work takes as
// long as usual.
type Prediction struct {
	// factor is the last statement, mean the expected factor in the long run; 0 if nothing was stated.
	factor, mean float64
	// at is the time of the statement in Unix nanoseconds.
	at int64
}

// Prediction returns the prediction after the last statement.
func (s *State) Prediction() Prediction {
	if !s.Stated() {
		return Prediction{}
	}
	return Prediction{factor: s.factor, mean: s.mean, at: s.at.UnixNano()}
}

// Stated reports whether the upstream has stated a factor.
func (p *Prediction) Stated() bool { return p.mean != 0 }

// At returns the expected factor at a time in Unix nanoseconds.
func (p *Prediction) At(now int64) float64 {
	if p.mean == 0 {
		return Usual
	}
	return p.stated(now)
}

// stated is At for an upstream that has stated a factor. It is a function of its own so that At is
// inlined in decisions.
func (p *Prediction) stated(now int64) float64 {
	age := uint64(max(now-p.at, 0)) / uint64(fadeStep)
	if age >= uint64(len(fades)) {
		return p.mean
	}
	return p.mean + (p.factor-p.mean)*fades[age]
}

// fadeStep is the step of fades. math.Exp made decisions among hundreds of upstreams several times
// slower than the table does.
const fadeStep = 8 * time.Millisecond

// fades holds exp(-age/spellTime) by age; beyond, less than a hundredth of a statement counts.
var fades = func() (out [128]float64) {
	for i := range out {
		out[i] = math.Exp(-ratio(time.Duration(i)*fadeStep, spellTime))
	}
	return out
}()

// Mean returns the expected factor in the long run.
func (p *Prediction) Mean() float64 {
	if p.mean == 0 {
		return Usual
	}
	return p.mean
}

// Seconds returns how long work takes that begins at a time in Unix nanoseconds and usually takes a
// number of seconds. The speed, which is 1/factor, is expected to return from that at the beginning to
// that of the mean within spellTime. Work of a few milliseconds therefore takes At times as long and
// work of many seconds Mean times as long. In between, 1-exp(-x) is replaced by x/(1+x), which makes
// the equation for the duration quadratic.
func (p *Prediction) Seconds(now int64, usual float64) float64 {
	return p.SecondsFrom(p.At(now), usual)
}

// SecondsFrom is Seconds for work that begins while a factor is expected, as returned by At.
func (p *Prediction) SecondsFrom(factor, usual float64) float64 {
	if p.mean == 0 {
		return usual
	}
	return p.solve(factor, usual)
}

// solve solves the equation of SecondsFrom.
func (p *Prediction) solve(factor, usual float64) float64 {
	r := p.mean / factor
	b := p.mean * usual / spellTime.Seconds()
	d := b - r
	return spellTime.Seconds() * (d + math.Sqrt(d*d+4*b)) / 2
}
