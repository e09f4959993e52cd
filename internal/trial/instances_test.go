package trial

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// lightLoad returns a workload with a low rate of long responses and without faults.
func lightLoad() Workload {
	w := smallWorkload()
	w.Orgs = []Org{{Name: "long", Share: 1, PromptMedian: 300, PromptSigma: 0.3, Median: 300, Sigma: 0.5}}
	w.Rate, w.Links = 4, Links{TokenBytes: 1000, Mbps: 1000, DataCentres: 1}
	return w
}

// lostShare returns the fraction of the value that was lost, summed over all fates.
func lostShare(r Result) float64 {
	sum := 0.0
	for _, f := range Fates {
		sum += r.Worth.LostShare(f)
	}
	return sum
}

// All instances end at the same time in mid-run. Only the requests that run at that moment are
// lost, each request has an outcome, and requests that arrive while the instances are down are
// served once the instances are back.
func TestShutdownLosesOnlyRunningRequests(t *testing.T) {
	w := lightLoad()
	w.Shutdown = Shutdown{At: w.Length / 2, Down: time.Second}
	r := Play(w, PoolHome("home", 0, 0), 1)
	shutdownLost := r.Worth.LostShare(LostShutdown)
	if r.Unanswered != 0 || r.Done+r.Partial != len(w.Requests(1)) || r.Partial == 0 {
		t.Errorf("%d done, %d partial, %d without an outcome; want some partial, none without an outcome, and done plus partial to be the number of all requests", r.Done, r.Partial, r.Unanswered)
	}
	// By Little's law the fraction of the requests in flight at a moment is the mean time in
	// flight divided by the length of the run.
	if want := r.Worth.Exposure().Seconds() / w.Length.Seconds(); shutdownLost < want/3 || shutdownLost > want*3 {
		t.Errorf("fraction of the value lost = %.3f, want within a factor of 3 of %.3f (from the time in flight)", shutdownLost, want)
	}
	if others := lostShare(r) - shutdownLost; others > 0.02 {
		t.Errorf("fraction of the value lost by causes other than the shutdown = %.3f, want at most 0.02", others)
	}
}

// A third of the instances lose power. Their running requests are lost unless the requests
// are repeatable, the engines continue the generations, and callers switch to other instances.
func TestEntryLossLosesRunningRequests(t *testing.T) {
	w := lightLoad()
	w.EntryLoss = EntryLoss{At: w.Length / 2, Share: 0.34, Down: 2 * time.Second}
	r := Play(w, PoolHome("home", 0, 0), 1)
	if r.Unanswered != 0 || r.Partial == 0 || r.Worth.LostShare(LostEntry) == 0 {
		t.Errorf("%d partial, %d without an outcome, fraction lost with entries %.3f; want some partial, a fraction above 0, and none without an outcome", r.Partial, r.Unanswered, r.Worth.LostShare(LostEntry))
	}
	w.Orgs[0].Repeatable = true
	repeated := Play(w, PoolHome("home", 0, 0), 1)
	if repeated.Partial != 0 || repeated.Worth.LostShare(LostEntry) != 0 {
		t.Errorf("repeatable requests: %d partial, want 0 and no value lost with entries", repeated.Partial)
	}
}

// Engines that become slow must increase the time per token without losing any request.
func TestSlowEnginesLoseNoRequests(t *testing.T) {
	w := lightLoad()
	fast := Play(w, Baselines()[1], 1)
	w.Slowing = Slowing{First: time.Second, Every: 5 * time.Second, For: 4 * time.Second, Count: 6, Factor: 3}
	slow := Play(w, Baselines()[1], 1)
	if slow.TokenTime < fast.TokenTime*5/4 || slow.Partial != 0 || slow.Unanswered != 0 {
		t.Errorf("time per token = %v with slow engines and %v without, want a ratio of at least 5/4; %d partial with slow engines, want 0 and no request without an outcome", slow.TokenTime, fast.TokenTime, slow.Partial)
	}
}

func TestWorthIsProportionalToSize(t *testing.T) {
	o := Org{PromptMedian: 1000, Median: 100, Worth: 10}
	if got := o.valueOf(1000, 100); math.Abs(got-10) > 1e-9 {
		t.Errorf("value of a response of mean size = %g, want 10", got)
	}
	if got := o.valueOf(1000, 300); math.Abs(got-20) > 1e-9 {
		t.Errorf("value of a response of twice the mean size = %g, want 20", got)
	}
	w := Worth{Lost: map[Fate]float64{}}
	q := &Request{Worth: 10, LateShare: 0.2, At: time.Second}
	w.add(3*time.Second, q, InTime)
	w.add(5*time.Second, q, LateFirst)
	w.add(2*time.Second, q, LostCrash)
	if w.Owed != 30 || w.Lost[LateFirst] != 8 || w.Lost[LostCrash] != 10 || math.Abs(w.Earned()-0.4) > 1e-9 {
		t.Errorf("worth = %+v, earned %g; want 30 owed, 8 lost by LateFirst, 10 by LostCrash and 0.4 earned", w, w.Earned())
	}
	if got := w.Exposure(); got != 7*time.Second/3 {
		t.Errorf("mean time in flight = %v, want 7/3 s", got)
	}
}

// Two runs with the same seed must give the same result, also with every kind of fault at the
// same time.
func TestRunsWithFaultsAreDeterministic(t *testing.T) {
	w := lightLoad()
	w.Links.DataCentres = 3
	w.Leaving = Leaving{First: time.Second, Every: 3 * time.Second, Count: 2, Notice: time.Second, Replace: 2 * time.Second}
	w.Slowing = Slowing{First: time.Second, Every: 5 * time.Second, For: 4 * time.Second, Count: 2, Factor: 3}
	w.Failing = Failing{First: time.Second, Every: 5 * time.Second, For: time.Second, Count: 1, Share: 0.3}
	w.Crashes = Crashes{First: 4 * time.Second, Every: 7 * time.Second, Count: 1, Replace: time.Second}
	w.EntryLoss = EntryLoss{At: 5 * time.Second, Share: 0.3, Down: time.Second}
	w.Shutdown = Shutdown{At: 20 * time.Second, Down: time.Second}
	a, b := Play(w, PoolHome("home", 0, 0), 7), Play(w, PoolHome("home", 0, 0), 7)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same seed differ, want equal results:\n%s\n%s", a.Line("-", 1), b.Line("-", 1))
	}
	if a.Unanswered != 0 {
		t.Errorf("requests without an outcome = %d, want 0", a.Unanswered)
	}
}
