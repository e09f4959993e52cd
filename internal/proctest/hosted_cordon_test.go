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

// threeDataCentres maps data centres to their common region.
var threeDataCentres = map[string]string{"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a"}

// cordonTimeout is the maximum time until a cordon is in force at every instance.
const cordonTimeout = 2 * time.Second

// traffic sends look-ups and bookings to all instances until finish is called.
type traffic struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	// slowestRefusal is the longest wait for a refusal; statuses holds the number of responses
	// by status.
	slowestRefusal time.Duration
	statuses       map[int]int
}

// trafficCount makes the request ids of each traffic unique.
var trafficCount atomic.Int64

// startTraffic starts one caller per instance. Each caller sends a request per interval.
func (f *fixture) startTraffic(interval time.Duration) *traffic {
	l := &traffic{stop: make(chan struct{}), statuses: map[int]int{}}
	run := trafficCount.Add(1)
	for m := range f.machines {
		l.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-time.After(interval):
				}
				c := lookUp(fmt.Sprintf("load%d-%d-%d", run, m, n))
				if n%2 == 0 {
					c = booking(c.id)
				}
				sent := time.Now()
				r := f.do(f.machines[m], c)
				l.record(r.status, time.Since(sent))
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

// arrivalsAfter returns the requests that arrived in a data centre later than within after the time
// since, and how long after since the last request arrived there.
func (f *fixture) arrivalsAfter(dc string, since time.Time, within time.Duration) (late []hosting.Arrival, last time.Duration) {
	for _, k := range append(append([]*hosting.Worker{}, f.pool...), f.desk...) {
		if k.Zone != dc {
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

// A data centre is cordoned under load while the store has no faults, is slow, stops responding, has
// lost its history or refuses some instances, and while all instances are killed right after. After
// 2 s no request may reach the data centre, whatever the source of an instance's state. Requests that
// run there must complete, and the data centre must be used again once the cordon is lifted.
func TestHostedCordon(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// before is called right before the cordon's row is written, after once an instance has
		// applied the cordon.
		before, after func(*testing.T, *fixture)
	}{
		{name: "store without faults"},
		{name: "store slow", before: func(_ *testing.T, f *fixture) { f.Table.Set(hosting.Slow) }},
		{name: "store unresponsive right after", after: func(_ *testing.T, f *fixture) { f.Table.Set(hosting.Silent) }},
		{name: "store without history", before: func(_ *testing.T, f *fixture) { f.Table.Forget() }},
		{name: "store refuses some instances", before: func(_ *testing.T, f *fixture) {
			f.Table.SetFor(f.machines[0].Name, hosting.Busy)
			f.Table.SetFor(f.machines[1].Name, hosting.Silent)
		}},
		{name: "all killed right after", after: func(t *testing.T, f *fixture) {
			for _, p := range f.procs {
				p.kill()
			}
			f.procs = nil
			for _, m := range f.machines {
				f.procs = append(f.procs, f.startInstance(t, m))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureWithDataCentres(t, threeDataCentres, 2, nil)
			l := f.startTraffic(20 * time.Millisecond)
			var generations sync.WaitGroup
			results := make([]result, 12)
			for k := range results {
				generations.Go(func() {
					results[k] = f.do(f.machines[k%len(f.machines)], generation(fmt.Sprintf("%s-%d", strings.ReplaceAll(c.name, " ", "-"), k)))
				})
			}
			time.Sleep(300 * time.Millisecond)
			if c.before != nil {
				c.before(t, f)
			}
			cordoned := time.Now()
			f.Cordon("zone-b")
			if c.after != nil {
				testkit.Eventually(t, cordonTimeout, "an instance has applied the cordon", func() bool {
					return len(logLines(f.procs, "event=cordons_changed")) > 0
				})
				c.after(t, f)
			}
			time.Sleep(3 * time.Second)
			late, last := f.arrivalsAfter("zone-b", cordoned, cordonTimeout)
			t.Logf("the last request reached the data centre %v after the cordon", last.Round(time.Millisecond))
			if len(late) > 0 {
				t.Errorf("%d requests reached the data centre later than %v after the cordon, want none; the first: %+v", len(late), cordonTimeout, late[0])
			}
			if c.name != "all killed right after" {
				generations.Wait()
				for _, r := range results {
					if r.status != http.StatusOK || r.truncated {
						t.Errorf("a generation that ran at the cordon ended with status %d, truncated %v; want status 200 and a complete stream", r.status, r.truncated)
					}
				}
			}
			f.Table.Set(hosting.Well)
			lifted := time.Now()
			f.Uncordon("zone-b")
			testkit.Eventually(t, waitTimeout, "the data centre is used again", func() bool {
				_, last := f.arrivalsAfter("zone-b", lifted, 0)
				return last > 0
			})
			l.finish()
		})
	}
}

// All data centres are cordoned. Every caller must be refused at once with a time to retry, and be
// served as soon as one data centre is uncordoned.
func TestHostedAllDataCentresCordoned(t *testing.T) {
	t.Parallel()
	f := newFixtureWithDataCentres(t, threeDataCentres, 1, nil)
	for dc := range threeDataCentres {
		f.Cordon(dc)
	}
	testkit.Eventually(t, cordonTimeout, "all instances have applied the cordons of zone-a, zone-b, zone-c", func() bool {
		return len(logLines(f.procs, "cordoned=zone-a,zone-b,zone-c")) == len(f.machines)
	})
	for k, m := range f.machines {
		for _, c := range []call{generation(fmt.Sprintf("d%d", k)), booking(fmt.Sprintf("b%d", k)), lookUp(fmt.Sprintf("l%d", k))} {
			sent := time.Now()
			r := f.do(m, c)
			if took := time.Since(sent); r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || took > 500*time.Millisecond {
				t.Errorf("%s: status %d after %v with Retry-After %q, want 503 with Retry-After within 0.5 s", c.id, r.status, took, r.header.Get("Retry-After"))
			}
			if got := f.Arrivals()[c.id]; len(got) > 0 {
				t.Errorf("%s reached %s, want it on no upstream", c.id, got[0].Worker)
			}
		}
	}
	testkit.Eventually(t, cordonTimeout, "each refusal is logged with its reason", func() bool {
		return len(logLines(f.procs, "reason=cordoned")) == 3*len(f.machines)
	})
	f.Uncordon("zone-c")
	for k, m := range f.machines {
		testkit.Eventually(t, cordonTimeout, m.Name+" serves again", func() bool {
			return f.do(m, lookUp(fmt.Sprintf("again-%d-%d", k, time.Now().UnixNano()))).status == http.StatusOK
		})
	}
}

// An operator's tool writes a row of an unknown form, and a row for a data centre that does not
// exist. The first row must cordon the data centre in its key, and the second must change nothing.
// Both must be logged, the first one at most once by each instance.
func TestHostedInvalidCordons(t *testing.T) {
	t.Parallel()
	f := newFixtureWithDataCentres(t, threeDataCentres, 1, nil)
	f.Table.Put("op", "evacuate/zone-a", []byte(`{"torn`))
	f.Table.Put("op", "evacuate/nowhere", map[string]any{"since": 7})
	testkit.Eventually(t, cordonTimeout, "all instances have applied the cordons of nowhere, zone-a", func() bool {
		return len(logLines(f.procs, "cordoned=nowhere,zone-a")) == len(f.machines)
	})
	time.Sleep(time.Second)
	if n := len(logLines(f.procs, "event=cordon_unreadable")); n < 1 {
		t.Error("no instance logged the row that can't be decoded, want at least one")
	}
	for _, p := range f.procs {
		if n := len(logLines([]*process{p}, "event=cordon_unreadable")); n > 1 {
			t.Errorf("%s logged the row that can't be decoded %d times, want at most once", p.name, n)
		}
	}
	if n := len(logLines(f.procs, "event=cordon_of_unknown_data_centre")); n < 1 {
		t.Error("no instance logged the data centre that does not exist, want at least one")
	}
	for k, m := range f.machines {
		if r := f.do(m, lookUp(fmt.Sprintf("l%d", k))); r.status != http.StatusOK {
			t.Errorf("look-up after the invalid cordons: status %d, want 200", r.status)
		}
	}
}

// A data centre is uncordoned during a burst, and its engines are cold: they crash if they get more
// requests per second than they declare. None may crash, and no accepted request may be lost.
func TestHostedColdDataCentreReturns(t *testing.T) {
	t.Parallel()
	const coldPerSecond = 4
	f := newFixtureWithDataCentres(t, threeDataCentres, 2, func(b *hosting.World) { b.ColdFor, b.ColdPerS = time.Second, coldPerSecond })
	f.Cordon("zone-b")
	testkit.Eventually(t, cordonTimeout, "all instances have applied the cordons of zone-b", func() bool {
		return len(logLines(f.procs, "cordoned=zone-b")) == len(f.machines)
	})
	for _, k := range f.pool {
		if k.Zone == "zone-b" {
			k.Chill(3 * time.Second)
		}
	}
	f.Uncordon("zone-b")
	const generations = 120
	results := make([]result, generations)
	var wg sync.WaitGroup
	for k := range generations {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 10 * time.Millisecond)
			results[k] = f.do(f.machines[k%len(f.machines)], generation(fmt.Sprintf("c%d", k)))
		})
	}
	wg.Wait()
	arrivals, cold := f.Arrivals(), 0
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
	for _, k := range f.pool {
		if k.Overrun() {
			t.Errorf("%s crashed because more requests arrived than it sustains while cold, want no crash", k.ID)
		}
	}
	if cold == 0 {
		t.Error("no request reached a cold engine, want at least one: otherwise the test checks nothing")
	}
}

// There are two regions with three data centres each. Requests restricted to one region must reach
// upstreams only in that region, and callers elsewhere must be directed to instances in that region
// or in their own. When the region is lost, requests restricted to it must be refused at once.
func TestHostedRegions(t *testing.T) {
	t.Parallel()
	regionOf := map[string]string{"n1": "north", "n2": "north", "n3": "north", "s1": "south", "s2": "south", "s3": "south"}
	f := newFixtureWithDataCentres(t, regionOf, 1, nil)
	f.Configure(func(c map[string]any) {
		for _, r := range c["routes"].([]map[string]any) {
			r["allowed_regions"] = []string{"south"}
		}
	})
	testkit.Eventually(t, cordonTimeout, "all instances have adopted configuration version 6", func() bool {
		return len(logLines(f.procs, "event=configuration_adopted version=6")) == len(f.machines)
	})
	for k, m := range f.machines {
		for _, c := range []call{generation(fmt.Sprintf("d%d", k)), booking(fmt.Sprintf("b%d", k)), lookUp(fmt.Sprintf("l%d", k))} {
			if r := f.do(m, c); r.status != http.StatusOK || r.truncated {
				t.Errorf("%s at an instance in %s: %+v, want a success", c.id, m.Zone, r)
			}
		}
	}
	for _, k := range append(append([]*hosting.Worker{}, f.pool...), f.desk...) {
		if n := len(k.Arrivals()); n > 0 && regionOf[k.Zone] != "south" {
			t.Errorf("%d requests reached %s in %s, want none outside the region", n, k.ID, k.Zone)
		}
	}
	f.checkRegions(t, regionOf, "north", "n1", "north", "south")
	f.checkRegions(t, regionOf, "south", "s1", "south")
	for _, k := range append(append([]*hosting.Worker{}, f.pool...), f.desk...) {
		if regionOf[k.Zone] == "south" {
			k.Crash()
			k.Vanish()
		}
	}
	for k, m := range f.machines {
		if regionOf[m.Zone] != "north" {
			f.procs[k].kill()
		}
	}
	north := f.machines[0]
	testkit.Eventually(t, waitTimeout, "a request is refused within 0.5 s after the loss of the region", func() bool {
		sent := time.Now()
		r := f.do(north, lookUp(fmt.Sprintf("lost-%d", sent.UnixNano())))
		return refusedNotRun(r.status) && r.header.Get("Retry-After") != "" && time.Since(sent) < 500*time.Millisecond
	})
	f.checkRegions(t, regionOf, "north", "n1", "north")
}

// checkRegions checks that the directory directs callers of a data centre to instances in the given
// regions only.
func (f *fixture) checkRegions(t *testing.T, regionOf map[string]string, region, dc string, regions ...string) {
	t.Helper()
	for _, m := range f.machines {
		for _, address := range f.resolveFrom(m, region, dc) {
			for _, o := range f.machines {
				if o.Callers == address && !strings.Contains(strings.Join(regions, ","), regionOf[o.Zone]) {
					t.Errorf("%s directs a caller to %s in %s, want only instances in the allowed regions of callers in %s", m.Name, o.Name, o.Zone, dc)
				}
			}
		}
	}
}

// Instances end in three ways: one is killed, one is stopped without closing its connections, and
// one is drained. Three seconds later no directory response may list them.
func TestHostedDirectoryDropsDeadInstances(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for k := range 3 {
		f.addInstance(t, fmt.Sprintf("entry-%d", hostedInstanceCount+k))
	}
	f.waitReady(t)
	dead := map[string]string{
		f.machines[1].Callers: "killed", f.machines[2].Callers: "unresponsive", f.machines[3].Callers: "drained",
	}
	f.procs[1].kill()
	if err := f.procs[2].signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	if err := f.procs[3].signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	for _, m := range []hosting.Machine{f.machines[0], f.machines[4], f.machines[5]} {
		for range 20 {
			for _, address := range f.resolve(m) {
				if state := dead[address]; state != "" {
					t.Fatalf("the directory of %s still lists an instance that was %s three seconds ago, want it dropped", m.Name, state)
				}
			}
		}
	}
}
