package trial

import "time"

// Fate is how a request ended for its caller.
type Fate string

// Fates of requests, in the order in which tables show them.
const (
	// InTime: the response is complete, and its first token and all gaps were on time.
	InTime Fate = "in_time"
	// LateFirst and LatePause: the response is complete, but the first token was late
	// (LateFirst), or a gap was longer than SteadyGap (LatePause).
	LateFirst Fate = "late_first"
	LatePause Fate = "late_pause"
	// LostLeaving, LostCrash and LostFailing: the response was broken off because its engine
	// left, crashed, or failed the request.
	LostLeaving Fate = "lost_leaving"
	LostCrash   Fate = "lost_crash"
	LostFailing Fate = "lost_failing"
	// LostEntry and LostShutdown: the response was broken off because its entry or all
	// instances died.
	LostEntry    Fate = "lost_entry"
	LostShutdown Fate = "lost_shutdown"
	// TurnedAway: the request was refused, and its caller did not come back.
	TurnedAway Fate = "turned_away"
	// Unended: the request had no outcome when the run ended.
	Unended Fate = "unended"
)

// Fates lists the fates by which value is lost.
var Fates = []Fate{LateFirst, LatePause, LostLeaving, LostCrash, LostFailing, LostEntry, LostShutdown, TurnedAway, Unended}

// Worth is the total value of a run's requests for their callers, and the part of it that was
// lost.
type Worth struct {
	// Owed is the total value of all requests.
	Owed float64
	// Lost is the value lost by each fate; a late response keeps a part of its value.
	Lost map[Fate]float64
	// InFlight sums, over the requests, the value times the seconds from the first send to
	// the end. Divided by Owed it is the mean time during which a request is exposed to a
	// loss of all instances.
	InFlight float64
}

// Earned returns the fraction of Owed that was not lost, from 0 to 1.
func (w Worth) Earned() float64 {
	left := w.Owed
	for _, lost := range w.Lost {
		left -= lost
	}
	return left / max(w.Owed, 1)
}

// LostShare returns the fraction of Owed that was lost by a fate, from 0 to 1.
func (w Worth) LostShare(f Fate) float64 { return w.Lost[f] / max(w.Owed, 1) }

// Exposure returns the mean time in flight of the requests, weighted by their value.
func (w Worth) Exposure() time.Duration {
	return time.Duration(w.InFlight / max(w.Owed, 1) * float64(time.Second))
}

// add records a request that ended with a fate.
func (w *Worth) add(now time.Duration, q *Request, f Fate) {
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

// fate classifies a complete response.
func (g *generation) fate() Fate {
	switch {
	case g.firstTokenAt-g.req.At > g.req.FirstTarget:
		return LateFirst
	case g.longestGap > SteadyGap:
		return LatePause
	}
	return InTime
}
