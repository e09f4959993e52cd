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

// The soak test injects random faults into real processes. Every test run includes a short run
// with a fixed seed. To run more seeds:
//
//	go test ./internal/proctest -run Soak -soak.seed=7 -soak.seeds=50 -soak.for=10s -timeout 60m
//
// With -proctest.other=PATH, every second instance of this and all other tests runs a second
// build of the command; see upgrade_test.go.
var (
	soakSeed     = flag.Uint64("soak.seed", 1, "first seed of the soak test")
	soakSeeds    = flag.Int("soak.seeds", 1, "number of consecutive seeds")
	soakDuration = flag.Duration("soak.for", 6*time.Second, "duration of the fault injection for each seed")
	soakSize     = flag.Int("soak.instances", 3, "number of instances")
)

// soakRegressions are seeds that failed in the past, each with its cause.
var soakRegressions = []uint64{
	100,  // an instance that started after a return of the store, whose copy lacked the others' rows, used the copy's keys
	3031, // a request was sent to a second upstream, whose statement counted as the first one's
}

const (
	// soakCallers is the number of callers for each instance. Each sends one request at a time.
	soakCallers = 3
	// keptCallers is the number of callers with a keptTransport.
	keptCallers = 4
	// behindRelay is the prefix of the ids of upstreams behind relays.
	behindRelay = "behind-relay-"
	// recoveryTimeout is the maximum time from the last fault until every instance serves requests.
	recoveryTimeout = 8 * time.Second
)

// soak is the state of a soak test with one seed.
type soak struct {
	*fixture
	t    *testing.T
	rand *rand.Rand
	// loadRand draws the faults of load. It is apart from rand, so that the other faults of a seed stay
	// as they were.
	loadRand *rand.Rand
	// silenceRand draws the silences of upstreams.
	silenceRand *rand.Rand
	// storeRand draws the returns of the store from a copy, and upstreams that remove their entries, which
	// withdrawals holds.
	storeRand   *rand.Rand
	withdrawals []withdrawal
	// endlessRand draws responses without an end, of which there were endlessSpells.
	endlessRand   *rand.Rand
	endlessSpells int
	// streamRand draws the faults of streams and the restarts in series. streamsServed is the number of complete streams.
	streamRand    *rand.Rand
	streamsServed int
	// storeReturns is the number of returns.
	storeReturns int
	// silences holds the silences of each upstream, with the id of the upstream, and left when upstreams
	// announced that they leave.
	silences []disturbance
	left     map[string]time.Time
	stop     chan struct{}
	// release is the number of releases of the engines' software that have begun.
	release int
	// relays are in front of some upstreams and inject faults into the connections to them.
	relays []*relay.Relay

	// restarts waits for the instances that are being restarted. restartable holds the indexes of
	// the instances that may be restarted; it never contains the last index, so that one instance
	// is always up.
	restarts    sync.WaitGroup
	restartable chan int

	// mu guards the fields below and procs.
	mu       sync.Mutex
	requests map[string]sentRequest
	key      string
	// revoked maps each revoked key to the time of its revocation.
	revoked map[string]time.Time
	served  int
	// streams holds what callers got of streams that may be taken up, taken counts the tries to do so.
	streams []*takenStream
	taken   shares
	// disturbances holds when instances were restarted or frozen. storeFaults holds when the store had a
	// fault for an instance, or for all with the name "", and storeFaultSince when the present ones began.
	disturbances    []disturbance
	storeFaults     []disturbance
	storeFaultSince map[string]time.Time
}

