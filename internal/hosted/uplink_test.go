package hosted_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/hosted"
	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/standin/uplink"
	"mulberrylug.example/mulberrylug/internal/testkit"
	"mulberrylug.example/mulberrylug/platform"
)

const (
	// contactTime is the time after the beginning of a cut from which callers must not notice it.
	contactTime = 3 * time.Second
	// cutEngines and cutDesks are the numbers of upstreams of each data centre.
	cutEngines = 2
	cutDesks   = 2
)

// fleetRig is a fleet in this process, each instance of which has its own uplink.
type fleetRig struct {
	*hosting.World
	machines []hosting.Machine
	uplinks  []*uplink.Uplink
	logs     []*syncBuffer
	// stop ends each instance at once, drain makes it leave.
	stop, drain []func()
}

// newFleetRig starts upstreams and instances in two data centres and waits until all instances serve.
func newFleetRig(t *testing.T, perDataCentre int) *fleetRig {
	t.Helper()
	return newFleetRigWith(t, perDataCentre, func(w *hosting.Worker) { w.Work = 30 * time.Millisecond })
}

// newFleetRigWith does the same and configures the upstreams of the plain service.
func newFleetRigWith(t *testing.T, perDataCentre int, desk func(*hosting.Worker)) *fleetRig {
	t.Helper()
	return startFleetRig(t, perDataCentre, func(f *fleetRig, zone string) { f.addUpstreams(t, zone, desk) })
}

// startFleetRig starts the upstreams and the instances of two data centres.
func startFleetRig(t *testing.T, perDataCentre int, addUpstreams func(f *fleetRig, zone string)) *fleetRig {
	t.Helper()
	w := hosting.NewWorld(t.TempDir())
	t.Cleanup(w.Close)
	w.Zones = map[string]string{"zone-a": "region-a", "zone-b": "region-a"}
	w.Configure(nil)
	f := &fleetRig{World: w}
	for _, zone := range []string{"zone-a", "zone-b"} {
		addUpstreams(f, zone)
		for k := range perDataCentre {
			f.addInstance(t, fmt.Sprintf("entry-%s-%d", zone, k), zone)
		}
	}
	for k := range f.machines {
		testkit.Eventually(t, testTimeout, f.machines[k].Name+" serves", func() bool {
			return f.book(k) == http.StatusOK && f.generate(k) == http.StatusOK
		})
	}
	return f
}

func (f *fleetRig) addUpstreams(t *testing.T, zone string, desk func(*hosting.Worker)) {
	t.Helper()
	add := func(id, service string, configure func(*hosting.Worker)) {
		if _, err := f.Add(id, service, configure); err != nil {
			t.Fatal(err)
		}
	}
	for k := range cutEngines {
		add(fmt.Sprintf("engine-%s-%d", zone, k), hosting.Pool, func(w *hosting.Worker) {
			w.Zone, w.EventEvery, w.EventCount = zone, 5*time.Millisecond, 20
		})
	}
	for k := range cutDesks {
		add(fmt.Sprintf("desk-%s-%d", zone, k), hosting.Desk, func(w *hosting.Worker) {
			w.Zone = zone
			desk(w)
		})
	}
}

func (f *fleetRig) addInstance(t *testing.T, name, zone string) {
	t.Helper()
	up := uplink.New()
	f.addInstanceThrough(t, name, zone, up.Dial)
	f.uplinks = append(f.uplinks, up)
}

