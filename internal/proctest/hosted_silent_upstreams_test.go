package proctest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// Sizes of the tests of silent upstreams. A generation takes about 2.4 s after its prefill.
const (
	silentGenerations = 24
	silence           = 1200 * time.Millisecond
	// backOff is how much later than on new connections bytes arrive that were sent in a cut.
	backOff = 1500 * time.Millisecond
	// reportLag is the age of what engines report.
	reportLag = 500 * time.Millisecond
)

// fallSilent makes an upstream silent for a time. What was sent meanwhile may arrive still later.
type fallSilent func(k *hosting.Worker, d, late time.Duration)

// silences are the ways in which a sound upstream exchanges nothing for a time and goes on.
var silences = map[string]fallSilent{
	"stalled":       func(k *hosting.Worker, d, _ time.Duration) { k.Stall(d) },
	"cut off":       func(k *hosting.Worker, d, _ time.Duration) { k.CutOff(d, 0) },
	"cut off, late": (*hosting.Worker).CutOff,
}

// silentRun is a fixture whose engines report late and copy slowly, with callers' requests, all of which must
// be served.
type silentRun struct {
	*moveFixture
	mu    sync.Mutex
	calls []call
}

// forEachSilence runs a test with each kind of silence.
func forEachSilence(t *testing.T, engine func(*hosting.Worker), test func(t *testing.T, r *silentRun, fall fallSilent)) {
	for name, fall := range silences {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, newSilentRun(t, engine, func(*hosting.World) {}), fall)
		})
	}
}

// anyEngine leaves engines as they are.
func anyEngine(*hosting.Worker) {}

func newSilentRun(t *testing.T, engine func(*hosting.Worker), prepare func(*hosting.World)) *silentRun {
	t.Helper()
	return &silentRun{moveFixture: &moveFixture{fixture: newFixtureWith(t, "", prepare, func(k *hosting.Worker) {
		k.EventEvery, k.Prefill, k.CopyTime, k.QueueCopies, k.ReportLag = slowEventInterval, 100*time.Millisecond, 150*time.Millisecond, true, reportLag
		engine(k)
	})}}
}

// send sends n requests, spread over all instances and a time.
func (s *silentRun) send(n int, over time.Duration, request func(id string) call) {
	first := len(s.calls)
	for k := range n {
		s.calls = append(s.calls, request(fmt.Sprintf("q%d", first+k)))
	}
	s.results = append(s.results, make([]result, n)...)
	results := s.results[first:]
	for k, c := range s.calls[first:] {
		s.wg.Go(func() {
			time.Sleep(over * time.Duration(k) / time.Duration(n))
			results[k] = s.untilTaken(s.machines[k%len(s.machines)], c)
		})
	}
}

// untilTaken sends a request until it is not refused for lack of room.
func (s *silentRun) untilTaken(m hosting.Machine, c call) (r result) {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if r = s.do(m, c); !refusedNotRun(r.status) {
			break
		}
	}
	return r
}

// shortPrompt returns a request for a generation that an engine accepts beside many others.
func shortPrompt(id string) call {
	c := generation(id)
	c.header["Token-Counts"] = fmt.Sprintf("100,%d", 4*streamEvents)
	return c
}

