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

// slowEventInterval is the time between the events of drafts in the tests of moves: a
// draft then takes two and a half seconds, and is in mid-stream while the test
// breaks something.
const slowEventInterval = 60 * time.Millisecond

// moveFixture is a world whose drafts are in mid-stream when one engine leaves.
type moveFixture struct {
	*fixture
	results []result
	wg      sync.WaitGroup
}

// startGenerations starts startGenerations at all instances and waits until they run.
func startGenerations(t *testing.T, n int) *moveFixture {
	t.Helper()
	m := &moveFixture{fixture: newFixture(t), results: make([]result, n)}
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

// homeIndex returns the index of the instance that is the pool's homeIndex.
func (m *moveFixture) homeIndex(t *testing.T) int {
	t.Helper()
	for k, p := range m.procs {
		if strings.Contains(p.output(), "event=home_began") {
			return k
		}
	}
	t.Fatal("no instance is the pool's home")
	return 0
}

// check waits for all drafts: each ran once, and its caller got every event once
// and in order, up to the end or to an honest break. It returns how many are whole.
func (m *moveFixture) check(t *testing.T) (whole int) {
	t.Helper()
	m.wg.Wait()
	time.Sleep(streamEvents * slowEventInterval) // what nobody stopped makes its last events
	arrivals := m.Arrivals()
	for k, r := range m.results {
		id := m.id(k)
		if n := countRuns(arrivals[id]); n != 1 {
			t.Errorf("%s was begun %d times, want once", id, n)
		}
		if !strings.HasPrefix(streamBody(id), r.body) {
			t.Errorf("%s: events are missing, double or out of order: %q", id, r.body)
		}
		made := 0
		for _, a := range arrivals[id] {
			made += a.Events
		}
		if made > streamEvents+maxRepeatedEvents {
			t.Errorf("%s: %d events were made of %d: it ran on at two engines", id, made, streamEvents)
		}
		switch {
		case r.status == http.StatusOK && !r.truncated && r.body == streamBody(id):
			whole++
		case r.status == http.StatusOK && !r.truncated:
			t.Errorf("%s looks whole and is not", id)
		}
	}
	return whole
}

// maxRepeatedEvents is how many events of a draft may be made twice at most: those that the
// source had made and that had not reached the entry when its connection ended.
const maxRepeatedEvents = 2

// An engine announces that it leaves, and the home freezes for longer than the
// notice just as it gives its orders. Another instance takes the role over, learns
// from the entries what runs there, and moves it; when the first wakes, two give
// orders. No draft runs twice, and most are whole.
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
	if whole := m.check(t); whole < 9 {
		t.Errorf("%d of 12 drafts are whole, want 9 or more", whole)
	}
}

// Two engines get notice at the very moment at which the store fails, and crash a second
// and a half later. The list says nothing in time, or late: the home asks the engines.
// Every draft is whole, whatever the store does.
func TestHostedUpstreamsLeaveDuringStoreOutage(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*hosting.Table){
		"silent":            func(t *hosting.Table) { t.Set(hosting.Silent) },
		"refusing":          func(t *hosting.Table) { t.Set(hosting.Busy) },
		"slow":              func(t *hosting.Table) { t.Set(hosting.Slow) },
		"answers lost":      func(t *hosting.Table) { t.Set(hosting.Lost) },
		"history forgotten": func(t *hosting.Table) { t.Forget() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startGenerations(t, 12)
			fail(m.Table)
			for _, k := range m.pool[:2] {
				k.Leave()
				time.AfterFunc(1500*time.Millisecond, k.Crash)
			}
			if whole := m.check(t); whole != 12 {
				t.Errorf("%d of 12 drafts are whole", whole)
			}
		})
	}
}

// Engines announce that they leave, and stay: a scale-in that was called off. What runs
// there is moved or ends there, and no draft is cut.
func TestHostedEnginesAnnounceLeavingButStay(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	for _, k := range m.pool[:2] {
		k.Leave()
	}
	if whole := m.check(t); whole != 12 {
		t.Errorf("%d of 12 drafts are whole", whole)
	}
}

