package proctest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// threeDataCentres are data centres of one region.
var threeDataCentres = map[string]string{"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a"}

// cordonTimeout is how soon a cordon must be in force everywhere.
const cordonTimeout = 2 * time.Second

// traffic sends look-ups and bookings to all instances until it is stopped.
type traffic struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	// slowestRefusal is the longest wait for a refusal, done counts by status.
	slowestRefusal time.Duration
	statuses    map[int]int
}

var trafficCount atomic.Int64

// startTraffic starts callers of each instance.
func (w *fixture) startTraffic(each time.Duration) *traffic {
	l := &traffic{stop: make(chan struct{}), statuses: map[int]int{}}
	run := trafficCount.Add(1)
	for m := range w.machines {
		l.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-time.After(each):
				}
				c := lookUp(fmt.Sprintf("load%d-%d-%d", run, m, n))
				if n%2 == 0 {
					c = booking(c.id)
				}
				asked := time.Now()
				r := w.do(w.machines[m], c)
				l.record(r.status, time.Since(asked))
			}
		})
	}
	return l
}

func (l *traffic) record(status int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
	if refusedNotRun(status) {
		l.slowestRefusal = max(l.slowestRefusal, took)
	}
}

func (l *traffic) finish() {
	close(l.stop)
	l.wg.Wait()
}

// arrivalsAfter returns the arrivals in a data centre that came later than some time after a
// moment, and the last of all that came there.
func (w *fixture) arrivalsAfter(zone string, since time.Time, within time.Duration) (late []hosting.Arrival, last time.Duration) {
	for _, k := range append(append([]*hosting.Worker{}, w.pool...), w.desk...) {
		if k.Zone != zone {
			continue
		}
		for _, a := range k.Arrivals() {
			after := a.At.Sub(since)
			last = max(last, after)
			if after > within {
				late = append(late, a)
			}
		}
	}
	return late, last
}

// A data centre is cordoned under load, while the store is well, slow, silent right after,
// forgetful, or turns some instances away, and while all instances are killed right after.
// Two seconds later nothing may reach it any more, whatever an instance knows it from; what
// runs there must end well; and it must be used again once the cordon is lifted.
func TestHostedCordon(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// before and after happen right before the row is written and after it was read by
		// someone.
		before, after func(*testing.T, *fixture)
	}{
		{name: "store well"},
		{name: "store slow", before: func(_ *testing.T, w *fixture) { w.Table.Set(hosting.Slow) }},
		{name: "store silent right after", after: func(_ *testing.T, w *fixture) { w.Table.Set(hosting.Silent) }},
		{name: "store without history", before: func(_ *testing.T, w *fixture) { w.Table.Forget() }},
		{name: "some turned away", before: func(_ *testing.T, w *fixture) {
			w.Table.SetFor(w.machines[0].IP, hosting.Busy)
			w.Table.SetFor(w.machines[1].IP, hosting.Silent)
		}},
		{name: "all killed right after", after: func(t *testing.T, w *fixture) {
			for _, p := range w.procs {
				p.kill()
			}
			w.procs = nil
			for _, m := range w.machines {
				w.procs = append(w.procs, w.startInstance(t, m))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newFixtureWithDataCentres(t, threeDataCentres, 2, nil)
			l := w.startTraffic(20 * time.Millisecond)
			var drafts sync.WaitGroup
			results := make([]result, 12)
			for k := range results {
				drafts.Go(func() {
					results[k] = w.do(w.machines[k%len(w.machines)], generation(fmt.Sprintf("%s-%d", strings.ReplaceAll(c.name, " ", "-"), k)))
				})
			}
			time.Sleep(300 * time.Millisecond)
			if c.before != nil {
				c.before(t, w)
			}
			cordoned := time.Now()
			w.Cordon("zone-b")
			if c.after != nil {
				testkit.Eventually(t, cordonTimeout, "somebody knows of the cordon", func() bool {
					return len(logLines(w.procs, "event=cordons_changed")) > 0
				})
				c.after(t, w)
			}
			time.Sleep(3 * time.Second)
			late, last := w.arrivalsAfter("zone-b", cordoned, cordonTimeout)
			t.Logf("the last request reached it %v after the cordon", last.Round(time.Millisecond))
			if len(late) > 0 {
				t.Errorf("%d requests reached a cordoned data centre later than %v, the first: %+v", len(late), cordonTimeout, late[0])
			}
			if c.name != "all killed right after" {
				drafts.Wait()
				for _, r := range results {
					if r.status != http.StatusOK || r.truncated {
						t.Errorf("a draft that ran ended with status %d, cut %v", r.status, r.truncated)
					}
				}
			}
			w.Table.Set(hosting.Well)
			lifted := time.Now()
			w.Uncordon("zone-b")
			testkit.Eventually(t, waitTimeout, "the data centre is used again", func() bool {
				_, last := w.arrivalsAfter("zone-b", lifted, 0)
				return last > 0
			})
			l.finish()
		})
	}
}

