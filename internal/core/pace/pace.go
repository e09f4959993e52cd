// Package pace limits the number of starts in any second. Callers pass the current time; the
// package has no clock.
package pace

import "time"

// Window is the sliding time window in which starts are limited.
const Window = time.Second

// Starts records the starts within the last Window. The zero value has no starts and no limit.
type Starts struct {
	// Limit is the maximum number of starts in any Window; 0 means no limit.
	Limit int
	// recent holds the times of the starts within the last Window, oldest first.
	recent []time.Time
}

// Note records a start at the given time.
func (s *Starts) Note(now time.Time) {
	expired := 0
	for expired < len(s.recent) && now.Sub(s.recent[expired]) >= Window {
		expired++
	}
	s.recent = append(s.recent[:copy(s.recent, s.recent[expired:])], now)
}

// OpenAt returns the time of the next allowed start; zero if a start is allowed at any time.
func (s *Starts) OpenAt() time.Time {
	if s.Limit <= 0 || len(s.recent) < s.Limit {
		return time.Time{}
	}
	return s.recent[len(s.recent)-s.Limit].Add(Window)
}

// Open reports whether a start is allowed at the given time.
func (s *Starts) Open(now time.Time) bool { return !now.Before(s.OpenAt()) }