// sentRequest is a request and the response that its caller received.
type sentRequest struct {
	call
	sent time.Time
	delivery
	// after is the last event that the caller had of a stream that it took up.
	after int
	// http10 is set if the response ends with its connection.
	http10 bool
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
		fixture: newFixtureWith(t, "", func(*hosting.World) {}, soakEngine), t: t, rand: rand.New(rand.NewPCG(seed, seed)), loadRand: rand.New(rand.NewPCG(seed, seed+1)),
		silenceRand: rand.New(rand.NewPCG(seed, seed+2)), storeRand: rand.New(rand.NewPCG(seed, seed+3)), endlessRand: rand.New(rand.NewPCG(seed, seed+4)), streamRand: rand.New(rand.NewPCG(seed, seed+5)), left: map[string]time.Time{}, stop: make(chan struct{}),
		requests: map[string]sentRequest{}, key: hosting.Key, revoked: map[string]time.Time{}, storeFaultSince: map[string]time.Time{},
	}
	s.addRelays()
	for len(s.machines) < *soakSize {
		s.addInstance(t, fmt.Sprintf("entry-%d", len(s.machines)))
	}
	s.waitReady(t)
	s.restartable = make(chan int, len(s.procs))
	for n := range len(s.procs) - 1 {
		s.restartable <- n
	}
	var callers sync.WaitGroup
	for k := range soakCallers * len(s.machines) {
		r := rand.New(rand.NewPCG(seed, uint64(k)+100))
		callers.Go(func() { s.sendRequests(k, r, nil) })
	}
	for k := range keptCallers {
		k := 3 * (soakCallers*len(s.machines) + k) // a caller of streams
		r := rand.New(rand.NewPCG(seed, uint64(k)+100))
		callers.Go(func() { s.sendRequests(k, r, &keptTransport{http10: k%2 == 0}) })
	}
	callers.Go(s.sendSlowRequests)
	for end := time.Now().Add(*soakDuration); time.Now().Before(end); {
		s.injectFault()
		s.changeLoad()
		s.silenceUpstreams()
		s.disturbStore()
		s.sendWithoutEnd()
		s.disturbStreams()
		time.Sleep(time.Duration(100+s.rand.IntN(500)) * time.Millisecond)
	}
	s.restarts.Wait()
	s.waitRecovered()
	close(s.stop)
	callers.Wait()
	s.check()
	s.checkMemory()
	t.Logf("seed=%d requests=%d served=%d taken_up=%+v silences=%d returns=%d withdrawals=%d endless=%d streams=%d", seed, len(s.requests), s.served, s.taken, len(s.silences), s.storeReturns, len(s.withdrawals), s.endlessSpells, s.streamsServed)
}