// check waits for all requests. Each must be served whole and, if it may run only once, have been started
// once. A few may be refused without a run. At least one must have reached the silent upstreams.
func (s *silentRun) check(t *testing.T, silent ...*hosting.Worker) {
	t.Helper()
	s.wg.Wait()
	arrivals, reached, bad, refused := s.Arrivals(), 0, 0, 0
	isSilent := map[string]bool{}
	for _, k := range silent {
		isSilent[k.ID] = true
	}
	for k, c := range s.calls {
		r, at, bodies := s.results[k], "", map[string]bool{}
		for _, a := range arrivals[c.id] {
			bodies[hosting.Body(c.id, a.Worker)] = true
			at += " " + a.Worker
			if isSilent[a.Worker] {
				reached++
			}
		}
		if (r.status == http.StatusNotFound || refusedNotRun(r.status)) && countRuns(arrivals[c.id]) == 0 {
			refused++
			continue
		}
		if strings.HasPrefix(c.path, hosting.PathDraft) || strings.HasPrefix(c.path, hosting.PathBrief) {
			bodies = map[string]bool{streamBody(c.id): true}
		}
		if r.status != http.StatusOK || r.truncated || !bodies[r.body] {
			bad++
			t.Errorf("%s at%s: status %d, truncated %v, error %v, %d bytes; want a whole answer", c.id, at, r.status, r.truncated, r.err, len(r.body))
		}
		once := strings.HasPrefix(c.path, hosting.PathDraft) || strings.HasPrefix(c.path, hosting.PathBooking)
		if n := countRuns(arrivals[c.id]); once && n != 1 {
			t.Errorf("%s was started %d times, want once", c.id, n)
		}
	}
	t.Logf("%d of %d requests were not served whole, %d refused; silent upstreams were reached %d times", bad, len(s.calls), refused, reached)
	if refused > len(s.calls)/4 {
		t.Errorf("%d of %d requests were refused, want at most a quarter", refused, len(s.calls))
	}
	if reached == 0 {
		t.Error("no request reached a silent upstream, want at least one: otherwise the test checks nothing")
	}
}

// An instance takes streams for lost whose engine is silent in their middle, and ends them.
func TestHostedStreamsOutlastSilentEngine(t *testing.T) {
	t.Parallel()
	forEachSilence(t, anyEngine, func(t *testing.T, s *silentRun, fall fallSilent) {
		s.send(silentGenerations, 0, shortPrompt)
		time.Sleep(time.Second)
		fall(s.pool[0], silence, backOff)
		s.check(t, s.pool[0])
	})
}

// An instance takes requests for lost that arrive as an engine falls silent, since its old reports do not list them.
func TestHostedRequestsOutlastSilentEngineBeforeFirstEvent(t *testing.T) {
	t.Parallel()
	forEachSilence(t, func(k *hosting.Worker) { k.Prefill = 800 * time.Millisecond }, func(t *testing.T, s *silentRun, fall fallSilent) {
		fall(s.pool[0], 1050*time.Millisecond, backOff)
		s.send(silentGenerations, 0, shortPrompt)
		s.check(t, s.pool[0])
	})
}

// An engine ends its runs while it is cut off, so that it reports them no longer though their last events arrive later.
func TestHostedStreamsEndAtSilentEngine(t *testing.T) {
	t.Parallel()
	forEachSilence(t, anyEngine, func(t *testing.T, s *silentRun, fall fallSilent) {
		s.send(silentGenerations, 0, shortPrompt)
		time.Sleep(300*time.Millisecond + streamEvents*slowEventInterval - 500*time.Millisecond)
		fall(s.pool[0], silence, backOff)
		s.check(t, s.pool[0])
	})
}

// An engine leaves and is silent while its generations are moved, or the engines to which they are moved are.
func TestHostedMovesOutlastSilentEngine(t *testing.T) {
	t.Parallel()
	for name, silent := range map[string][]int{"source": {0}, "destinations": {1, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachSilence(t, anyEngine, func(t *testing.T, s *silentRun, fall fallSilent) {
				s.send(silentGenerations, 0, shortPrompt)
				time.Sleep(800 * time.Millisecond)
				s.pool[0].Leave()
				time.Sleep(150 * time.Millisecond)
				for _, k := range silent {
					fall(s.pool[k], silence, backOff)
				}
				s.check(t, s.pool[0])
			})
		})
	}
}

