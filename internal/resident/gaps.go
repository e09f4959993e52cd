package resident

import "time"

// gaps measures the pauses between the events of a stream, as they are passed on
// to the caller: the waits that a reader of the answer sees. A pause that a move,
// a slow upstream or a lossy link makes shows here; one between this instance and
// the caller does not.
type gaps struct {
	last    time.Time
	longest time.Duration
}

// note takes an event that is passed on now, and returns the pause before it; ok
// is false for the first event, before which there is none.
func (g *gaps) note(now time.Time) (pause time.Duration, ok bool) {
	ok = !g.last.IsZero()
	if ok {
		pause = now.Sub(g.last)
		g.longest = max(g.longest, pause)
	}
	g.last = now
	return pause, ok
}
