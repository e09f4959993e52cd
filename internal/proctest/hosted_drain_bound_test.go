package proctest

import (
	"strings"
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

// reader returns the index of the instance that reads the store for the others, as its last line about that says.
func (f *fixture) reader() int {
	for k, p := range f.procs {
		source := "store"
		for line := range strings.Lines(p.output()) {
			if _, rest, ok := strings.Cut(line, "event=source_changed "); ok {
				_, to, _ := strings.Cut(rest, " to=")
				source, _, _ = strings.Cut(to, " ")
			}
		}
		if source == "store" {
			return k
		}
	}
	return 0
}

// newQuietFixture starts a platform whose versions rise only with changes, not with heartbeats.
func newQuietFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, "", func(w *hosting.World) { w.QuietHeartbeats = true }, func(*hosting.Worker) {})
}

// The store refuses one instance for a moment, the one that reads it for all others, and an upstream removes its
// entry. If that counts as an outage, in which entries expire by themselves, the removal is put off, and the other
// instances may never learn of it, as the store has no newer version when it counts.
func TestHostedRemovalWhileTheReaderIsRefusedForAMoment(t *testing.T) {
	t.Parallel()
	f := newQuietFixture(t)
	l := newSteadyLoad(f, 90, plainRequest)
	l.run(4 * time.Second)
	for k := range 2 {
		reader := f.machines[f.reader()].Name
		f.Table.SetFor(reader, hosting.Away)
		l.run(200 * time.Millisecond) // seldom long enough for a read of the configuration, after which another one would read
		f.Table.SetFor(reader, hosting.Well)
		l.run(500 * time.Millisecond)
		left := f.desk[k].Withdraw()
		l.run(drainBound + 2*time.Second)
		l.open.Wait()
		checkNothingAfter(t, f.desk[k], left)
	}
}

// The reader gets the configuration from the store and never the list of upstreams. The others must not rely on it
// for the list, however well it confirms the configuration.
func TestHostedRemovalWhileTheReaderGetsNoList(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	l := newSteadyLoad(f, 45, plainRequest)
	l.run(4 * time.Second)
	reader := f.reader()
	f.Table.SetFor(f.machines[reader].Name, hosting.NoList)
	l.run(contactTime)
	left := f.desk[0].Withdraw()
	l.run(drainBound + 3*time.Second)
	l.open.Wait()
	checkNothingAfter(t, f.desk[0], left)
}
