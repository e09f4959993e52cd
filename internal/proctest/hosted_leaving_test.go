package proctest

import (
	"net/http"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// allowWithoutKeys makes all routes public, and waits until every instance accepts requests without a
// key: while the store is silent, instances accept no keys.
func (f *fixture) allowWithoutKeys(t *testing.T) {
	t.Helper()
	f.Configure(func(c map[string]any) {
		for _, r := range c["routes"].([]map[string]any) {
			r["public"] = true
		}
	})
	for _, m := range f.machines {
		testkit.Eventually(t, waitTimeout, m.Name+" accepts requests without a key", func() bool {
			c := lookUp("without-key-" + m.Name)
			c.key = ""
			return f.do(m, c).status == http.StatusOK
		})
	}
}

// An upstream leaves while the store, which lists that, is silent. Once an instance has forwarded a
// response that says so, callers' requests to that instance must go elsewhere.
func TestHostedLeavingUpstreamGetsNothingWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.allowWithoutKeys(t)
	l := newSteadyLoad(f, 45, plainRequest)
	l.run(time.Second)
	f.Table.Set(hosting.Silent)
	leftAt := time.Now()
	f.desk[0].Leave()
	l.run(5 * time.Second)
	l.open.Wait()
	if problem := checkDrain(f.desk[0], l.deliveries, l.sentAt, nil); problem != "" {
		t.Error(problem)
	}
	if served := l.servedSince(leftAt); served < 0.95 {
		t.Errorf("%.0f%% of the requests were served, want at least 95%%: two upstreams stay", 100*served)
	}
}

// An engine leaves while the store is silent, and stops soon after. Its generations must be moved
// away in time, and it must get no new ones, although they are granted by a home.
func TestHostedLeavingEngineIsEmptiedWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.allowWithoutKeys(t)
	l := newSteadyLoad(f, 10, func(id string, _ int) call { return generation(id) })
	l.run(1500 * time.Millisecond)
	f.Table.Set(hosting.Silent)
	l.run(time.Second)
	f.pool[0].Leave()
	l.run(2500 * time.Millisecond)
	f.pool[0].Crash()
	l.run(time.Second)
	l.open.Wait()
	if problem := checkDrain(f.pool[0], l.deliveries, l.sentAt, nil); problem != "" {
		t.Error(problem)
	}
	arrivals := f.Arrivals()
	for id, d := range l.deliveries {
		checkComplete(t, id, d.result, arrivals[id])
	}
}