// addInstanceThrough adds an instance that connects to upstreams in the given way.
func (f *fleetRig) addInstanceThrough(t *testing.T, name, zone string, dial conn.DialFunc) {
	t.Helper()
	m, err := f.MachineIn(name, zone)
	if err != nil {
		t.Fatal(err)
	}
	s, err := platform.LoadSettings(m.Settings)
	if err != nil {
		t.Fatal(err)
	}
	s.CPUShare, s.MemoryBytes = 0, 0 // unknown, as the instances share one process
	log := &syncBuffer{}
	i := hosted.New(s, platform.Wire{}, platform.NewStore(s.StoreAddress), hclog.New(&hclog.LoggerOptions{Output: log}))
	i.SetDial(dial)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Serve(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(stop)
	f.stop, f.drain = append(f.stop, stop), append(f.drain, i.Drain)
	f.machines, f.logs = append(f.machines, m), append(f.logs, log)
}

// book sends a request that may run once to an instance and returns the status, 0 without a whole response.
func (f *fleetRig) book(k int) int { return f.try(k, hosting.PathBooking, "300,10") }

// generate requests a stream.
func (f *fleetRig) generate(k int) int { return f.try(k, hosting.PathBrief, "300,80") }

// lastID is the number of the last request.
var lastID atomic.Int64

func nextID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// try sends one request on a new connection.
func (f *fleetRig) try(k int, path, tokens string) int { return f.tryAs(nextID(), k, path, tokens) }

func (f *fleetRig) tryAs(id string, k int, path, tokens string) int {
	return f.tryWith(id, k, path, tokens, "")
}

// tryWith sends a request with an id and further headers.
func (f *fleetRig) tryWith(id string, k int, path, tokens, headers string) int {
	c, err := testkit.DialSlow(f.machines[k].Callers)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second)) // fails only on a closed connection
	request := "POST " + path + "x HTTP/1.1\r\nHost: " + hosting.Host + "\r\nCredential: " + hosting.Key +
		"\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 6000\r\nToken-Counts: " + tokens + "\r\n" + headers + "Content-Length: 18\r\n\r\n" + id + "{}"
	if _, err := io.WriteString(c, request); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// share is how many of a group's requests were served.
type share struct{ served, sent int }

func (s share) ratio() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// load sends requests to all instances for a while and returns what was served at those that are cut off
// and at the others.
func (f *fleetRig) load(d time.Duration, cut map[int]bool) (at, others share) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for k := range f.machines {
		for _, send := range []func(int) int{f.book, f.generate} {
			wg.Go(func() {
				for time.Now().Before(end) {
					status := send(k)
					mu.Lock()
					s := &others
					if cut[k] {
						s = &at
					}
					s.sent++
					if status == http.StatusOK {
						s.served++
					}
					mu.Unlock()
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return at, others
}

// cutCase is a cut of some instances from all upstreams.
type cutCase struct {
	name string
	mode uplink.Mode
	cut  map[int]bool
}

var (
	halfCut = map[int]bool{0: true, 2: true, 4: true}
	zoneCut = map[int]bool{0: true, 1: true, 2: true}
	mostCut = map[int]bool{0: true, 1: true, 2: true, 3: true, 5: true}
)

// cutResult is what was served before a cut, and from contactTime after its beginning at the instances
// that are cut off and at the others.
type cutResult struct{ before, at, others share }

// play cuts instances off while requests are sent to all of them.
func (f *fleetRig) play(c cutCase) (r cutResult) {
	_, r.before = f.load(time.Second, nil)
	for k := range c.cut {
		f.uplinks[k].Set(c.mode)
	}
	f.load(contactTime, c.cut)
	r.at, r.others = f.load(2*time.Second, c.cut)
	return r
}

// Callers of an instance that has lost its paths to all upstreams must be served through other instances,
// in each way in which paths fail, with half of the instances, with a data centre and with all but one
// cut off, and by the instance itself once its paths are back.
func TestInstancesWithoutPathsServeThroughOthers(t *testing.T) {
	for _, c := range []cutCase{
		{"hang/half", uplink.Hang, halfCut},
		{"hang/data centre", uplink.Hang, zoneCut},
		{"hang/all but one", uplink.Hang, mostCut},
		{"reset/half", uplink.Reset, halfCut},
		{"refuse/half", uplink.Refuse, halfCut},
		{"refuse/all but one", uplink.Refuse, mostCut},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetRig(t, 3)
			r := f.play(c)
			t.Logf("%+v", r)
			if failed := r.at.sent - r.at.served; r.at.ratio() < r.others.ratio()*2/3 && failed > 10+(r.at.sent+r.others.sent)/50 {
				t.Errorf("instances without paths served %+v, the others %+v", r.at, r.others)
			}
			for k := range c.cut {
				f.uplinks[k].Set(uplink.Up)
			}
			f.load(2*time.Second, c.cut)
			if at, others := f.load(time.Second, c.cut); at.ratio() < 0.98 || others.ratio() < 0.98 {
				t.Errorf("after the cut %+v and %+v are served", at, others)
			}
		})
	}
}

// An instance that has lost its paths must not make others believe that upstreams have failed or that
// requests crash them: callers of the other instances are served as before.
func TestALostPathIsNotTakenForAFailedUpstream(t *testing.T) {
	for _, c := range []cutCase{
		{"hang/half", uplink.Hang, halfCut},
		{"hang/all but one", uplink.Hang, mostCut},
		{"reset/half", uplink.Reset, halfCut},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetRig(t, 3)
			r := f.play(c)
			t.Logf("%+v", r)
			if r.others.ratio() < r.before.ratio()-0.02 {
				t.Errorf("instances with paths served %+v, before the cut %+v", r.others, r.before)
			}
			for k, log := range f.logs {
				for _, accusation := range []string{"event=strike", "  strike:", "upstream_failing_announced"} {
					if log.has(accusation) {
						t.Errorf("%s: %s, but no upstream crashed or failed", f.machines[k].Name, accusation)
					}
				}
			}
		})
	}
}