// Many streams of an engine are moved at once after a silence, and their copies wait for each other for longer than a
// move waits for a copy.
func TestHostedCopiesInQueueOutlastSilentEngine(t *testing.T) {
	t.Parallel()
	slowCopies := func(k *hosting.Worker) { k.CopyTime = 400 * time.Millisecond }
	forEachSilence(t, slowCopies, func(t *testing.T, s *silentRun, fall fallSilent) {
		s.send(silentGenerations, 0, shortPrompt)
		time.Sleep(300 * time.Millisecond)
		fall(s.pool[0], 800*time.Millisecond, backOff)
		s.check(t, s.pool[0])
	})
}

// The configuration changes while engines are silent, and requests in progress lose what they were admitted with.
func TestHostedStreamsOutlastSilentEngineBesideChanges(t *testing.T) {
	t.Parallel()
	forEachSilence(t, anyEngine, func(t *testing.T, s *silentRun, fall fallSilent) {
		s.send(silentGenerations, time.Second, shortPrompt)
		for n := range 10 {
			if n == 3 {
				fall(s.pool[0], silence, backOff)
				fall(s.pool[1], silence, backOff)
			}
			s.Configure(func(c map[string]any) { changeConfiguration(c, n) })
			time.Sleep(300 * time.Millisecond)
		}
		s.check(t, s.pool[:2]...)
	})
}

// Instances drain and reload their settings while an engine is silent, and end its streams.
func TestHostedDrainOutlastsSilentEngine(t *testing.T) {
	t.Parallel()
	forEachSilence(t, anyEngine, func(t *testing.T, s *silentRun, fall fallSilent) {
		s.send(silentGenerations, 0, shortPrompt)
		time.Sleep(500 * time.Millisecond)
		fall(s.pool[0], silence, backOff)
		time.Sleep(100 * time.Millisecond)
		for n, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
			if err := s.procs[n].signal(sig); err != nil {
				t.Error(err)
			}
		}
		s.check(t, s.pool[0])
		s.procs[0].waitExit(t)
	})
}

// changeConfiguration changes what does not concern the requests of the tests, or not those in progress.
func changeConfiguration(c map[string]any, n int) {
	routes, services := c["routes"].([]map[string]any), c["services"].([]map[string]any)
	allowSilences(routes)
	switch n % 4 {
	case 0:
		routes[0]["timeout_ms"], routes[0]["target_latency_ms"] = 25000+n, 1500
	case 1: // a share of the look-ups goes to a service without upstreams
		c["services"] = append(services, map[string]any{"name": "other", "health_path": "/healthz", "max_conns": 100})
		routes[3]["traffic_split"] = []map[string]any{{"service": hosting.Desk, "weight": 1}, {"service": "other", "weight": 1}}
	case 2:
		c["tenants"] = append(c["tenants"].([]map[string]any), map[string]any{"name": "other", "api_keys": []string{"key-other"}, "priority": 1})
	case 3:
		c["routes"] = append(routes[:1:1], routes[2:]...)
	}
}

// allowSilences gives requests more time than the silences that concern them last.
func allowSilences(routes []map[string]any) {
	for k, ms := range []int{30000, 20000, 3000, 3000} {
		routes[k]["timeout_ms"] = ms
	}
}

// Engines are silent again soon after a silence, and several at once, so that what was learned in one is old in the next.
func TestHostedStreamsOutlastSilencesInSeries(t *testing.T) {
	t.Parallel()
	forEachSilence(t, anyEngine, func(t *testing.T, s *silentRun, fall fallSilent) {
		s.send(silentGenerations, 2*time.Second, shortPrompt)
		for range 2 {
			time.Sleep(600 * time.Millisecond)
			for _, k := range s.pool[:3] {
				fall(k, silence, backOff)
			}
			time.Sleep(silence)
		}
		s.check(t, s.pool[:3]...)
	})
}

// An instance ends bookings, which may run only once, because their upstream is silent.
func TestHostedBookingsOutlastSilentUpstream(t *testing.T) {
	t.Parallel()
	forEachSilence(t, anyEngine, func(t *testing.T, s *silentRun, fall fallSilent) {
		checkPlain(t, s, fall, booking)
	})
}

