package proctest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// slowEventInterval is the time between events in the tests of moves. A generation then takes about
// 2.5 s and is still running when the test injects a fault.
const slowEventInterval = 60 * time.Millisecond

// moveFixture is a fixture with running generations.
type moveFixture struct {
	*fixture
	results []result
	wg      sync.WaitGroup
}

// startGenerations starts n generations, spread over all instances, and waits until they run.
func startGenerations(t *testing.T, n int) *moveFixture {
	t.Helper()
	return startGenerationsOn(t, n, func(*hosting.Worker) {})
}

// startGenerationsOn does the same on engines that are changed before their start.
func startGenerationsOn(t *testing.T, n int, engine func(*hosting.Worker)) *moveFixture {
	t.Helper()
	m := &moveFixture{fixture: newFixtureWith(t, "", func(*hosting.World) {}, engine), results: make([]result, n)}
	for _, k := range m.pool {
		k.EventEvery = slowEventInterval
	}
	for k := range n {
		m.wg.Go(func() { m.results[k] = m.do(m.machines[k%len(m.machines)], generation(m.id(k))) })
	}
	time.Sleep(500 * time.Millisecond)
	return m
}

func (m *moveFixture) id(k int) string { return fmt.Sprintf("m%d", k) }

// homeIndex returns the index of the instance that is the pool's home.
func (m *moveFixture) homeIndex(t *testing.T) int {
	t.Helper()
	for k, p := range m.procs {
		if strings.Contains(p.output(), "event=home_began") {
			return k
		}
	}
	t.Fatal("no instance has logged that it is the pool's home, want one")
	return 0
}

// check waits for all generations. Each must have been started once, and its caller must have
// received every event once and in order, to the end or to a truncation that the caller can detect.
// It returns the number of complete generations.
func (m *moveFixture) check(t *testing.T) (complete int) {
	t.Helper()
	m.wg.Wait()
	time.Sleep(streamEvents * slowEventInterval) // generations that were not stopped produce their last events
	arrivals := m.Arrivals()
	for k, r := range m.results {
		id := m.id(k)
		if n := countRuns(arrivals[id]); n != 1 {
			t.Errorf("%s was started %d times, want once", id, n)
		}
		if !strings.HasPrefix(streamBody(id), r.body) {
			t.Errorf("%s: received %q, want the beginning of the stream without gaps or duplicates", id, r.body)
		}
		produced := 0
		for _, a := range arrivals[id] {
			produced += a.Events
		}
		if produced > streamEvents+maxRepeatedEvents {
			t.Errorf("%s: engines produced %d events for a stream of %d, so the generation ran on two engines at once; want it on one engine at a time", id, produced, streamEvents)
		}
		switch {
		case r.status == http.StatusOK && !r.truncated && r.body == streamBody(id):
			complete++
		case r.status == http.StatusOK && !r.truncated:
			t.Errorf("%s: the response ended without an error before the last event, want all events or a truncated response", id)
		}
	}
	return complete
}

// maxRepeatedEvents is the maximum number of events that two engines both produce: the events that
// the source had produced and the entry had not received when the connection ended.
const maxRepeatedEvents = 2

// An engine announces that it leaves, and the home is paused for longer than the notice while it
// orders moves. Another instance becomes home, receives from the entries the generations that run on
// that engine, and moves them. When the first home resumes, both homes send orders. No generation may
// run twice, and most must be complete.
func TestHostedHomePausedDuringMove(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	home := m.homeIndex(t)
	m.pool[0].Leave()
	time.Sleep(20 * time.Millisecond)
	if err := m.procs[home].signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(1800*time.Millisecond, func() {
		if err := m.procs[home].signal(syscall.SIGCONT); err != nil {
			t.Error(err)
		}
	})
	if complete := m.check(t); complete < 9 {
		t.Errorf("%d of 12 generations are complete, want at least 9", complete)
	}
}

// Two engines announce that they leave just as the store fails, and crash 1.5 s later. The list of
// upstreams is late or missing, so the home queries the engines. Every generation must be complete
// in each kind of outage.
func TestHostedUpstreamsLeaveDuringStoreOutage(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*hosting.Table){
		"no response":    func(t *hosting.Table) { t.Set(hosting.Silent) },
		"refusing":       func(t *hosting.Table) { t.Set(hosting.Busy) },
		"slow":           func(t *hosting.Table) { t.Set(hosting.Slow) },
		"responses lost": func(t *hosting.Table) { t.Set(hosting.Lost) },
		"history lost":   func(t *hosting.Table) { t.Forget() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startGenerations(t, 12)
			fail(m.Table)
			for _, k := range m.pool[:2] {
				k.Leave()
				time.AfterFunc(1500*time.Millisecond, k.Crash)
			}
			if complete := m.check(t); complete != 12 {
				t.Errorf("%d of 12 generations are complete, want all", complete)
			}
		})
	}
}

// Engines announce that they leave but stay, as in a cancelled scale-in. Their generations are moved
// or end on these engines, and none may be broken off.
func TestHostedEnginesAnnounceLeavingButStay(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	for _, k := range m.pool[:2] {
		k.Leave()
	}
	if complete := m.check(t); complete != 12 {
		t.Errorf("%d of 12 generations are complete, want all", complete)
	}
}

// The home drains, and half a second later two engines announce that they leave. The successor has
// been informed of the running generations and must move all of them. Generations whose entry is the
// draining instance end on the engines where they run.
func TestHostedHomeDrainsBeforeUpstreamsLeave(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	if err := m.procs[m.homeIndex(t)].signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	for _, k := range m.pool[:2] {
		k.Leave()
		time.AfterFunc(900*time.Millisecond, k.Crash)
	}
	if complete := m.check(t); complete != 12 {
		t.Errorf("%d of 12 generations are complete, want all", complete)
	}
}

// The home is killed after it has ordered moves. The entries must complete the moves that have begun,
// and its successor must move the rest. Only generations whose entry was the home may be lost.
func TestHostedHomeKilledDuringMove(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	home := m.homeIndex(t)
	m.pool[0].Leave()
	time.Sleep(40 * time.Millisecond)
	m.procs[home].kill()
	time.AfterFunc(1900*time.Millisecond, m.pool[0].Crash)
	if complete := m.check(t); complete < 7 {
		t.Errorf("%d of 12 generations are complete, want at least 7; the home was the entry of 4", complete)
	}
}

// An entry is paused during a move: the generation has been copied and perhaps stopped, and its caller
// receives nothing for a while. When the entry resumes, the engine has crashed. Copied generations
// must continue, the streams of the others end truncated, and none may run twice.
func TestHostedEntryPausedDuringMove(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	entry := (m.homeIndex(t) + 1) % len(m.procs)
	m.pool[0].Leave()
	time.Sleep(50 * time.Millisecond)
	time.AfterFunc(900*time.Millisecond, m.pool[0].Crash)
	m.procs[entry].freeze(t, 1200*time.Millisecond)
	if complete := m.check(t); complete < 8 {
		t.Errorf("%d of 12 generations are complete, want at least 8; the paused instance was the entry of 4", complete)
	}
}

// An engine leaves, and one of the destinations drops the copies that it receives and crashes before
// they are used. The source has stopped the generations and kept their memory, so each generation
// must continue at the source or be moved again.
func TestHostedDestinationCrashesDuringMove(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 8)
	m.pool[1].SetFault(hosting.NoCopies)
	m.pool[0].Leave()
	time.Sleep(40 * time.Millisecond)
	m.pool[1].Crash()
	m.pool[1].Vanish()
	m.check(t)
}

// Copies expire at their destinations before they are used. The destination responds that it has not
// run the request, and the generation must continue at its source, which keeps the memory of stopped
// generations.
func TestHostedCopiesExpire(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	for _, k := range m.pool[1:] {
		k.SetFault(hosting.NoCopies)
	}
	m.pool[0].Leave()
	if complete := m.check(t); complete != 12 {
		t.Errorf("%d of 12 generations are complete, want all", complete)
	}
}

// The leaving engine stops and copies generations as ordered, but its responses to the orders are
// lost. Each generation was also copied earlier, while it ran, and its entry received that copy's
// destination. The entry must continue the generation at that destination.
func TestHostedMoveResponsesLost(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	m.pool[0].SetFault(hosting.LostMove)
	m.pool[0].Leave()
	time.AfterFunc(2*time.Second, m.pool[0].Crash)
	if complete := m.check(t); complete != 12 {
		t.Errorf("%d of 12 generations are complete, want all", complete)
	}
}

// The process of an instance is killed. Callers are directed to it until its peers detect the end,
// which takes 1.3 s if only heartbeats are missing. As its connections end and new connections are
// refused, the peers must detect the end within 0.9 s.
func TestHostedDirectoryDropsKilledInstance(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.procs[0].kill()
	killed := time.Now()
	for slices.Contains(f.resolve(f.machines[1]), f.machines[0].Callers) {
		if time.Since(killed) > 900*time.Millisecond {
			t.Fatal("the instance is still in the directory 0.9 s after it was killed, want it dropped")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Generations end at an engine that is about to leave while the engine copies them. No instance uses
// those copies. If the copies remain, each occupies memory at its destination for seconds, which
// delays the prefill of further prompts there.
func TestHostedCopiesOfEndedGenerationsAreFreed(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	for _, k := range m.pool {
		k.CopyTime = 600 * time.Millisecond
	}
	time.Sleep(streamEvents*slowEventInterval - 900*time.Millisecond)
	m.pool[0].Leave()
	if complete := m.check(t); complete != 12 {
		t.Errorf("%d of 12 generations are complete, want all", complete)
	}
	for _, k := range m.pool {
		testkit.Eventually(t, 3*time.Second, k.ID+" holds no copies", func() bool { return k.Copies() == 0 })
	}
}
