package proctest

import "time"

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