// addRelays adds an upstream of each service behind a relay.
func (s *soak) addRelays() {
	for _, service := range []string{hosting.Pool, hosting.Desk} {
		k, r, err := s.AddBehindRelay(behindRelay+service, service, func(k *hosting.Worker) {
			k.Work = 10 * time.Millisecond
			if service == hosting.Pool {
				soakEngine(k)
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

// disturbLink delays a relay's connections, closes them, silently drops their data in one or both
// directions, or refuses new connections.
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

// sendRequests sends requests until the run ends, through a transport of its own if kept is not nil.
func (s *soak) sendRequests(caller int, r *rand.Rand, kept *keptTransport) {
	// Half of the callers keep a connection open until it fails, even if the instance announces
	// that it drains. Look-ups use new connections, as net/http itself retries them when a
	// persistent connection breaks.
	persistent := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer persistent.CloseIdleConnections()
	newConnections := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	if kept != nil {
		defer kept.close()
	}
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
			if r.IntN(3) == 0 {
				c.leaveAfter = time.Duration(50+r.IntN(900)) * time.Millisecond
			}
		}
		s.mu.Lock()
		c.key = s.key
		if r.IntN(8) == 0 && len(s.revoked) > 0 {
			c.key = hosting.Key // a caller that still uses the first key
		}
		s.mu.Unlock()
		a := sentRequest{call: c, sent: time.Now()}
		m, transport := s.machines[at], http.RoundTripper(persistent)
		if caller%2 == 0 || caller%3 == 2 {
			m, transport = s.machines[r.IntN(len(s.machines))], newConnections
		}
		if kept != nil {
			transport, a.http10 = kept, kept.http10
		}
		a.instance, a.result = m.Name, s.doOn(transport, m, c)
		a.at = time.Now()
		if a.result.err != nil {
			at = r.IntN(len(s.machines))
		}
		s.mu.Lock()
		s.requests[id] = a
		if a.result.status == http.StatusOK && !a.result.truncated {
			s.served++
		}
		s.mu.Unlock()
		if strings.HasPrefix(a.path, hosting.PathBrief) {
			s.takeUp(a, r)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// injectFault injects one random fault, or ends the current faults.
func (s *soak) injectFault() {
	n := s.rand.IntN(len(s.procs))
	upstream := append(append([]*hosting.Worker(nil), s.pool...), s.desk...)[s.rand.IntN(len(s.pool)+len(s.desk))]
	switch s.rand.IntN(22) {
	case 0:
		s.restart(syscall.SIGKILL)
	case 1:
		s.restart(syscall.SIGTERM)
	case 2:
		s.freeze(n)
	case 3:
		s.failStore([]hosting.Mode{hosting.Busy, hosting.Silent, hosting.Lost}[s.rand.IntN(3)])
	case 4:
		s.Table.SetFor(s.machines[n].Name, []hosting.Mode{hosting.Busy, hosting.Silent}[s.rand.IntN(2)])
		s.beginStoreFault(s.machines[n].Name)
	case 5, 6:
		s.clearFaults()
	case 7:
		s.Table.Forget()
		s.storeFaults = append(s.storeFaults, disturbance{from: time.Now(), to: time.Now()})
	case 8:
		faults := []hosting.Fault{
			hosting.Full, hosting.Fails, hosting.LostAnswer, hosting.Mute, hosting.Cuts,
			hosting.Unsigned, hosting.FalsePromise, hosting.Extra, hosting.Unframed,
		}
		upstream.SetFault(faults[s.rand.IntN(len(faults))])
	case 9:
		s.replaceEngine()
	case 10:
		s.rotateKey()
	case 12, 13:
		s.disturbLink()
	case 14, 15, 16:
		s.changeLimit()
	case 18:
		s.replaceDesk()
	case 19, 20:
		upstream.Shed(time.Duration(200+s.rand.IntN(4000)) * time.Millisecond)
	case 21: // an upstream states all that it can, while the store is silent
		s.failStore(hosting.Silent)
		upstream.Shed(time.Duration(200+s.rand.IntN(2000)) * time.Millisecond)
		s.changeLimit()
		s.replaceDesk()
	case 17:
		for _, w := range s.limitable() {
			if w.Service == upstream.Service {
				s.limit(w)
			}
		}
	case 11:
		if err := s.process(n).signal(syscall.SIGHUP); err != nil {
			s.t.Error(err)
		}
	}
}

// changeLoad makes an upstream slow at times, which it states, or ends that.
func (s *soak) changeLoad() {
	all := append(append([]*hosting.Worker(nil), s.pool...), s.desk...)
	switch w := all[s.loadRand.IntN(len(all))]; s.loadRand.IntN(8) {
	case 0, 1:
		w.SetSpells(hosting.Spells{
			Factor: 1 + 4*s.loadRand.Float64(), Every: time.Duration(200+s.loadRand.IntN(1000)) * time.Millisecond,
			Share: s.loadRand.Float64(), Since: time.Now(),
		})
	case 2:
		w.SetSpells(hosting.Spells{})
	}
}

// changeLimit makes an upstream state a rate limit, another one, or none any more.
func (s *soak) changeLimit() {
	list := s.limitable()
	w := list[s.rand.IntN(len(list))]
	if s.rand.IntN(3) == 0 {
		w.SetLimit(0)
		return
	}
	s.limit(w)
}

// limit makes an upstream state a limit of at least a third of what it received in the last second.
// After a stated limit the next one is half to twice as high.
func (s *soak) limit(w *hosting.Worker) {
	limits := w.Limits()
	if n := len(limits); n > 0 && limits[n-1].PerSecond > 0 {
		w.SetLimit(limits[n-1].PerSecond * (0.5 + 1.5*s.rand.Float64()))
		return
	}
	recent := 0
	for _, a := range w.Arrivals() {
		if time.Since(a.At) < time.Second {
			recent++
		}
	}
	w.SetLimit(max(float64(recent)*(0.35+0.65*s.rand.Float64()), 1))
}

// disturb records that an instance is disturbed from a time until now.
func (s *soak) disturb(n int, from time.Time, planned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, disturbance{instance: s.machines[n].Name, from: from, to: time.Now(), planned: planned})
}

// restart ends an instance with a signal and starts it again. Other instances may be restarting at
// the same time, but one always stays up.
func (s *soak) restart(sig syscall.Signal) {
	var n int
	select {
	case n = <-s.restartable:
	default:
		return // all but one are restarting
	}
	p, from := s.process(n), time.Now()
	if err := p.signal(sig); err != nil {
		s.t.Error(err)
	}
	s.restarts.Go(func() {
		defer s.disturb(n, from, sig == syscall.SIGTERM)
		select {
		case <-p.ended:
		case <-time.After(10 * time.Second):
			s.t.Errorf("%s did not exit within 10 s of %v", p.name, sig)
			p.kill()
		}
		restarted := s.startInstance(s.t, s.machines[n])
		s.mu.Lock()
		s.procs[n] = restarted
		s.mu.Unlock()
		s.restartable <- n
	})
}

func (s *soak) process(n int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[n]
}

// freeze stops an instance for 0.2 to 1.5 s.
func (s *soak) freeze(n int) {
	p := s.process(n)
	defer s.disturb(n, time.Now(), false)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		s.t.Error(err)
	}
	time.Sleep(time.Duration(200+s.rand.IntN(1300)) * time.Millisecond)
	if err := p.signal(syscall.SIGCONT); err != nil {
		s.t.Error(err)
	}
}

// rotateKey revokes the current key and configures another one.
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

// failStore makes the store fail for all instances that have no fault of their own.
func (s *soak) failStore(m hosting.Mode) {
	s.Table.Set(m)
	s.beginStoreFault("")
}

// beginStoreFault records that the store begins to fail for an instance, or for all with the name "".
func (s *soak) beginStoreFault(instance string) {
	if _, failing := s.storeFaultSince[instance]; !failing {
		s.storeFaultSince[instance] = time.Now()
	}
}

// endStoreFaults records that the store responds to all instances.
func (s *soak) endStoreFaults() {
	for instance, from := range s.storeFaultSince {
		s.storeFaults = append(s.storeFaults, disturbance{instance: instance, from: from, to: time.Now()})
	}
	clear(s.storeFaultSince)
}

// inTouch reports whether an instance was not disturbed, and reached the store, for some time before a
// moment, so that every configuration must be in force there in time.
func (s *soak) inTouch(instance string, at time.Time) bool {
	return !excuses(s.disturbances, instance, at, at) && !excuses(s.storeFaults, instance, at, at) && !excuses(s.storeFaults, "", at, at)
}

// clearFaults ends the lasting faults of the store, the relays and the upstreams.
func (s *soak) clearFaults() {
	s.Table.Set(hosting.Well)
	for _, r := range s.relays {
		r.Delay(0)
		r.SetDown(false)
	}
	for _, m := range s.machines {
		s.Table.SetFor(m.Name, hosting.Well)
	}
	s.endStoreFaults()
	for _, w := range append(append([]*hosting.Worker(nil), s.pool...), s.desk...) {
		w.SetFault(hosting.None)
		w.Shed(0)
		w.SetSpells(hosting.Spells{})
		if s.rand.IntN(2) == 0 {
			w.SetLimit(0)
		}
	}
}

// waitRecovered clears all faults and waits until each instance serves a request.
func (s *soak) waitRecovered() {
	s.clearFaults()
	for _, w := range s.limitable() {
		w.SetLimit(0)
	}
	started := time.Now()
	for k, m := range s.machines {
		testkit.Eventually(s.t, recoveryTimeout, m.Name+" serves again", func() bool {
			c := booking(fmt.Sprintf("recovered-%d-%d", k, time.Since(started)))
			c.key = s.key
			return s.do(m, c).status == http.StatusOK
		})
	}
}

// check compares the responses that callers received with the arrivals at the upstreams.
func (s *soak) check() {
	arrivals := s.Arrivals()
	for id, a := range s.requests {
		list := arrivals[id]
		checkOrder(s.t, a)
		once := !strings.HasPrefix(a.path, hosting.PathBrief) && !strings.HasPrefix(a.path, hosting.PathLookUp)
		if n := countRuns(list); once && n > 1 {
			s.t.Errorf("%s ran %d times, want at most once", id, n)
		} else if n > 2 {
			s.t.Errorf("%s ran %d times, want at most twice", id, n)
		}
		if once && refusedNotRun(a.result.status) && countRuns(list) > 0 {
			s.t.Errorf("%s: status %d, which means not run, but the request ran; want no run", id, a.result.status)
		}
		if a.result.status == http.StatusOK && !a.result.truncated {
			checkSuccess(s.t, a, list)
			if a.isStream() {
				s.streamsServed++
			}
		}
		s.checkNotEnded(a, list, once)
		s.mu.Lock()
		revokedAt, revoked := s.revoked[a.key]
		s.mu.Unlock()
		if revoked && a.sent.After(revokedAt.Add(hosting.RevokeWithin)) && countRuns(list) > 0 {
			s.t.Errorf("%s ran with a key that had been revoked %v before it was sent, want a refusal", id, a.sent.Sub(revokedAt))
		}
		if revoked && a.sent.After(revokedAt.Add(hosting.ApplyWithin)) && countRuns(list) > 0 && s.inTouch(a.instance, a.sent) {
			s.t.Errorf("%s ran at %s, which was in touch, with a key that had been revoked %v before it was sent, want a refusal", id, a.instance, a.sent.Sub(revokedAt))
		}
		for _, arrival := range list {
			if arrival.Header.Get("Tenant") != hosting.Owner || arrival.Header.Get("Credential") != "" {
				s.t.Errorf("%s reached %s with headers %v, want the organisation and no key", id, arrival.Worker, arrival.Header)
			}
		}
	}
	for id := range arrivals {
		if _, ok := s.requests[id]; !ok && !strings.HasPrefix(id, "recovered-") {
			s.t.Errorf("request %s reached an upstream, but no caller sent it; want only requests that callers sent", id)
		}
	}
	s.checkStatements()
	s.checkWithdrawals()
	for _, stream := range s.streams {
		if *otherBuild == "" && (len(stream.software) > 1 || stream.gap) {
			s.t.Errorf("%s has events of the versions %v, gap %v", stream.id, stream.software, stream.gap)
		}
	}
	if s.served == 0 {
		s.t.Error("no request was served, want at least one: otherwise the test checks nothing")
	}
}

// checkStatements checks that what upstreams stated in responses was obeyed: rate limits, leaving and
// pauses.
func (s *soak) checkStatements() {
	deliveries, sentAt := map[string]delivery{}, map[string]time.Time{}
	for id, a := range s.requests {
		deliveries[id], sentAt[id] = a.delivery, a.sent
	}
	for _, w := range s.Workers() {
		for _, problem := range []string{
			checkRateLimit(w, deliveries, s.arrivingLate(w), time.Now()),
			checkDrain(w, deliveries, sentAt, s.disturbances),
			checkPauses(w, deliveries, s.arrivingLate(w)),
		} {
			if problem != "" {
				s.t.Error(problem)
			}
		}
	}
}

// checkSuccess checks that a successful response is the complete response of one upstream.
func checkSuccess(t *testing.T, a sentRequest, list []hosting.Arrival) {
	t.Helper()
	if strings.HasPrefix(a.path, hosting.PathDraft) || strings.HasPrefix(a.path, hosting.PathBrief) {
		if unmarked(a.result.body) != streamBodyAfter(a.id, a.after) {
			t.Errorf("%s: the stream ended without an error after %d events, want all events", a.id, strings.Count(a.result.body, "\n\n"))
		}
		return
	}
	for _, arrival := range list {
		if a.result.body == hosting.Body(a.id, arrival.Worker) && a.result.header.Get("Response-Seal") == "seal-"+a.id {
			return
		}
	}
	t.Errorf("%s: body %q with seal %q, want the body and the seal of an upstream that the request reached", a.id, a.result.body, a.result.header.Get("Response-Seal"))
}
