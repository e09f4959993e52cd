package proctest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// Something between the instances and an engine loses track of all connections:
// they stay open and swallow what the engine goes on making, while new ones work.
// A draft may not run twice. Each is stopped over a new connection and goes on
// elsewhere; its caller sees every event once and a pause of a second or two.
func TestHostedGenerationsSurviveSilentConnections(t *testing.T) {
	t.Parallel()
	const eventEvery = 60 * time.Millisecond
	w := newFixture(t)
	k, link, err := w.AddBehindRelay("behind-relay", hosting.Pool, func(k *hosting.Worker) {
		k.EventEvery, k.EventCount, k.CopyTime = eventEvery, streamEvents, 30*time.Millisecond
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	time.Sleep(500 * time.Millisecond) // the list is confirmed twice a second
	const drafts = 15
	results := make([]result, drafts)
	var wg sync.WaitGroup
	for n := range drafts {
		wg.Go(func() { results[n] = w.do(w.machines[n%len(w.machines)], generation(fmt.Sprintf("s%d", n))) })
	}
	time.Sleep(400 * time.Millisecond)
	link.Silence()
	wg.Wait()
	time.Sleep(streamEvents * eventEvery) // what was not stopped makes its last events
	arrivals, there := w.Arrivals(), 0
	for n := range drafts {
		id := fmt.Sprintf("s%d", n)
		checkComplete(t, id, results[n], arrivals[id])
		for _, a := range arrivals[id] {
			if a.Worker != k.ID {
				continue
			}
			there++
			if a.Events == streamEvents {
				t.Errorf("%s ran to its end behind the silent link, and elsewhere", id)
			}
		}
	}
	if there == 0 {
		t.Error("no draft ran behind the silent link: the test shows nothing")
	}
}

// An engine takes a brief and says nothing, and what it runs does not show it: its
// answer was lost inside. A brief may run again, so it is tried elsewhere; a draft
// may not, and its caller is told at once instead of waiting until its patience
// ends.
func TestHostedGenerationNotReportedByEngine(t *testing.T) {
	t.Parallel()
	w := newFixture(t)
	for _, k := range w.pool[1:] {
		k.Leave()
	}
	time.Sleep(300 * time.Millisecond)
	w.pool[0].SetFault(hosting.Mute)
	began := time.Now()
	done := make(chan result)
	go func() {
		c := generation("vanished")
		done <- w.do(w.machines[0], c)
	}()
	time.Sleep(300 * time.Millisecond)
	brief := generation("again")
	brief.path = hosting.PathBrief + "x"
	second := make(chan result)
	go func() { second <- w.do(w.machines[1], brief) }()
	time.Sleep(200 * time.Millisecond)
	w.addUpstream(t, "engine-new", hosting.Pool, func(k *hosting.Worker) {
		k.EventEvery, k.EventCount, k.CopyTime = 10*time.Millisecond, streamEvents, 30*time.Millisecond
	})
	if r := <-done; r.status != http.StatusBadGateway || time.Since(began) > 4*time.Second {
		t.Errorf("the draft ended with %d after %v, want %d within 4 s", r.status, time.Since(began), http.StatusBadGateway)
	}
	if r := <-second; r.status != http.StatusOK || r.body != streamBody("again") {
		t.Errorf("the brief ended with %+v", r)
	}
}
