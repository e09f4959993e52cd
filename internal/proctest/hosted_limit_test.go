package proctest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// steadyLoad sends plain requests to the instances in turn at a fixed rate, and records the responses.
type steadyLoad struct {
	*fixture
	interval time.Duration

	mu         sync.Mutex
	deliveries map[string]delivery
	sentAt     map[string]time.Time
	open       sync.WaitGroup
}

func newSteadyLoad(f *fixture, perSecond int) *steadyLoad {
	return &steadyLoad{fixture: f, interval: time.Second / time.Duration(perSecond), deliveries: map[string]delivery{}, sentAt: map[string]time.Time{}}
}

// run sends requests for a duration. Two of three are bookings, one is a look-up.
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
		c := booking(id)
		if n%3 == 2 {
			c = lookUp(id)
		}
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

// Upstreams that state a rate limit must not receive more than it allows from all instances
// together, while another upstream has room for the rest.
func TestHostedRateLimitHoldsForAllInstancesTogether(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	l := newSteadyLoad(f, 45)
	l.run(2 * time.Second)
	limitedAt := time.Now()
	f.desk[0].SetLimit(4.3)
	f.desk[1].SetLimit(4.6)
	l.run(7 * time.Second)
	l.open.Wait()
	for _, w := range f.desk[:2] {
		if problem := checkRateLimit(w, l.deliveries, nil, time.Now()); problem != "" {
			t.Error(problem)
		}
	}
	if served := l.servedSince(limitedAt); served < 0.95 {
		t.Errorf("%.0f%% of the requests were served, want at least 95%%: the third upstream has room for them", 100*served)
	}
}