// The home drains, and half a second later two engines get notice. Its successor has been
// told what runs there and moves all of it; what was entered at the home ends there.
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
	if whole := m.check(t); whole != 12 {
		t.Errorf("%d of 12 drafts are whole", whole)
	}
}

// The home dies with orders in hand. The others go on with what it has begun, and
// its successor moves the rest. Only the drafts that were entered there are lost.
func TestHostedHomeKilledDuringMove(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	home := m.homeIndex(t)
	m.pool[0].Leave()
	time.Sleep(40 * time.Millisecond)
	m.procs[home].kill()
	time.AfterFunc(1900*time.Millisecond, m.pool[0].Crash)
	if whole := m.check(t); whole < 7 {
		t.Errorf("%d of 12 drafts are whole, want 7 or more: 4 were entered at the home", whole)
	}
}

// An entry freezes while it makes a move: the run has been copied, perhaps stopped,
// and its caller sees nothing for a while. When the entry wakes the engine is gone.
// What was copied goes on; what was not ends honestly; nothing runs twice.
func TestHostedEntryPausedDuringMove(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	entry := (m.homeIndex(t) + 1) % len(m.procs)
	m.pool[0].Leave()
	time.Sleep(50 * time.Millisecond)
	time.AfterFunc(900*time.Millisecond, m.pool[0].Crash)
	m.procs[entry].freeze(t, 1200*time.Millisecond)
	if whole := m.check(t); whole < 8 {
		t.Errorf("%d of 12 drafts are whole, want 8 or more: 4 were entered at the frozen instance", whole)
	}
}

// Every engine but two leaves; one of the two takes the copies and crashes before
// they are picked up. The source has stopped and kept what it had, so the drafts go
// on there, or are moved once more.
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

// Copies lapse at their destinations before they are used. The upstream answers
// that it has not run the request, and the run goes on at its source, which keeps
// the memory of what it stopped.
func TestHostedCopiesExpire(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	for _, k := range m.pool[1:] {
		k.SetFault(hosting.NoCopies)
	}
	m.pool[0].Leave()
	if whole := m.check(t); whole != 12 {
		t.Errorf("%d of 12 drafts are whole", whole)
	}
}

// The engine that leaves stops the runs that it is told to move, copies them, and
// its answers are lost. The entries know the copies from their first, running copy,
// and go on from there.
func TestHostedMoveResponsesLost(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	m.pool[0].SetFault(hosting.LostMove)
	m.pool[0].Leave()
	time.AfterFunc(2*time.Second, m.pool[0].Crash)
	if whole := m.check(t); whole != 12 {
		t.Errorf("%d of 12 drafts are whole", whole)
	}
}

// A process is killed. Callers who ask where to connect are sent to it until the
// others notice; by its silence that takes 1.3 s. Its connections end at once, and
// new ones are refused, so that it is noticed within a fraction of that.
func TestHostedDirectoryDropsKilledInstance(t *testing.T) {
	t.Parallel()
	w := newFixture(t)
	w.procs[0].kill()
	killed := time.Now()
	for slices.Contains(w.resolve(w.machines[1]), w.machines[0].Callers) {
		if time.Since(killed) > 900*time.Millisecond {
			t.Fatal("still named 0.9 s after it was killed")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Drafts end at their engine while it copies them to others, as it is about to leave.
// Nobody goes on from those copies. Left behind, each takes memory at its destination
// for seconds, where the next prompts then wait, unread.
func TestHostedCopiesOfEndedGenerationsAreFreed(t *testing.T) {
	t.Parallel()
	m := startGenerations(t, 12)
	for _, k := range m.pool {
		k.CopyTime = 600 * time.Millisecond
	}
	time.Sleep(streamEvents*slowEventInterval - 900*time.Millisecond)
	m.pool[0].Leave()
	if whole := m.check(t); whole != 12 {
		t.Errorf("%d of 12 drafts are whole", whole)
	}
	for _, k := range m.pool {
		testkit.Eventually(t, 3*time.Second, k.ID+" keeps no copies", func() bool { return k.Copies() == 0 })
	}
}
