package proctest

import (
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// withdrawal is an upstream that has removed its entry without a notice, and serves on for some seconds.
type withdrawal struct {
	upstream *hosting.Worker
	at       time.Time
}

// disturbStore brings the store back from an older copy at times, or lets an upstream of the plain service remove its
// entry.
func (s *soak) disturbStore() {
	switch s.storeRand.IntN(12) {
	case 0:
		s.restoreStore()
	case 1:
		s.withdrawDesk()
	}
}

// restoreStore takes the store away for a moment and brings it back from a copy. The operator writes the
// configuration again within a second and a half, and all of that counts as a fault of the store.
func (s *soak) restoreStore() {
	from := time.Now()
	age := time.Duration(s.storeRand.IntN(5000)) * time.Millisecond
	away := time.Duration(s.storeRand.IntN(300)) * time.Millisecond
	rewriteAfter := time.Duration(s.storeRand.IntN(1500)) * time.Millisecond
	s.storeReturns++
	s.Restore(age, away, rewriteAfter)
	s.storeFaults = append(s.storeFaults, disturbance{from: from, to: time.Now().Add(rewriteAfter)})
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
			instance := s.requests[a.ID].instance
			if a.At.Sub(w.at) > drainBound && s.inTouch(instance, w.at) && s.inTouch(instance, a.At) {
				s.t.Errorf("%s reached %s from %s %v after it had removed its entry, want at most %v", a.ID, w.upstream.ID, instance, a.At.Sub(w.at).Round(time.Millisecond), drainBound)
			}
		}
	}
}