// All data centres are cordoned. Every caller must hear so at once, with a time to come
// back, and be served as soon as one is back.
func TestHostedAllDataCentresCordoned(t *testing.T) {
	t.Parallel()
	w := newFixtureWithDataCentres(t, threeDataCentres, 1, nil)
	for zone := range threeDataCentres {
		w.Cordon(zone)
	}
	testkit.Eventually(t, cordonTimeout, "all instances know", func() bool {
		return len(logLines(w.procs, "cordoned=zone-a,zone-b,zone-c")) == len(w.machines)
	})
	for k, m := range w.machines {
		for _, c := range []call{generation(fmt.Sprintf("d%d", k)), booking(fmt.Sprintf("b%d", k)), lookUp(fmt.Sprintf("l%d", k))} {
			asked := time.Now()
			r := w.do(m, c)
			if took := time.Since(asked); r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || took > 500*time.Millisecond {
				t.Errorf("%s: status %d after %v, come back after %q", c.id, r.status, took, r.header.Get("Retry-After"))
			}
			if got := w.Arrivals()[c.id]; len(got) > 0 {
				t.Errorf("%s reached %s", c.id, got[0].Worker)
			}
		}
	}
	testkit.Eventually(t, cordonTimeout, "a line for each refusal names the reason", func() bool {
		return len(logLines(w.procs, "reason=cordoned")) == 3*len(w.machines)
	})
	w.Uncordon("zone-c")
	for k, m := range w.machines {
		testkit.Eventually(t, cordonTimeout, m.Name+" serves again", func() bool {
			return w.do(m, lookUp(fmt.Sprintf("again-%d-%d", k, time.Now().UnixNano()))).status == http.StatusOK
		})
	}
}

// An operator's tool writes a row of another form, and one for a data centre that does not
// exist. The first counts by its name, nothing else changes, and both are told once.
func TestHostedInvalidCordons(t *testing.T) {
	t.Parallel()
	w := newFixtureWithDataCentres(t, threeDataCentres, 1, nil)
	w.Table.Put("op", "evacuate/zone-a", []byte(`{"torn`))
	w.Table.Put("op", "evacuate/nowhere", map[string]any{"since": 7})
	testkit.Eventually(t, cordonTimeout, "all instances know", func() bool {
		return len(logLines(w.procs, "cordoned=nowhere,zone-a")) == len(w.machines)
	})
	time.Sleep(time.Second)
	if n := len(logLines(w.procs, "event=cordon_unreadable")); n < 1 {
		t.Error("no line on the rows that can't be read in full")
	}
	for _, p := range w.procs {
		if n := len(logLines([]*process{p}, "event=cordon_unreadable")); n > 1 {
			t.Errorf("%s says so %d times, want once while it reads the store", p.name, n)
		}
	}
	if n := len(logLines(w.procs, "event=cordon_of_unknown_data_centre")); n < 1 {
		t.Error("no line on the data centre that does not exist")
	}
	for k, m := range w.machines {
		if r := w.do(m, lookUp(fmt.Sprintf("l%d", k))); r.status != http.StatusOK {
			t.Errorf("status %d", r.status)
		}
	}
}

// A data centre comes back cold under a burst: its engines crash under more requests a
// second than they state. None may, and no request may be lost to one.
func TestHostedColdDataCentreReturns(t *testing.T) {
	t.Parallel()
	const bears = 4
	w := newFixtureWithDataCentres(t, threeDataCentres, 2, func(b *hosting.World) { b.ColdFor, b.ColdPerS = time.Second, bears })
	w.Cordon("zone-b")
	testkit.Eventually(t, cordonTimeout, "all instances know", func() bool {
		return len(logLines(w.procs, "cordoned=zone-b")) == len(w.machines)
	})
	for _, k := range w.pool {
		if k.Zone == "zone-b" {
			k.Chill(3 * time.Second)
		}
	}
	w.Uncordon("zone-b")
	const drafts = 120
	results := make([]result, drafts)
	var wg sync.WaitGroup
	for k := range drafts {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 10 * time.Millisecond)
			results[k] = w.do(w.machines[k%len(w.machines)], generation(fmt.Sprintf("c%d", k)))
		})
	}
	wg.Wait()
	arrivals, cold := w.Arrivals(), 0
	for k, r := range results {
		id := fmt.Sprintf("c%d", k)
		if refusedNotRun(r.status) {
			continue
		}
		checkComplete(t, id, r, arrivals[id])
		for _, a := range arrivals[id] {
			if a.Cold {
				cold++
			}
		}
	}
	for _, k := range w.pool {
		if k.Overrun() {
			t.Errorf("%s crashed under too many requests", k.ID)
		}
	}
	if cold == 0 {
		t.Error("nothing reached a cold engine: the test shows nothing")
	}
}

