package proctest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/standin/relay"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// The soak plays random troubles against real processes. One short run with a
// fixed seed belongs to every test run; more, by hand:
//
//	go test ./internal/proctest -run Soak -soak.seed=7 -soak.seeds=50 -soak.for=10s -timeout 60m
//
// This and all other tests can run with instances of two builds: see -proctest.other.
var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds, one after the other")
	soakDuration   = flag.Duration("soak.for", 6*time.Second, "time of troubles of each seed")
)

// soakRegressions are seeds that have failed once, each with its cause.
var soakRegressions = []uint64{}

const (
	// soakCallers ask one request after another.
	soakCallers = 9
	// recoveryTimeout is how soon after the last trouble requests must be served.
	recoveryTimeout = 8 * time.Second
)

// soak is one run.
type soak struct {
	*fixture
	t    *testing.T
	rand *rand.Rand
	stop chan struct{}
	// relays stand before workers: the links to those can be harmed.
	relays []*relay.Relay

	// restarts counts the instances that are being stopped and started; each
	// has its turn in free, so that one stays.
	restarts sync.WaitGroup
	restartable     chan int

	// mu guards what follows, and the world's procs.
	mu    sync.Mutex
	requests map[string]sentRequest
	key   string
	// revoked holds when each key was taken away.
	revoked map[string]time.Time
	served  int
}

// sentRequest is a request and what its caller saw.
type sentRequest struct {
	call
	sent time.Time
	result  result
}

func TestSoak(t *testing.T) {
	seeds := append([]uint64(nil), soakRegressions...)
	for k := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(k))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		fixture: newFixture(t), t: t, rand: rand.New(rand.NewPCG(seed, seed)), stop: make(chan struct{}),
		requests: map[string]sentRequest{}, key: hosting.Key, revoked: map[string]time.Time{},
	}
	s.addRelays()
	s.restartable = make(chan int, len(s.procs))
	for n := range len(s.procs) - 1 {
		s.restartable <- n
	}
	var callers sync.WaitGroup
	for k := range soakCallers {
		r := rand.New(rand.NewPCG(seed, uint64(k)+100))
		callers.Go(func() { s.sendRequests(k, r) })
	}
	for end := time.Now().Add(*soakDuration); time.Now().Before(end); {
		s.injectFault()
		time.Sleep(time.Duration(100+s.rand.IntN(500)) * time.Millisecond)
	}
	s.restarts.Wait()
	s.waitRecovered()
	close(s.stop)
	callers.Wait()
	s.check()
	t.Logf("seed=%d requests=%d served=%d", seed, len(s.requests), s.served)
}

// addRelays adds a worker of each service behind a relay.
func (s *soak) addRelays() {
	for _, service := range []string{hosting.Pool, hosting.Desk} {
		k, r, err := s.AddBehindRelay("behind-relay-"+service, service, func(k *hosting.Worker) {
			k.Work = 10 * time.Millisecond
			if service == hosting.Pool {
				k.EventEvery, k.EventCount, k.CopyTime = 25*time.Millisecond, streamEvents, 30*time.Millisecond
			}
		})
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(r.Close)
		s.relays = append(s.relays, r)
		if service == hosting.Desk {
			s.desk = append(s.desk, k)
		}
	}
}

// disturbLink makes a link slow, cuts its connections, swallows what they carry both ways
// or one way, or refuses new ones.
func (s *soak) disturbLink() {
	r := s.relays[s.rand.IntN(len(s.relays))]
	switch s.rand.IntN(5) {
	case 4:
		r.SilenceOneWay(s.rand.IntN(2) == 0)
	case 0:
		r.Delay(time.Duration(s.rand.IntN(300)) * time.Millisecond)
	case 1:
		r.Cut()
	case 2:
		r.Silence()
	case 3:
		r.SetDown(true)
	}
}

