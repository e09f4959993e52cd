// Package slowdown estimates how much longer than usual work takes on an upstream, from what the
// upstream states about the machine that it shares with others. It does no I/O and has no clock.
//
// A statement describes a moment and is old when it arrives. The estimate therefore starts at the
// statement and returns to the mean of recent statements.
package slowdown

import (
	"math"
	"time"
)

// Usual is the factor of an upstream on which work takes as long as usual.
const Usual = 1.0

const (
	// spellTime is the time constant with which the estimate returns to the mean. Slow spells last
	// some hundred milliseconds.
	spellTime = 200 * time.Millisecond
	// maxAge is the age from which a statement says nothing about the present.
	maxAge = 2 * time.Second
	// meanTime is the time constant of the mean. It spans many spells.
	meanTime = 5 * time.Second
	// maxStep bounds the time for which one statement counts in the mean, so that a statement after
	// a long silence, which may describe a spell, does not become the mean.
	maxStep = 500 * time.Millisecond
)

// State is what one run of an upstream has stated. The zero value has stated nothing.
type State struct {
	// factor is the last statement, made at a time; at is zero if there is none.
	factor float64
	at     time.Time
	// mean is the moving average of the statements.
	mean float64
}

// Observe records that work took factor times as long as usual at a time. Statements that were not
// made after the last one, and factors that are not positive numbers, are ignored.
func (s *State) Observe(at time.Time, factor float64) {
	if !(factor > 0) || math.IsInf(factor, 1) || !s.at.IsZero() && !at.After(s.at) {
		return
	}
	step := maxStep
	if s.at.IsZero() {
		s.mean = Usual
	} else {
		step = min(at.Sub(s.at), maxStep)
	}
	s.mean += (factor - s.mean) * (1 - math.Exp(-ratio(step, meanTime)))
	s.factor, s.at = factor, at
}

// Stated reports whether there is a statement.
func (s *State) Stated() bool { return !s.at.IsZero() }

// Last returns the last statement, or Usual if there is none.
func (s *State) Last() float64 {
	if !s.Stated() {
		return Usual
	}
	return s.factor
}

// At returns the expected factor at a time.
func (s *State) At(now time.Time) float64 {
	if !s.Stated() {
		return Usual
	}
	return s.mean + s.excess(now)
}

// Over returns the expected mean factor of work that takes d and begins now.
func (s *State) Over(now time.Time, d time.Duration) float64 {
	if !s.Stated() {
		return Usual
	}
	if d <= 0 {
		return s.At(now)
	}
	spells := ratio(d, spellTime)
	return s.mean + s.excess(now)*(1-math.Exp(-spells))/spells
}

// excess returns by how much the expected factor exceeds the mean at a time.
func (s *State) excess(now time.Time) float64 {
	age := max(now.Sub(s.at), 0)
	if age > maxAge {
		return 0
	}
	return (s.factor - s.mean) * math.Exp(-ratio(age, spellTime))
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }
