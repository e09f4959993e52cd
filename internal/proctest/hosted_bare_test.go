package proctest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// startBareGenerations does the same as startGenerations on engines whose streams end with their connections.
func startBareGenerations(t *testing.T, n int) *moveFixture {
	t.Helper()
	return startGenerationsOn(t, n, func(w *hosting.Worker) { w.SetBareStreams(true) })
}

// The streams of two engines that leave are moved. Without a length or chunks, a stream that its engine has stopped
// for the move ends like a complete one, and must not end so for its caller.
func TestHostedStreamsWithoutALengthGoOnAfterAMove(t *testing.T) {
	t.Parallel()
	m := startBareGenerations(t, 12)
	for _, k := range m.pool[:2] {
		k.Leave()
	}
	if complete := m.check(t); complete != 12 {
		t.Errorf("%d of 12 generations are complete, want all", complete)
	}
}

// Two engines crash in the middle of streams without a length or chunks, and the kernel closes the connections in
// order. The streams must not look complete; those that may be resumed must go on.
func TestHostedStreamsWithoutALengthOfACrashedEngine(t *testing.T) {
	t.Parallel()
	m := startBareGenerations(t, 12)
	resumable := make([]result, 12)
	for k := range resumable {
		m.wg.Go(func() {
			c := generation(fmt.Sprintf("resumable%d", k))
			c.path = hosting.PathBrief + "x"
			resumable[k] = m.do(m.machines[k%len(m.machines)], c)
		})
	}
	time.Sleep(500 * time.Millisecond)
	for _, k := range m.pool[:2] {
		k.Crash()
	}
	m.check(t)
	for k, r := range resumable {
		if id := fmt.Sprintf("resumable%d", k); r.truncated || r.body != streamBody(id) {
			t.Errorf("%s: status %d, truncated %v, %d events; want a complete stream", id, r.status, r.truncated, strings.Count(r.body, "\n\n"))
		}
	}
}

// An upstream of a plain service crashes in the middle of an answer without a length, and the kernel closes the
// connection in order. The answer must not look complete.
func TestHostedAnswersWithoutALengthOfACrashedUpstream(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]call{"booking": booking("cut"), "look-up": lookUp("cut")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for _, k := range f.desk {
				k.SetFault(hosting.CrashInAnswer)
			}
			r := f.do(f.machines[0], c)
			if r.status == http.StatusOK && !r.truncated {
				t.Errorf("a complete response with body %q, of which each upstream has sent half; want none", r.body)
			}
			if len(f.Arrivals()[c.id]) == 0 {
				t.Error("no upstream got the request; the test checks nothing")
			}
		})
	}
}

// returnInPause sends a request to an instance and pauses that. Meanwhile the upstream that has got the request ends
// and starts again at its address. It returns the response.
func (f *fixture) returnInPause(t *testing.T, c call, upstreams []*hosting.Worker) (r result) {
	t.Helper()
	var reached *hosting.Worker
	var wg sync.WaitGroup
	wg.Go(func() { r = f.do(f.machines[0], c) })
	testkit.Eventually(t, waitTimeout, "an upstream has got the request", func() bool {
		for _, k := range upstreams {
			if len(k.Arrivals()) > 0 {
				reached = k
			}
		}
		return reached != nil
	})
	time.Sleep(100 * time.Millisecond)
	if err := f.procs[0].signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	reached.Crash()
	_, err := f.Restart(reached, func(k *hosting.Worker) {
		k.Work, k.EventCount, k.EventEvery = reached.Work, reached.EventCount, reached.EventEvery
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.procs[0].signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	return r
}

// An upstream of a plain service crashes in the middle of an answer without a length and starts again at its address,
// while the instance is paused. The upstream that accepts connections is another process, and the answer must not look
// complete.
func TestHostedAnswersWithoutALengthOfAnUpstreamThatReturns(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, k := range f.desk {
		k.Work = 300 * time.Millisecond
		k.SetFault(hosting.CrashInAnswer)
	}
	if r := f.returnInPause(t, booking("cut"), f.desk); r.status == http.StatusOK && !r.truncated {
		t.Errorf("a complete response with body %q, of which the upstream has sent half; want none", r.body)
	}
}

// The same for a stream of an engine that states a low rate limit, so that it may not be asked for a report.
func TestHostedStreamsWithoutALengthOfALimitedEngineThatReturns(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, k := range f.pool {
		k.SetBareStreams(true)
		k.SetLimit(0.2)
	}
	if r := f.returnInPause(t, generation("cut"), f.pool); r.status == http.StatusOK && !r.truncated {
		t.Errorf("a complete response with %d of %d events, want none", strings.Count(r.body, "\n\n"), streamEvents)
	}
}
