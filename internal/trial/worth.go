package trial

import "time"

// Fate says how a request ended for its caller.
type Fate string

// Fates of requests, in the order in which tables show them.
const (
	// InTime: whole, its first token and each pause on time.
	InTime Fate = "in_time"
	// LateFirst and LatePause: whole, but the first token came late, or a pause
	// was too long.
	LateFirst Fate = "late_first"
	LatePause Fate = "late_pause"
	// LostLeaving, LostCrash, LostFailing: broken off by an engine that left,
	// crashed, or failed it.
	LostLeaving Fate = "lost_leaving"
	LostCrash   Fate = "lost_crash"
	LostFailing Fate = "lost_failing"
	// LostEntry and LostShutdown: broken off as its instance died, or all did.
	LostEntry    Fate = "lost_entry"
	LostShutdown Fate = "lost_shutdown"
	// TurnedAway: refused, and its caller did not come back.
	TurnedAway Fate = "turned_away"
	// Unended: without an outcome when the run was over.
	Unended Fate = "unended"
)

// Fates lists the fates that cost worth.
var Fates = []Fate{LateFirst, LatePause, LostLeaving, LostCrash, LostFailing, LostEntry, LostShutdown, TurnedAway, Unended}

// Worth is what the callers of a run were owed, and what they lost of it.
type Worth struct {
	Owed float64
	// Lost is the worth lost by each fate; a late answer keeps a part of its.
	Lost map[Fate]float64
	// InFlight sums the worth of requests times the seconds from their first ask
	// to their end: divided by what is owed it is how long a piece of work is
	// exposed to a loss of all instances.
	InFlight float64
}

// Earned is the part of what was owed that callers got, from 0 to 1.
func (w Worth) Earned() float64 {
	left := w.Owed
	for _, lost := range w.Lost {
		left -= lost
	}
	return left / max(w.Owed, 1)
}

// LostShare is the part of what was owed that was lost by a fate.
func (w Worth) LostShare(f Fate) float64 { return w.Lost[f] / max(w.Owed, 1) }

// Exposure is the mean time in flight, weighted by worth.
func (w Worth) Exposure() time.Duration {
	return time.Duration(w.InFlight / max(w.Owed, 1) * float64(time.Second))
}

// end enters how a request has ended.
func (w *Worth) end(now time.Duration, q *Request, f Fate) {
	w.Owed += q.Worth
	w.InFlight += q.Worth * (now - q.At).Seconds()
	switch f {
	case InTime:
	case LateFirst, LatePause:
		w.Lost[f] += q.Worth * (1 - q.LateShare)
	default:
		w.Lost[f] += q.Worth
	}
}

// fate judges a whole answer.
func (g *generation) fate() Fate {
	switch {
	case g.firstAt-g.req.At > g.req.FirstTarget:
		return LateFirst
	case g.longest > SteadyGap:
		return LatePause
	}
	return InTime
}
