package pool

import (
	"fmt"
	"testing"
	"time"
)

// An upstream that has stated that it leaves stops and starts again under the same id. The new run
// must get work, and its generations must not be moved away.
func TestARestartedUpstreamGetsWorkAgain(t *testing.T) {
	s := newSim(t, 3)
	s.fill(6, 50*time.Millisecond)
	s.home.NoticeLeaving(s.now, "u00", time.Second, true)
	s.advance(time.Second)
	for attempt, upstream := range s.granted {
		if upstream == "u00" {
			delete(s.granted, attempt) // lost with the first run
		}
	}
	s.list = s.list[1:]
	s.join("u00")
	s.find("u00").Born = 7
	s.sync()
	s.orders = nil
	for k := range 30 {
		s.requestGrant(fmt.Sprintf("new-%02d", k), 1000, 400)
		s.advance(100 * time.Millisecond)
	}
	if n := s.countOn("u00"); n == 0 {
		t.Error("the new run of the upstream got no generations, want about a third of 30")
	}
	for _, o := range s.orders {
		if o.From == "u00" {
			t.Fatalf("order %+v to move a generation off the new run, want none", o)
		}
	}
}