// sendRequests sends requests until the soak ends.
func (s *soak) sendRequests(caller int, r *rand.Rand) {
	// Half of the callers use an open connection until the process is gone,
	// whatever the process says of its end. Look-ups don't: the library sends
	// them again by itself when a kept connection breaks.
	kept := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer kept.CloseIdleConnections()
	at := r.IntN(len(s.machines))
	for k := 0; ; k++ {
		select {
		case <-s.stop:
			return
		default:
		}
		id := fmt.Sprintf("c%d-%d", caller, k)
		c := generation(id)
		switch {
		case caller%3 == 1:
			c = booking(id)
		case caller%3 == 2:
			c = lookUp(id)
		case r.IntN(2) == 0:
			c.path = hosting.PathBrief + "x"
		}
		s.mu.Lock()
		c.key = s.key
		if r.IntN(8) == 0 && len(s.revoked) > 0 {
			c.key = hosting.Key // a caller that has not heard of the new key
		}
		s.mu.Unlock()
		a := sentRequest{call: c, sent: time.Now()}
		if caller%2 == 0 || caller%3 == 2 {
			a.result = s.do(s.machines[r.IntN(len(s.machines))], c)
		} else if a.result = s.doOn(kept, s.machines[at], c); a.result.err != nil {
			at = r.IntN(len(s.machines))
		}
		s.mu.Lock()
		s.requests[id] = a
		if a.result.status == http.StatusOK && !a.result.truncated {
			s.served++
		}
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// injectFault makes one thing go wrong, or right again.
func (s *soak) injectFault() {
	n := s.rand.IntN(len(s.procs))
	worker := append(append([]*hosting.Worker(nil), s.pool...), s.desk...)[s.rand.IntN(len(s.pool)+len(s.desk))]
	switch s.rand.IntN(14) {
	case 0:
		s.restart(syscall.SIGKILL)
	case 1:
		s.restart(syscall.SIGTERM)
	case 2:
		s.freeze(n)
	case 3:
		s.Table.Set([]hosting.Mode{hosting.Busy, hosting.Silent, hosting.Lost}[s.rand.IntN(3)])
	case 4:
		s.Table.SetFor(s.machines[n].IP, []hosting.Mode{hosting.Busy, hosting.Silent}[s.rand.IntN(2)])
	case 5, 6:
		s.clearFaults()
	case 7:
		s.Table.Forget()
	case 8:
		faults := []hosting.Fault{
			hosting.Full, hosting.Fails, hosting.LostAnswer, hosting.Mute, hosting.Cuts,
			hosting.Unsigned, hosting.FalsePromise, hosting.Extra, hosting.Unframed,
		}
		worker.SetFault(faults[s.rand.IntN(len(faults))])
	case 9:
		s.replaceEngine()
	case 10:
		s.rotateKey()
	case 12, 13:
		s.disturbLink()
	case 11:
		if err := s.process(n).signal(syscall.SIGHUP); err != nil {
			s.t.Error(err)
		}
	}
}

// restart ends an instance and starts it anew a moment later. Others may be ending
// and starting meanwhile; one stays.
func (s *soak) restart(how syscall.Signal) {
	var n int
	select {
	case n = <-s.restartable:
	default:
		return // all but one are
	}
	p := s.process(n)
	if err := p.signal(how); err != nil {
		s.t.Error(err)
	}
	s.restarts.Go(func() {
		select {
		case <-p.ended:
		case <-time.After(10 * time.Second):
			s.t.Errorf("%s did not end within 10 s of %v", p.name, how)
			p.kill()
		}
		again := s.startInstance(s.t, s.machines[n])
		s.mu.Lock()
		s.procs[n] = again
		s.mu.Unlock()
		s.restartable <- n
	})
}

func (s *soak) process(n int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[n]
}

// freeze stops an instance for up to a second and a half.
func (s *soak) freeze(n int) {
	p := s.process(n)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		s.t.Error(err)
	}
	time.Sleep(time.Duration(200+s.rand.IntN(1300)) * time.Millisecond)
	if err := p.signal(syscall.SIGCONT); err != nil {
		s.t.Error(err)
	}
}

// replaceEngine makes an engine announce its end and crash; another takes its place.
func (s *soak) replaceEngine() {
	k := s.rand.IntN(len(s.pool))
	w := s.pool[k]
	w.Leave()
	time.AfterFunc(700*time.Millisecond, func() { w.Crash(); w.Vanish() })
	s.pool[k] = s.addUpstream(s.t, fmt.Sprintf("engine-%d-%d", k, s.rand.IntN(1<<20)), hosting.Pool, func(k *hosting.Worker) {
		k.EventEvery, k.EventCount, k.CopyTime = 25*time.Millisecond, streamEvents, 30*time.Millisecond
	})
}

// rotateKey takes the key away and gives another.
func (s *soak) rotateKey() {
	s.mu.Lock()
	old := s.key
	s.key = fmt.Sprintf("key-%d", s.rand.IntN(1<<20))
	keys := []string{s.key}
	s.mu.Unlock()
	s.Configure(func(c map[string]any) {
		c["tenants"] = []map[string]any{{"name": hosting.Owner, "api_keys": keys}}
	})
	s.mu.Lock()
	s.revoked[old] = time.Now()
	s.mu.Unlock()
}

// clearFaults ends what lasts: outages of the store and faults of workers.
func (s *soak) clearFaults() {
	s.Table.Set(hosting.Well)
	for _, r := range s.relays {
		r.Delay(0)
		r.SetDown(false)
	}
	for _, m := range s.machines {
		s.Table.SetFor(m.IP, hosting.Well)
	}
	for _, w := range append(append([]*hosting.Worker(nil), s.pool...), s.desk...) {
		w.SetFault(hosting.None)
	}
}

// waitRecovered mends everything and waits until each instance serves again.
func (s *soak) waitRecovered() {
	s.clearFaults()
	began := time.Now()
	for k, m := range s.machines {
		testkit.Eventually(s.t, recoveryTimeout, m.Name+" serves again", func() bool {
			c := booking(fmt.Sprintf("calm-%d-%d", k, time.Since(began)))
			c.key = s.key
			return s.do(m, c).status == http.StatusOK
		})
	}
}

// check judges by what callers saw and what reached the workers.
func (s *soak) check() {
	arrivals := s.Arrivals()
	for id, a := range s.requests {
		list := arrivals[id]
		once := !strings.HasPrefix(a.path, hosting.PathBrief) && !strings.HasPrefix(a.path, hosting.PathLookUp)
		if n := countRuns(list); once && n > 1 {
			s.t.Errorf("%s ran %d times", id, n)
		} else if n > 2 {
			s.t.Errorf("%s ran %d times, its route allows two", id, n)
		}
		if once && refusedNotRun(a.result.status) && countRuns(list) > 0 {
			s.t.Errorf("%s was told %d, but it ran", id, a.result.status)
		}
		if a.result.status == http.StatusOK && !a.result.truncated {
			checkSuccess(s.t, a, list)
		}
		s.mu.Lock()
		gone, taken := s.revoked[a.key]
		s.mu.Unlock()
		if taken && a.sent.After(gone.Add(hosting.RevokeWithin)) && countRuns(list) > 0 {
			s.t.Errorf("%s ran with a key that was taken away %v before", id, a.sent.Sub(gone))
		}
		for _, arrival := range list {
			if arrival.Header.Get("Tenant") != hosting.Owner || arrival.Header.Get("Credential") != "" {
				s.t.Errorf("%s reached %s with %v", id, arrival.Worker, arrival.Header)
			}
		}
	}
	for id := range arrivals {
		if _, ok := s.requests[id]; !ok && !strings.HasPrefix(id, "calm-") {
			s.t.Errorf("a request that nobody sent reached a worker: %s", id)
		}
	}
	if s.served == 0 {
		s.t.Error("nothing was served: the soak shows nothing")
	}
}

// checkSuccess checks that a success is one worker's whole answer.
func checkSuccess(t *testing.T, a sentRequest, list []hosting.Arrival) {
	t.Helper()
	if strings.HasPrefix(a.path, hosting.PathDraft) || strings.HasPrefix(a.path, hosting.PathBrief) {
		if a.result.body != streamBody(a.id) {
			t.Errorf("%s: the stream looks whole but is not: %d events", a.id, strings.Count(a.result.body, "\n\n"))
		}
		return
	}
	for _, arrival := range list {
		if a.result.body == hosting.Body(a.id, arrival.Worker) && a.result.header.Get("Response-Seal") == "seal-"+a.id {
			return
		}
	}
	t.Errorf("%s got %q with seal %q", a.id, a.result.body, a.result.header.Get("Response-Seal"))
}
