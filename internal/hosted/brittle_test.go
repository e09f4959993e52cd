package hosted_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// Upstreams that state that they are brittle fall over if they have to turn away more than a number of requests in a
// second, of all instances together. From contactTime after they say so they must not, beyond two and a tenth of
// their number, though callers press with twice what they can do.
func TestBrittleUpstreamsDoNotFallOver(t *testing.T) {
	const slots, queue, shortQueue, perSecond = 4, 16, 2, 3
	var all []*hosting.Brittle
	f := newFleetRigWith(t, 3, func(w *hosting.Worker) {
		w.Work = 100 * time.Millisecond
		w.Brittle = &hosting.Brittle{Slots: slots, Queue: queue}
		all = append(all, w.Brittle)
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for k := range f.machines {
		for range 40 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					status := f.book(k)
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	for _, b := range all {
		b.State(queue, perSecond)
	}
	time.Sleep(contactTime)
	before, falls := 0, 0
	for _, b := range all {
		before += b.Falls()
		b.State(shortQueue, perSecond)
	}
	time.Sleep(6 * time.Second)
	for _, b := range all {
		falls += b.Falls()
	}
	close(stop)
	wg.Wait()
	t.Logf("%d falls before contactTime, %d after; statuses %v", before, falls-before, statuses)
	if allowed := 2 + len(all)/10; falls-before > allowed {
		t.Errorf("%d upstreams fell over %d times, want at most %d", len(all), falls-before, allowed)
	}
	if statuses[http.StatusOK] == 0 {
		t.Error("nothing was served")
	}
}
