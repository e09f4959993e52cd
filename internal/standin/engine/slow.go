package engine

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// spell is a time in which an engine does a part of its steps only, so that its work takes factor
// times as long as usual.
type spell struct {
	factor float64
	until  time.Time
	// owed is the number of steps that are due, of which parts are saved up.
	owed float64
}

// Slow makes the engine factor times slower than usual for the duration d. Its load reports state that
// with their usual delay.
func (e *Engine) Slow(factor float64, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = spell{factor: factor, until: time.Now().Add(d)}
}

// at returns the factor at a time.
func (s *spell) at(now time.Time) float64 {
	if s.factor <= 0 || !now.Before(s.until) {
		return slowdown.Usual
	}
	return s.factor
}

// takesStep reports whether the engine does the step that is due now.
func (s *spell) takesStep(now time.Time) bool {
	s.owed += 1 / s.at(now)
	if s.owed < 1 {
		return false
	}
	s.owed = min(s.owed-1, 1)
	return true
}