// An instance gives look-ups up for a retry that the budget does not allow, though their upstream would have answered.
func TestHostedLookUpsWithoutRetryBudgetOutlastSilentUpstream(t *testing.T) {
	t.Parallel()
	for name, fall := range silences {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkPlain(t, newSilentRun(t, anyEngine, func(w *hosting.World) { w.RetryBudgetSlack = 0 }), fall, lookUp)
		})
	}
}

// checkPlain sends requests to the plain service while all its upstreams are silent, for less than the time that a
// request has, and longer than that after which look-ups are sent elsewhere.
func checkPlain(t *testing.T, s *silentRun, fall fallSilent, request func(id string) call) {
	t.Helper()
	s.Configure(func(c map[string]any) { allowSilences(c["routes"].([]map[string]any)) })
	time.Sleep(hosting.ApplyWithin)
	s.send(120, 300*time.Millisecond, request)
	time.Sleep(50 * time.Millisecond)
	for _, k := range s.desk {
		fall(k, 1300*time.Millisecond, 1300*time.Millisecond)
	}
	s.check(t, s.desk...)
}

// Silences of all upstreams, in series and overlapping, beside changes of the configuration, end an answer that no
// single silence would have ended. More and longer runs are made with the flags of the soak test.
func TestHostedAnswersAreWholeAmongSilences(t *testing.T) {
	t.Parallel()
	for n := range *soakSeeds {
		seed := *soakSeed + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runAmongSilences(t, rand.New(rand.NewPCG(seed, seed))) })
	}
}

func runAmongSilences(t *testing.T, random *rand.Rand) {
	s := newSilentRun(t, anyEngine, func(*hosting.World) {})
	s.Configure(func(c map[string]any) { changeConfiguration(c, 0) })
	time.Sleep(hosting.ApplyWithin)
	stop := make(chan struct{})
	for k := range 36 {
		s.wg.Go(func() { s.keepSending(stop, k) })
	}
	all, kinds, until := append(append([]*hosting.Worker(nil), s.pool...), s.desk...), slices.Sorted(maps.Keys(silences)), map[string]time.Time{}
	ms := func(below int) time.Duration { return time.Duration(random.IntN(below)) * time.Millisecond }
	for n, end := 0, time.Now().Add(*soakDuration); time.Now().Before(end); n++ {
		for range random.IntN(4) {
			w, fall, d, late := all[random.IntN(len(all))], silences[kinds[random.IntN(len(kinds))]], 300*time.Millisecond+ms(1000), ms(1300)
			if w.Service == hosting.Desk { // the rest of a look-up's time after 0.4 of it lasts longer
				d, late = min(d, time.Second), late/2
			}
			if now := time.Now(); now.After(until[w.ID]) {
				until[w.ID] = now.Add(d + late + 200*time.Millisecond)
				fall(w, d, late)
			}
		}
		s.Configure(func(c map[string]any) { changeConfiguration(c, n) })
		time.Sleep(200*time.Millisecond + ms(200))
	}
	close(stop)
	s.check(t, all...)
}

// keepSending sends requests of one kind, generations over a connection that stays open, until the run ends.
func (s *silentRun) keepSending(stop chan struct{}, caller int) {
	patient := func(id string) call {
		c := resumable(id)
		c.timeout = 20 * time.Second
		return c
	}
	request := []func(string) call{shortPrompt, patient, booking, lookUp, shortPrompt, shortPrompt}[caller%6]
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: caller%6 > 1 && caller%6 < 4, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		c := request(fmt.Sprintf("w%d-%d", caller, n))
		r := s.doOn(transport, s.machines[caller/6%len(s.machines)], c)
		if refusedNotRun(r.status) || r.status == http.StatusNotFound {
			time.Sleep(500 * time.Millisecond)
		}
		s.mu.Lock()
		s.calls, s.results = append(s.calls, c), append(s.results, r)
		s.mu.Unlock()
	}
}
