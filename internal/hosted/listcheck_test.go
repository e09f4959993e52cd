package hosted

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// The store holds a query for changes of the list, and changes do not arrive. The next read of the configuration shows that
// the list is behind. The query must then be ended, and the changes queried without a hold; as long as the list is not
// behind, the read confirms it.
func TestAReadOfTheConfigurationChecksTheList(t *testing.T) {
	f := newTestFollower(t)
	listConfirmed := func() (at time.Time) {
		f.server.decide(func(_ time.Time, g *forward.Gate) { at = confirmedAt(g) })
		return at
	}
	began := boottime.Now()
	f.applyList(began, ListResponse{Version: 9}, true)
	held, wait, end := f.beginFeed(t.Context())
	defer end()
	if wait != f.timing.ListWait {
		t.Fatalf("the query is held for %v, want %v", wait, f.timing.ListWait)
	}
	f.applyConfig(began.Add(time.Millisecond), read(1, 9, 3))
	time.Sleep(2 * f.timing.Step)
	if held.Err() != nil || listConfirmed() != began.Add(time.Millisecond) {
		t.Errorf("a list that is not behind: query %v, confirmed %v after the list was read, want it held and the list confirmed by the read", held.Err(), listConfirmed().Sub(began))
	}
	f.applyConfig(began.Add(2*time.Millisecond), read(1, 11, 3))
	if listConfirmed() != began.Add(time.Millisecond) {
		t.Error("a list that is behind is confirmed")
	}
	time.Sleep(2 * f.timing.Step)
	if held.Err() == nil || !f.feedInterrupted() {
		t.Error("the query is still held although the list is behind")
	}
	if _, wait, end := f.beginFeed(t.Context()); wait != 0 {
		t.Errorf("the next query is held for %v, want it answered at once", wait)
	} else {
		end()
	}
}
