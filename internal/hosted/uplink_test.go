package hosted_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

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
}

// newFleetRig starts upstreams and instances in two data centres and waits until all instances serve.
func newFleetRig(t *testing.T, perDataCentre int) *fleetRig {
	t.Helper()
	w := hosting.NewWorld(t.TempDir())
	t.Cleanup(w.Close)
	w.Zones = map[string]string{"zone-a": "region-a", "zone-b": "region-a"}
	w.Configure(nil)
	f := &fleetRig{World: w}
	for _, zone := range []string{"zone-a", "zone-b"} {
		f.addUpstreams(t, zone)
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

func (f *fleetRig) addUpstreams(t *testing.T, zone string) {
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
		add(fmt.Sprintf("desk-%s-%d", zone, k), hosting.Desk, func(w *hosting.Worker) { w.Zone, w.Work = zone, 30*time.Millisecond })
	}
}

func (f *fleetRig) addInstance(t *testing.T, name, zone string) {
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
	log, up := &syncBuffer{}, uplink.New()
	i := hosted.New(s, platform.Wire{}, platform.NewStore(s.StoreAddress), hclog.New(&hclog.LoggerOptions{Output: log}))
	i.SetDial(up.Dial)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	f.machines, f.uplinks, f.logs = append(f.machines, m), append(f.uplinks, up), append(f.logs, log)
}

// book sends a request that may run once to an instance and returns the status, 0 without a whole response.
func (f *fleetRig) book(k int) int { return f.try(k, hosting.PathBooking, "300,10") }

// generate requests a stream.
func (f *fleetRig) generate(k int) int { return f.try(k, hosting.PathBrief, "300,80") }

var tryCount struct {
	sync.Mutex
	n int
}

// try sends one request on a new connection.
func (f *fleetRig) try(k int, path, tokens string) int {
	tryCount.Lock()
	tryCount.n++
	id := fmt.Sprintf("%016x", tryCount.n)
	tryCount.Unlock()
	c, err := testkit.DialSlow(f.machines[k].Callers)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second)) // fails only on a closed connection
	request := "POST " + path + "x HTTP/1.1\r\nHost: " + hosting.Host + "\r\nCredential: " + hosting.Key +
		"\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 6000\r\nToken-Counts: " + tokens + "\r\nContent-Length: 18\r\n\r\n" + id + "{}"
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