// Two regions of three data centres each. Requests that are confined to one must stay there:
// no upstream elsewhere, and callers elsewhere are named instances in it or their own region.
// When the region is lost they are refused at once.
func TestHostedRegions(t *testing.T) {
	t.Parallel()
	zones := map[string]string{"n1": "north", "n2": "north", "n3": "north", "s1": "south", "s2": "south", "s3": "south"}
	w := newFixtureWithDataCentres(t, zones, 1, nil)
	w.Configure(func(c map[string]any) {
		for _, r := range c["routes"].([]map[string]any) {
			r["allowed_regions"] = []string{"south"}
		}
	})
	testkit.Eventually(t, cordonTimeout, "all instances know", func() bool {
		return len(logLines(w.procs, "event=configuration_adopted version=6")) == len(w.machines)
	})
	for k, m := range w.machines {
		for _, c := range []call{generation(fmt.Sprintf("d%d", k)), booking(fmt.Sprintf("b%d", k)), lookUp(fmt.Sprintf("l%d", k))} {
			if r := w.do(m, c); r.status != http.StatusOK || r.truncated {
				t.Errorf("%s at %s: %+v", c.id, m.Zone, r)
			}
		}
	}
	for _, k := range append(append([]*hosting.Worker{}, w.pool...), w.desk...) {
		if n := len(k.Arrivals()); n > 0 && zones[k.Zone] != "south" {
			t.Errorf("%d requests reached %s in %s", n, k.ID, k.Zone)
		}
	}
	w.checkRegions(t, zones, "north", "n1", "north", "south")
	w.checkRegions(t, zones, "south", "s1", "south")
	for _, k := range append(append([]*hosting.Worker{}, w.pool...), w.desk...) {
		if zones[k.Zone] == "south" {
			k.Crash()
			k.Vanish()
		}
	}
	for k, m := range w.machines {
		if zones[m.Zone] != "north" {
			w.procs[k].kill()
		}
	}
	north := w.machines[0]
	testkit.Eventually(t, waitTimeout, "the loss of the region is told at once", func() bool {
		asked := time.Now()
		r := w.do(north, lookUp(fmt.Sprintf("lost-%d", asked.UnixNano())))
		return refusedNotRun(r.status) && r.header.Get("Retry-After") != "" && time.Since(asked) < 500*time.Millisecond
	})
	w.checkRegions(t, zones, "north", "n1", "north")
}

// checkRegions checks that callers of a data centre are named instances of some regions only.
func (w *fixture) checkRegions(t *testing.T, zones map[string]string, region, zone string, regions ...string) {
	t.Helper()
	for _, m := range w.machines {
		for _, address := range w.resolveFrom(m, region, zone) {
			for _, o := range w.machines {
				if o.Callers == address && !strings.Contains(strings.Join(regions, ","), zones[o.Zone]) {
					t.Errorf("%s names %s in %s to a caller in %s", m.Name, o.Name, o.Zone, zone)
				}
			}
		}
	}
}

// Instances die in three ways: killed, switched off without a word, and told to stop. Some
// seconds later no answer may name them any more.
func TestHostedDirectoryDropsDeadInstances(t *testing.T) {
	t.Parallel()
	w := newFixture(t)
	for k := range 3 {
		w.addInstance(t, fmt.Sprintf("entry-%d", hostedInstanceCount+k))
	}
	w.waitReady(t)
	dead := map[string]string{
		w.machines[1].Callers: "killed", w.machines[2].Callers: "switched off", w.machines[3].Callers: "stopped",
	}
	w.procs[1].kill()
	if err := w.procs[2].signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	if err := w.procs[3].signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	for _, m := range []hosting.Machine{w.machines[0], w.machines[4], w.machines[5]} {
		for range 20 {
			for _, address := range w.resolve(m) {
				if how := dead[address]; how != "" {
					t.Fatalf("%s names one that was %s three seconds ago", m.Name, how)
				}
			}
		}
	}
}
