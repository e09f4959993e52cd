package proctest

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// contactTime is how long after the end of a fault the bounds hold again.
const contactTime = 3 * time.Second

// checkNothingAfter fails the test if requests reached an upstream later than drainBound after the store had
// accepted that it leaves.
func checkNothingAfter(t *testing.T, w *hosting.Worker, left time.Time) {
	t.Helper()
	late, last := map[string]int{}, time.Duration(0)
	for _, a := range w.Arrivals() {
		if after := a.At.Sub(left); after > drainBound {
			late[a.Header.Get("Attempt-Id")]++
			last = max(last, after)
		}
	}
	if len(late) > 0 {
		t.Errorf("%d requests reached %s up to %v after the store had accepted that it leaves, want none after %v", len(late), w.ID, last.Round(time.Millisecond), drainBound)
	}
}

// The store comes back from an older copy and gives versions out again. Then an upstream removes its entry. If
// the versions of before the return still count, the removal looks old, and all instances send to the
// upstream until it exits.
func TestHostedRemovalAfterTheStoreCameBackFromACopy(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	l := newSteadyLoad(f, 45, plainRequest)
	l.run(6 * time.Second)
	f.Restore(5*time.Second, 300*time.Millisecond, 500*time.Millisecond)
	l.run(contactTime + 300*time.Millisecond)
	left := f.desk[0].Withdraw()
	l.run(drainBound + 3*time.Second)
	l.open.Wait()
	checkNothingAfter(t, f.desk[0], left)
}
