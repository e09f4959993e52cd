package statements

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// excused reports whether an instance was disturbed in a window or shortly before.
func (i *instance) excused(from, to time.Time) bool {
	return slices.ContainsFunc(i.disturbances, func(d span) bool { return d.from.Before(to) && d.to.Add(grace).After(from) })
}

// check returns a description of a violation of a rule by the requests until now to an upstream, or "".
// It must be called before a limit ends.
func (s *simulation) check(u *upstream) string {
	return cmp.Or(s.checkLimit(u), s.checkLeaving(u), s.checkPauses(u))
}

// checkLeaving checks that no request reached a leaving upstream that its caller sent too late.
func (s *simulation) checkLeaving(u *upstream) string {
	for _, a := range u.arrivals {
		told, ok := u.toldLeaving[a.instance]
		if ok && a.sentAt.After(told.Add(drainBound)) && !s.find(a.instance).disturbedSince(told) {
			return fmt.Sprintf("%s received a request that was sent to %s %v after that was told that it leaves", u.entry.ID, a.instance, a.sentAt.Sub(told))
		}
	}
	return ""
}

// checkPauses checks that an upstream received few requests from an instance that it had asked for a
// pause.
func (s *simulation) checkPauses(u *upstream) string {
	for k, asked := range u.arrivals {
		from, to, n := asked.at.Add(pauseGrace), asked.at.Add(asked.pause), 0
		if asked.pause <= pauseGrace || s.find(asked.instance).excused(asked.at, to) {
			continue
		}
		for _, a := range u.arrivals[k:] {
			if a.at.After(to) {
				break
			}
			if a.instance == asked.instance && a.at.After(from) {
				n++
			}
		}
		if n > pauseSlack {
			return fmt.Sprintf("%s had asked %s for a pause of %v and received %d requests from it in that time", u.entry.ID, asked.instance, asked.pause, n)
		}
	}
	return ""
}

// disturbedSince reports whether an instance was disturbed after a time.
func (i *instance) disturbedSince(at time.Time) bool {
	return slices.ContainsFunc(i.disturbances, func(d span) bool { return d.to.After(at) })
}

// checkLimit checks the requests to an upstream that states a limit now.
func (s *simulation) checkLimit(u *upstream) string {
	begun := s.episode(u)
	if begun < 0 {
		return ""
	}
	e := u.steps[begun:]
	first := 0
	for last, a := range u.arrivals {
		if a.at.Before(e[0].from.Add(grace)) {
			continue
		}
		from := a.at.Add(-window)
		for u.arrivals[first].at.Before(from) {
			first++
		}
		n := 0
		for _, b := range u.arrivals[first : last+1] {
			told, ok := u.told[b.instance]
			if ok && !told.After(a.at.Add(-toldBefore)) && !s.find(b.instance).excused(from, a.at) {
				n++
			}
		}
		if allowed := factor*allowedIn(e, from, a.at) + slack; float64(n) > allowed {
			return fmt.Sprintf("%s received %d requests in the 4 s until %v after it first stated a limit, allowed are %.1f; limits %v", u.entry.ID, n, a.at.Sub(e[0].from), allowed, e)
		}
	}
	return ""
}

// episode returns the index of the first step of the limit that an upstream states now, or -1.
func (s *simulation) episode(u *upstream) int {
	k := len(u.steps)
	for k > 0 && u.steps[k-1].rate > 0 {
		k--
	}
	if k == len(u.steps) {
		return -1
	}
	return k
}

// allowedIn returns the number of requests that the stated limits allow in a window. What lies
// before the first step counts with its rate.
func allowedIn(steps []step, from, to time.Time) float64 {
	sum := 0.0
	for k, st := range steps {
		end := to
		if k+1 < len(steps) && steps[k+1].from.Before(to) {
			end = steps[k+1].from
		}
		if end.After(from) {
			sum += st.rate * end.Sub(from).Seconds()
			from = end
		}
	}
	return sum
}

// receivedPerSecond returns the rate of the requests that reached an upstream since a time.
func (s *simulation) receivedPerSecond(u *upstream, since time.Time) float64 {
	n := 0
	for _, a := range u.arrivals {
		if !a.at.Before(since) {
			n++
		}
	}
	return float64(n) / math.Max(s.now.Sub(since).Seconds(), 1e-9)
}
