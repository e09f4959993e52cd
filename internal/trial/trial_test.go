package trial

import (
	"reflect"
	"testing"
	"time"
)

// smallWorkload returns a short run of Heavy at a fixed rate.
func smallWorkload() Workload {
	w := Heavy()
	w.Length, w.Rate = 30*time.Second, 12
	return w
}

func TestPlayIsDeterministic(t *testing.T) {
	for _, m := range Baselines() {
		a, b := Play(smallWorkload(), m, 7), Play(smallWorkload(), m, 7)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs with the same seed differ, want equal results:\n%s\n%s", m.Name, a.Line("-", 1), b.Line("-", 1))
		}
	}
}

// Every request of every workload must get an outcome under every policy, also if it ran on an
// engine that ended at short notice.
func TestEveryRequestEnds(t *testing.T) {
	for _, w := range []Workload{Heavy(), Steady(), Bursty(), Shift(), Prefixes(), Greedy(), Unequal(), Reclaimed()} {
		w.Length, w.Rate = 30*time.Second, 12
		w.ShiftAt, w.ReclaimAt = min(w.ShiftAt, w.Length/2), min(w.ReclaimAt, w.Length/2)
		sent := len(w.Requests(3))
		for _, m := range Baselines() {
			r := Play(w, m, 3)
			if r.Unanswered != 0 || r.Done+r.Partial != sent {
				t.Errorf("%s under %s: want each of %d requests done or partial, and none unanswered: %s", w.Name, m.Name, sent, r.Line("-", 1))
			}
		}
	}
}

func TestEnginePreemptsAndRecomputes(t *testing.T) {
	w := Heavy()
	w.Engines = w.Engines[:1]
	w.Length, w.Rate = 20*time.Second, 10
	r := Play(w, Baselines()[0], 1)
	if r.Preemptions == 0 || r.LongestP99 < GapThreshold {
		t.Errorf("on an overloaded engine: %s; want preemptions, and a p99 of the longest gaps of at least GapThreshold", r.Line("-", 1))
	}
}
