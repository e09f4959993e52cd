package proctest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// steadyLoad sends requests to the instances in turn at a fixed rate, and records the responses.
type steadyLoad struct {
	*fixture
	interval time.Duration
	// request returns the n-th request.
	request func(id string, n int) call

	mu         sync.Mutex
	deliveries map[string]delivery
	sentAt     map[string]time.Time
	open       sync.WaitGroup
}

func newSteadyLoad(f *fixture, perSecond int, request func(id string, n int) call) *steadyLoad {
	return &steadyLoad{
		fixture: f, interval: time.Second / time.Duration(perSecond), request: request,
		deliveries: map[string]delivery{}, sentAt: map[string]time.Time{},
	}
}

// plainRequest returns a request to the plain service: two of three are bookings, one is a look-up.
func plainRequest(id string, n int) call {
	if n%3 == 2 {
		return lookUp(id)
	}
	return booking(id)
}

// briefRequest returns a request for a generation that may be resumed.
func briefRequest(id string, _ int) call {
	c := generation(id)
	c.path, c.timeout = hosting.PathBrief+"x", 6*time.Second
	return c
}

// run sends requests for a duration.
func (l *steadyLoad) run(d time.Duration) {
	t := time.NewTicker(l.interval)
	defer t.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-t.C {
		l.mu.Lock()
		n := len(l.sentAt)
		id := fmt.Sprintf("load-%d", n)
		l.sentAt[id] = time.Now()
		l.mu.Unlock()
		m := l.machines[n%len(l.machines)]
		c := l.request(id, n)
		l.open.Go(func() { l.send(m, c) })
	}
}

func (l *steadyLoad) send(m hosting.Machine, c call) {
	r := l.do(m, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliveries[c.id] = delivery{instance: m.Name, at: time.Now(), result: r}
}

// servedSince returns the fraction of the requests sent since a time that were served.
func (l *steadyLoad) servedSince(since time.Time) float64 {
	sent, served := 0, 0
	for id, at := range l.sentAt {
		if at.Before(since) {
			continue
		}
		sent++
		if l.deliveries[id].result.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// checkLimits checks that no upstream received more than its limit allows.
func (l *steadyLoad) checkLimits(t *testing.T, upstreams []*hosting.Worker) {
	t.Helper()
	for _, w := range upstreams {
		if problem := checkRateLimit(w, l.deliveries, nil, time.Now()); problem != "" {
			t.Error(problem)
		}
	}
}

// Upstreams that state a rate limit must not receive more than it allows from all instances
// together, while another upstream has room for the rest.
func TestHostedRateLimitHoldsForAllInstancesTogether(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	l := newSteadyLoad(f, 45, plainRequest)
	l.run(2 * time.Second)
	limitedAt := time.Now()
	f.desk[0].SetLimit(4.3)
	f.desk[1].SetLimit(4.6)
	l.run(7 * time.Second)
	l.open.Wait()
	l.checkLimits(t, f.desk[:2])
	if served := l.servedSince(limitedAt); served < 0.95 {
		t.Errorf("%.0f%% of the requests were served, want at least 95%%: the third upstream has room for them", 100*served)
	}
}

// Engines that state a rate limit must keep it although generations are granted by their pool's home,
// retried and queued there. What they accept is used, and the rest is refused with a time to return.
func TestHostedRateLimitOfEngines(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	l := newSteadyLoad(f, 12, briefRequest)
	l.run(2 * time.Second)
	limitedAt := time.Now()
	for _, w := range f.pool {
		w.SetLimit(1.5)
	}
	l.run(9 * time.Second)
	l.open.Wait()
	l.checkLimits(t, f.pool)
	if served := l.servedSince(limitedAt); served < 0.25 {
		t.Errorf("%.0f%% of the requests were served, want at least 25%%: the limits allow half of them", 100*served)
	}
	for id, d := range l.deliveries {
		switch {
		case d.result.status == http.StatusOK && d.result.body != streamBody(id):
			t.Errorf("%s: status 200 with an incomplete stream", id)
		case d.result.status == http.StatusServiceUnavailable && d.result.header.Get("Retry-After") == "":
			t.Errorf("%s: refused without a Retry-After", id)
		}
	}
}

// While all upstreams of a service state limits, the rest of the requests is refused within the time
// in which they could have been served, and limits that end are forgotten.
func TestHostedRequestsBeyondAllLimitsAreRefused(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	l := newSteadyLoad(f, 45, plainRequest)
	l.run(time.Second)
	for _, w := range f.desk {
		w.SetLimit(5)
	}
	l.run(8 * time.Second)
	l.open.Wait()
	l.checkLimits(t, f.desk)
	refused, waits := 0, map[string]int{}
	for id, d := range l.deliveries {
		if d.result.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		waits[d.result.header.Get("Retry-After")]++
		if took := d.at.Sub(l.sentAt[id]); took > 700*time.Millisecond {
			t.Errorf("%s was refused after %v, want about its target of 300 ms at most", id, took)
		}
	}
	if refused == 0 || len(waits) < refused/3 {
		t.Errorf("%d requests were refused with %d different times to return, want them spread", refused, len(waits))
	}
	for _, w := range f.desk {
		w.SetLimit(0)
	}
	l.run(time.Second)
	freeAt := time.Now()
	l.run(2 * time.Second)
	l.open.Wait()
	if served := l.servedSince(freeAt); served < 0.95 {
		t.Errorf("%.0f%% of the requests were served a second after the limits ended, want nearly all", 100*served)
	}
}
