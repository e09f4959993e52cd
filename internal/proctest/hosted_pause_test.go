package proctest

import (
	"testing"
	"time"
)

// An upstream turns requests away at once and asks each instance for a pause of 3 s. The others are
// busy, so that it looks idle. An instance that was asked must send its callers' requests elsewhere for
// that time all the same.
func TestHostedPausesOfAnUpstreamAreKept(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, w := range f.desk[1:] {
		w.Work = time.Second
	}
	l := newSteadyLoad(f, 10, plainRequest)
	l.run(time.Second)
	f.desk[0].Shed(3 * time.Second)
	time.Sleep(50 * time.Millisecond)
	l.run(time.Second)
	shedSince := time.Now()
	l.run(6 * time.Second)
	f.desk[0].Shed(0)
	l.run(4 * time.Second)
	l.open.Wait()
	if problem := checkPauses(f.desk[0], l.deliveries, nil); problem != "" {
		t.Error(problem)
	}
	if served := l.servedSince(shedSince); served < 0.95 {
		t.Errorf("%.0f%% of the requests were served, want at least 95%%: two upstreams accept all", 100*served)
	}
	last := f.desk[0].Arrivals()
	if a := last[len(last)-1]; !a.Ran {
		t.Error("the upstream received nothing after the pauses had ended, want requests again")
	}
}
