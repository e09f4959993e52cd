package proctest

import (
	"testing"
	"time"
)

// startShedding starts a fixture in which one upstream of the plain service turns every request away
// at once and asks for a pause of 3 s, while the two others are busy, so that the first looks idle.
func startShedding(t *testing.T, request func(id string, n int) call) *steadyLoad {
	t.Helper()
	f := newFixture(t)
	for _, w := range f.desk[1:] {
		w.Work = time.Second
	}
	l := newSteadyLoad(f, 10, request)
	l.run(time.Second)
	f.desk[0].Shed(3 * time.Second)
	return l
}

// An instance that an upstream has asked for a pause must send its callers' requests elsewhere for that
// time, first attempts and retries, and send to the upstream again afterwards.
func TestHostedPausesOfAnUpstreamAreKept(t *testing.T) {
	t.Parallel()
	l := startShedding(t, plainRequest)
	l.run(7 * time.Second)
	l.desk[0].Shed(0)
	l.run(4 * time.Second)
	l.open.Wait()
	if problem := checkPauses(l.desk[0], l.deliveries, nil); problem != "" {
		t.Error(problem)
	}
	last := l.desk[0].Arrivals()
	if a := last[len(last)-1]; !a.Ran {
		t.Error("the upstream received nothing after the pauses had ended, want requests again")
	}
}

// A booking is sent to one upstream only. While one that turns bookings away has asked for a pause,
// those with room must get them.
func TestHostedBookingsGoElsewhereDuringAPause(t *testing.T) {
	t.Parallel()
	l := startShedding(t, func(id string, _ int) call { return booking(id) })
	time.Sleep(50 * time.Millisecond)
	l.run(time.Second)
	shedSince := time.Now()
	l.run(8 * time.Second)
	l.open.Wait()
	served := l.servedSince(shedSince)
	t.Logf("served %.3f", served)
	// Each of three instances tries the upstream again after each pause.
	if served < 0.9 {
		t.Errorf("%.0f%% of the bookings were served, want at least 90%%", 100*served)
	}
	for _, a := range l.desk[0].Arrivals() {
		if d := l.deliveries[a.ID]; a.Pause > 0 && d.result.header.Get("Retry-After") != "0.100" {
			t.Errorf("%s was turned away and its caller told to return after %s s, want 0.1 s: two upstreams have room", a.ID, d.result.header.Get("Retry-After"))
		}
	}
}
