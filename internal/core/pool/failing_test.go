package pool

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// One of six engines fails two in five requests half a second after it got them,
// with good health. As failed
// requests free it at once, it looks idle, and without a memory of failures it gets
// more than its share: each such draft is lost. Work comes at the rate of a calm
// day for six engines, 2.4 drafts a second of some eight seconds.
func TestAnEngineThatFailsGetsLittleWork(t *testing.T) {
	s := newSim(t, 6)
	const bad = "u03"
	given, failed := 0, 0
	for k := range 72 {
		id := fmt.Sprintf("f-%02d", k)
		s.ask(id, 3000, 900)
		if s.granted[id] == bad {
			if given++; given%5 < 2 {
				failed++
				s.pass(400 * time.Millisecond)
				delete(s.granted, id)
				s.home.End(s.now, msg.GrantEnd{Pool: "pool", Attempt: id, Upstream: bad, Failed: true})
				continue
			}
		}
		s.pass(400 * time.Millisecond)
	}
	if given == 0 {
		t.Fatal("the engine got nothing: the test shows nothing")
	}
	if given >= 72/6 || failed > 5 {
		t.Errorf("%d of 72 drafts were given to the engine, and %d failed: an even share is 12", given, failed)
	}
	for range 30 {
		s.pass(time.Second)
	}
	before := given
	for k := range 24 {
		id := fmt.Sprintf("w-%02d", k)
		s.ask(id, 3000, 900)
		if s.granted[id] == bad {
			given++
		}
		s.pass(400 * time.Millisecond)
	}
	if given == before {
		t.Error("the engine gets nothing though it has been well for half a minute")
	}
}

// Three engines leave, and what ran there is cut. That says nothing about how an
// engine of the same name fares that comes again, or about others.
func TestALeavingEnginesCutsAreNoFailures(t *testing.T) {
	s := newSim(t, 3)
	s.fill(6, 200*time.Millisecond)
	s.find("u01").LeavingSince = s.now
	s.sync()
	for attempt, up := range s.granted {
		if up == "u01" {
			s.home.End(s.now, msg.GrantEnd{Pool: "pool", Attempt: attempt, Upstream: up, Failed: true})
		}
	}
	if rate := s.home.failureRate(s.now, "u01"); rate != 0 {
		t.Errorf("failure rate %.2f", rate)
	}
}
