package hosted_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

const (
	crashPartID = "bad0"
	// maxAfterFifth is the maximum number of requests with a part that crashes engines that may reach
	// engines, from contactTime after the fifth crash on.
	maxAfterFifth = 3
)

// soundPrompt and crashingPrompt return prompts that share their first part.
func soundPrompt(id string) string    { return "aaaa:200,cccc:100," + id + ":300" }
func crashingPrompt(id string) string { return "aaaa:200," + crashPartID + ":100," + id + ":300" }

// partLoad sends sound requests, and crashing ones beside them, to all instances.
type partLoad struct {
	*fleetRig
	mu   sync.Mutex
	stop chan struct{}
	wg   sync.WaitGroup
	// soundSent and soundServed count the sound requests, crashStatus the statuses of the others.
	soundSent, soundServed int
	crashStatus            map[int]int
}

// sendSound sends a sound request to each instance every 150 ms.
func (l *partLoad) sendSound(crashing bool) {
	for k := range l.machines {
		l.wg.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				id, prompt := nextID(), soundPrompt
				if crashing {
					prompt = crashingPrompt
				}
				status := l.tryWith(id, k, hosting.PathBrief, "600,80", "Prompt-Prefix: "+prompt(id)+"\r\n")
				l.mu.Lock()
				switch {
				case crashing:
					l.crashStatus[status]++
				default:
					l.soundSent++
					if status == http.StatusOK {
						l.soundServed++
					}
				}
				l.mu.Unlock()
			}
		})
	}
}

// take returns and resets what was sent and served of the sound requests.
func (l *partLoad) take() share {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := share{served: l.soundServed, sent: l.soundSent}
	l.soundSent, l.soundServed = 0, 0
	return s
}

// arrivedAfter counts the requests with the part that reached engines after a time.
func (l *partLoad) arrivedAfter(p *hosting.CrashPart, at time.Time) (n int) {
	for _, list := range l.Arrivals() {
		for _, a := range list {
			if p.In(a.Header) && a.At.After(at) {
				n++
			}
		}
	}
	return n
}

// One part of a prompt crashes each engine that begins to write on it, in requests no two of which are
// alike, at all instances. Soon after five crashes no more of them may reach engines, also through an instance
// that starts later, while sound requests with the same key and first part are served.
func TestAPartThatCrashesEnginesIsStopped(t *testing.T) {
	f := newFleetRig(t, 3)
	l := &partLoad{fleetRig: f, stop: make(chan struct{}), crashStatus: map[int]int{}}
	l.sendSound(false)
	time.Sleep(time.Second)
	before := l.take()
	part := &hosting.CrashPart{ID: crashPartID, Downtime: 2 * time.Second}
	f.SetCrashPart(part)
	l.sendSound(true)
	testkit.Eventually(t, testTimeout, "engines crash", func() bool { return part.Crashes() >= 2 })
	for end := time.Now().Add(2 * time.Second); part.Crashes() < 5 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	fifth := time.Now()
	time.Sleep(contactTime)
	f.addInstance(t, "entry-late", "zone-a")
	late := len(f.machines) - 1
	testkit.Eventually(t, testTimeout, "the late instance serves", func() bool { return f.book(late) == http.StatusOK })
	for k := range 10 {
		id := fmt.Sprintf("%016x", 1<<32+k)
		f.tryWith(id, late, hosting.PathBrief, "600,80", "Prompt-Prefix: "+crashingPrompt(id)+"\r\n")
	}
	time.Sleep(time.Until(fifth.Add(2 * contactTime)))
	l.take()
	time.Sleep(2 * time.Second)
	after := l.take()
	close(l.stop)
	l.wg.Wait()
	n := l.arrivedAfter(part, fifth.Add(contactTime))
	t.Logf("%d engines crashed, %d more requests reached engines; sound: %+v before, %+v after; others %v", part.Crashes(), n, before, after, l.crashStatus)
	if n > maxAfterFifth {
		t.Errorf("%d requests with the part reached engines later than %v after the fifth crash, want at most %d", n, contactTime, maxAfterFifth)
	}
	if after.ratio() < before.ratio()/2 || after.sent < before.sent {
		t.Errorf("sound requests: %+v before, %+v after", before, after)
	}
}

// Engines crash one after the other for other reasons, while requests that share their first part run there. No
// request may be refused because of it.
func TestUnrelatedCrashesConvictNoPart(t *testing.T) {
	f := newFleetRig(t, 3)
	l := &partLoad{fleetRig: f, stop: make(chan struct{}), crashStatus: map[int]int{}}
	l.sendSound(false)
	crashed := map[string]bool{}
	for round := range 6 {
		time.Sleep(700 * time.Millisecond)
		engines := f.Workers()
		for k := len(engines) - 1; k >= 0; k-- {
			if e := engines[k]; e.Service == hosting.Pool && !strings.Contains(e.ID, "spare") && !crashed[e.ID] {
				crashed[e.ID] = true
				e.Crash()
				f.Table.Remove("servers", e.ID)
				if _, err := f.Add(fmt.Sprintf("%s-spare-%d", e.ID, round), hosting.Pool, func(w *hosting.Worker) {
					w.Zone, w.EventEvery, w.EventCount = e.Zone, e.EventEvery, e.EventCount
				}); err != nil {
					t.Fatal(err)
				}
				break
			}
		}
	}
	time.Sleep(time.Second)
	l.take()
	time.Sleep(2 * time.Second)
	after := l.take()
	close(l.stop)
	l.wg.Wait()
	if after.ratio() < 0.95 {
		t.Errorf("%+v served after crashes that no request caused", after)
	}
	for k, log := range f.logs {
		if log.has("part_convicted") {
			t.Errorf("%s convicted a part", f.machines[k].Name)
		}
	}
}

// A stream without a length or chunks ends with its connection. It is complete if it ends between two events,
// and must not look so if it ends within one, or before the first, as when the engine crashes.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	f := newFleetRig(t, 1)
	for fault, whole := range map[hosting.Fault]bool{hosting.Bare: true, hosting.BareEmpty: false, hosting.BareCut: false} {
		for _, w := range f.Workers() {
			w.SetFault(fault)
		}
		if status := f.try(0, hosting.PathDraft, "300,80"); (status == http.StatusOK) != whole {
			t.Errorf("%s: status %d (0: the stream broke off), want a complete stream: %v", fault, status, whole)
		}
	}
}