// Random cuts of random instances, one after the other and overlapping, to run more:
//
//	go test ./internal/hosted -run RandomCuts -cuts.seed=7 -cuts.seeds=50 -v
var (
	cutsSeed  = flag.Uint64("cuts.seed", 1, "first seed of the random cuts")
	cutsSeeds = flag.Int("cuts.seeds", 1, "number of consecutive seeds")
)

// While instances lose and regain their paths, in any way and at any moment, a request that may run once
// must not run twice, and one that is said not to have run must not have run. Afterwards all are served.
func TestRandomCutsKeepPromises(t *testing.T) {
	for k := range *cutsSeeds {
		seed := *cutsSeed + uint64(k)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			f := newFleetRig(t, 3)
			rng := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			var wg sync.WaitGroup
			statuses := map[string]int{}
			stop := make(chan struct{})
			for k := range f.machines {
				for _, path := range []string{hosting.PathBooking, hosting.PathBooking, hosting.PathDraft} {
					wg.Go(func() {
						for n := 0; ; n++ {
							select {
							case <-stop:
								return
							case <-time.After(20 * time.Millisecond):
							}
							id := nextID()
							status := f.tryAs(id, k, path, "300,80")
							mu.Lock()
							statuses[id] = status
							mu.Unlock()
						}
					})
				}
			}
			modes := []uplink.Mode{uplink.Up, uplink.Up, uplink.Hang, uplink.Reset, uplink.Refuse}
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
				f.uplinks[rng.IntN(len(f.uplinks))].Set(modes[rng.IntN(len(modes))])
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
			for _, u := range f.uplinks {
				u.Set(uplink.Up)
			}
			close(stop)
			wg.Wait()
			served := 0
			arrivals := f.Arrivals()
			for id, status := range statuses {
				runs := 0
				for _, a := range arrivals[id] {
					if a.Ran && !a.Resumed {
						runs++
					}
				}
				if status == http.StatusOK {
					served++
				}
				if runs > 1 || runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) || runs == 0 && status == http.StatusOK {
					t.Errorf("%s: status %d, ran %d times", id, status, runs)
				}
			}
			t.Logf("%d of %d served", served, len(statuses))
			f.load(time.Second, nil)
			if _, after := f.load(time.Second, nil); after.ratio() < 0.98 {
				t.Errorf("%+v served after the cuts", after)
			}
		})
	}
}
