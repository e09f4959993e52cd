package proctest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// withdrawal is an upstream that has removed its entry without a notice, and serves on for some seconds.
type withdrawal struct {
	upstream *hosting.Worker
	at       time.Time
}

// replaceEngine makes an engine announce that it leaves and crash, and adds another one.
func (s *soak) replaceEngine() {
	k := s.rand.IntN(len(s.pool))
	w := s.pool[k]
	s.noteLeft(w)
	w.Leave()
	time.AfterFunc(700*time.Millisecond, func() { w.Crash(); w.Vanish() })
	if s.loadRand.IntN(3) == 0 {
		s.release++ // from now on, engines are replaced by those of another version
	}
	software := fmt.Sprintf("v%d", 1+s.release%3)
	s.pool[k] = s.addUpstream(s.t, fmt.Sprintf("engine-%d-%d", k, s.rand.IntN(1<<20)), hosting.Pool, func(k *hosting.Worker) {
		soakEngine(k)
		k.Software = software
	})
}

// replaceDesk makes an upstream of the plain service leave and stop some seconds later, and adds another
// one.
func (s *soak) replaceDesk() {
	k := s.rand.IntN(len(s.desk))
	w := s.desk[k]
	s.left[w.ID] = time.Now()
	w.Leave()
	time.AfterFunc(time.Duration(3000+s.rand.IntN(2000))*time.Millisecond, func() { w.Crash(); w.Vanish() })
	s.desk[k] = s.addUpstream(s.t, fmt.Sprintf("desk-%d-%d", k, s.rand.IntN(1<<20)), hosting.Desk, func(k *hosting.Worker) {
		k.Work = 10 * time.Millisecond
	})
}

// withdrawDesk makes an upstream of the plain service remove its entry and stop some seconds later, and adds another one.
func (s *soak) withdrawDesk() {
	k := s.storeRand.IntN(len(s.desk))
	w := s.desk[k]
	s.left[w.ID] = time.Now()
	s.withdrawals = append(s.withdrawals, withdrawal{upstream: w, at: w.Withdraw()})
	time.AfterFunc(time.Duration(3500+s.storeRand.IntN(2000))*time.Millisecond, w.Crash)
	s.desk[k] = s.addUpstream(s.t, fmt.Sprintf("desk-w%d-%d", k, s.storeRand.IntN(1<<20)), hosting.Desk, func(k *hosting.Worker) {
		k.Work = 10 * time.Millisecond
	})
}

// checkWithdrawals checks that nothing reached an upstream later than drainBound after it had removed its entry, from
// instances that were in touch from before the removal on.
func (s *soak) checkWithdrawals() {
	for _, w := range s.withdrawals {
		for _, a := range w.upstream.Arrivals() {
			request := s.requests[a.ID]
			instance := request.instance
			heldUp := slices.ContainsFunc(s.silences, func(d disturbance) bool { // it was sent before its arrival
				return d.instance == w.upstream.ID && d.from.Before(a.At) && d.to.After(request.sent)
			})
			if !heldUp && a.At.Sub(w.at) > drainBound && s.inTouch(instance, w.at) && s.inTouch(instance, a.At) {
				s.t.Errorf("%s reached %s from %s %v after it had removed its entry, want at most %v", a.ID, w.upstream.ID, instance, a.At.Sub(w.at).Round(time.Millisecond), drainBound)
			}
		}
	}
}

// limitable returns the upstreams that may state a limit: those to which no relay delays requests.
func (s *soak) limitable() (list []*hosting.Worker) {
	for _, w := range append(append([]*hosting.Worker(nil), s.pool...), s.desk...) {
		if !strings.HasPrefix(w.ID, behindRelay) {
			list = append(list, w)
		}
	}
	return list
}
