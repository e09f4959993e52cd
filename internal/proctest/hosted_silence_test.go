package proctest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// A device between the instances and an engine loses its connection table: open connections stay
// open but deliver no further events of the engine, while new connections work. A generation may
// not run twice, so each generation is stopped over a new connection and moved. Its caller must
// receive every event once, after a pause of a second or two.
func TestHostedGenerationsSurviveSilentConnections(t *testing.T) {
	t.Parallel()
	surviveSilentConnections(t, func(*hosting.Worker) {})
}

// The engine behind the silent connections stops a generation as ordered, but its response is lost. The
// generation must continue from a copy that was made before.
func TestHostedSilentConnectionsAndALostResponseToTheStop(t *testing.T) {
	t.Parallel()
	surviveSilentConnections(t, func(k *hosting.Worker) { k.SetFault(hosting.LostMove) })
}

// The copy that stops a generation waits for others for longer than its entry asks for it, and further calls are turned
// away meanwhile. The generation must go on from the copy that was made before.
func TestHostedSilentConnectionsAndASlowStop(t *testing.T) {
	t.Parallel()
	surviveSilentConnections(t, func(k *hosting.Worker) { k.StopTime = 5 * time.Second })
}

// The engine turns the calls that stop a generation away and goes on. That confirms no stop: the generation must go on
// from its copy only after its end there is known.
func TestHostedSilentConnectionsAndARefusedStop(t *testing.T) {
	t.Parallel()
	surviveSilentConnections(t, func(k *hosting.Worker) { k.RefusesStop = true })
}

// surviveSilentConnections silences the connections of an engine, and checks that all generations are complete.
func surviveSilentConnections(t *testing.T, change func(*hosting.Worker)) {
	t.Helper()
	const eventInterval = 60 * time.Millisecond
	f := newFixture(t)
	k, link, err := f.AddBehindRelay("behind-relay", hosting.Pool, func(k *hosting.Worker) {
		k.EventEvery, k.EventCount, k.CopyTime = eventInterval, streamEvents, 30*time.Millisecond
		change(k)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	time.Sleep(500 * time.Millisecond) // instances confirm the list of upstreams twice a second
	const generations = 15
	results := make([]result, generations)
	var wg sync.WaitGroup
	for n := range generations {
		wg.Go(func() { results[n] = f.do(f.machines[n%len(f.machines)], generation(fmt.Sprintf("s%d", n))) })
	}
	time.Sleep(400 * time.Millisecond)
	link.Silence()
	wg.Wait()
	time.Sleep(streamEvents * eventInterval) // generations that were not stopped produce their last events
	arrivals, behindLink := f.Arrivals(), 0
	for n := range generations {
		id := fmt.Sprintf("s%d", n)
		checkComplete(t, id, results[n], arrivals[id])
		for _, a := range arrivals[id] {
			if a.Worker != k.ID {
				continue
			}
			behindLink++
			if a.Events == streamEvents && !k.RefusesStop {
				t.Errorf("%s ran to its end on the engine behind the silent link as well, want it stopped there", id)
			}
		}
	}
	if behindLink == 0 {
		t.Error("no generation ran on the engine behind the silent link, want at least one: otherwise the test checks nothing")
	}
}

// An engine accepts requests but neither responds to them nor reports them as running: the responses
// are lost inside the engine. A repeatable request is retried on another engine. A generation that is
// not repeatable may not run twice, and its caller must get an error promptly instead of waiting for
// the request's timeout.
func TestHostedGenerationNotReportedByEngine(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, k := range f.pool[1:] {
		k.Leave()
	}
	time.Sleep(300 * time.Millisecond)
	f.pool[0].SetFault(hosting.Mute)
	started := time.Now()
	done := make(chan result)
	go func() {
		c := generation("vanished")
		done <- f.do(f.machines[0], c)
	}()
	time.Sleep(300 * time.Millisecond)
	retried := generation("again")
	retried.path = hosting.PathBrief + "x"
	second := make(chan result)
	go func() { second <- f.do(f.machines[1], retried) }()
	time.Sleep(200 * time.Millisecond)
	f.addUpstream(t, "engine-new", hosting.Pool, func(k *hosting.Worker) {
		k.EventEvery, k.EventCount, k.CopyTime = 10*time.Millisecond, streamEvents, 30*time.Millisecond
	})
	if r := <-done; r.status != http.StatusBadGateway || time.Since(started) > 4*time.Second {
		t.Errorf("the generation ended with status %d after %v, want %d within 4 s", r.status, time.Since(started), http.StatusBadGateway)
	}
	if r := <-second; r.status != http.StatusOK || r.body != streamBody("again") {
		t.Errorf("the repeatable request ended with %+v, want a complete stream", r)
	}
}
