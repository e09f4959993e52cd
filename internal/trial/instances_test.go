package trial

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// calm is a light load of long answers on engines that stay.
func calm() Workload {
	w := small()
	w.Orgs = []Org{{Name: "long", Share: 1, PromptMedian: 300, PromptSigma: 0.3, Median: 300, Sigma: 0.5}}
	w.Rate, w.Links = 4, Links{TokenBytes: 1000, Mbps: 1000, DataCentres: 1}
	return w
}

func lost(r Result) float64 {
	sum := 0.0
	for _, f := range Fates {
		sum += r.Worth.LostShare(f)
	}
	return sum
}

// All instances end at once in mid-run. What runs then is lost and nothing else, each
// request has an end, and the callers that come meanwhile are served once instances are
// back.
func TestAShutdownLosesWhatRuns(t *testing.T) {
	w := calm()
	w.Shutdown = Shutdown{At: w.Length / 2, Down: time.Second}
	r := Play(w, PoolHome("home", 0, 0), 1)
	shut := r.Worth.LostShare(LostShutdown)
	if r.Unanswered != 0 || r.Done+r.Partial != len(w.Requests(1)) || r.Partial == 0 {
		t.Errorf("%d done, %d partial, %d without an end", r.Done, r.Partial, r.Unanswered)
	}
	// By Little's law the part that is in flight at a moment is the mean time in flight
	// over the length of the run.
	if want := r.Worth.Exposure().Seconds() / w.Length.Seconds(); shut < want/3 || shut > want*3 {
		t.Errorf("%.3f of the worth lost, by the time in flight %.3f", shut, want)
	}
	if others := lost(r) - shut; others > 0.02 {
		t.Errorf("%.3f lost by other causes", others)
	}
}

// A third of the instances lose power. What they ran is lost for its callers, the
// engines go on with it, and callers find other instances.
func TestInstancesThatLosePowerTakeTheirWork(t *testing.T) {
	w := calm()
	w.EntryLoss = EntryLoss{At: w.Length / 2, Share: 0.34, Down: 2 * time.Second}
	r := Play(w, PoolHome("home", 0, 0), 1)
	if r.Unanswered != 0 || r.Partial == 0 || r.Worth.LostShare(LostEntry) == 0 {
		t.Errorf("%d partial, %d without an end, %.3f lost", r.Partial, r.Unanswered, r.Worth.LostShare(LostEntry))
	}
	w.Orgs[0].Repeatable = true
	again := Play(w, PoolHome("home", 0, 0), 1)
	if again.Partial != 0 || again.Worth.LostShare(LostEntry) != 0 {
		t.Errorf("repeatable requests: %d partial", again.Partial)
	}
}

// Engines that become slow make tokens slowly, and nothing breaks off.
func TestSlowEnginesOnlyTakeLonger(t *testing.T) {
	w := calm()
	fast := Play(w, Baselines()[1], 1)
	w.Slowing = Slowing{First: time.Second, Every: 5 * time.Second, For: 4 * time.Second, Count: 6, Factor: 3}
	slow := Play(w, Baselines()[1], 1)
	if slow.TokenTime < fast.TokenTime*5/4 || slow.Partial != 0 || slow.Unanswered != 0 {
		t.Errorf("%v a token, %v without; %d partial", slow.TokenTime, fast.TokenTime, slow.Partial)
	}
}

func TestWorthIsOwedAndLostBySize(t *testing.T) {
	o := Org{PromptMedian: 1000, Median: 100, Worth: 10}
	if got := o.worthOf(1000, 100); math.Abs(got-10) > 1e-9 {
		t.Errorf("an answer of mean size is worth %g", got)
	}
	if got := o.worthOf(1000, 300); math.Abs(got-20) > 1e-9 {
		t.Errorf("one of twice the size is worth %g", got)
	}
	w := Worth{Lost: map[Fate]float64{}}
	q := &Request{Worth: 10, LateShare: 0.2, At: time.Second}
	w.end(3*time.Second, q, InTime)
	w.end(5*time.Second, q, LateFirst)
	w.end(2*time.Second, q, LostCrash)
	if w.Owed != 30 || w.Lost[LateFirst] != 8 || w.Lost[LostCrash] != 10 || math.Abs(w.Earned()-0.4) > 1e-9 {
		t.Errorf("%+v earned %g", w, w.Earned())
	}
	if got := w.Exposure(); got != 7*time.Second/3 {
		t.Errorf("in flight %v", got)
	}
}

// With every kind of trouble at once, two runs of one seed are the same.
func TestTroublesAreRepeatable(t *testing.T) {
	w := calm()
	w.Links.DataCentres = 3
	w.Leaving = Leaving{First: time.Second, Every: 3 * time.Second, Count: 2, Notice: time.Second, Replace: 2 * time.Second}
	w.Slowing = Slowing{First: time.Second, Every: 5 * time.Second, For: 4 * time.Second, Count: 2, Factor: 3}
	w.Failing = Failing{First: time.Second, Every: 5 * time.Second, For: time.Second, Count: 1, Share: 0.3}
	w.Crashes = Crashes{First: 4 * time.Second, Every: 7 * time.Second, Count: 1, Replace: time.Second}
	w.EntryLoss = EntryLoss{At: 5 * time.Second, Share: 0.3, Down: time.Second}
	w.Shutdown = Shutdown{At: 20 * time.Second, Down: time.Second}
	a, b := Play(w, PoolHome("home", 0, 0), 7), Play(w, PoolHome("home", 0, 0), 7)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of one seed differ:\n%s\n%s", a.Line("-", 1), b.Line("-", 1))
	}
	if a.Unanswered != 0 {
		t.Errorf("%d requests without an end", a.Unanswered)
	}
}
