package hosting

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Brittle makes an upstream of a plain service fall over if it has to turn away more than PerSecond requests
// in a second for want of room.
type Brittle struct {
	Slots, Queue int
	// PerSecond is stated in all responses; 0 makes the upstream one that only turns requests away.
	PerSecond int

	start    sync.Once
	running  chan struct{} // has one element for each request in a slot
	mu       sync.Mutex
	open     int
	rejected []time.Time
	falls    int
}

// Falls returns how often the upstream has fallen over.
func (b *Brittle) Falls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.falls
}

// State changes the queue and what is stated.
func (b *Brittle) State(queue, perSecond int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Queue, b.PerSecond = queue, perSecond
}

// enter takes a place for a request and states the load. It reports whether there is one, and whether the
// upstream falls over.
func (b *Brittle) enter(h http.Header) (ok, falls bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.describe(h)
	if b.open < b.Slots+b.Queue {
		b.open++
		return true, false
	}
	now := time.Now()
	b.rejected = append(b.rejected, now)
	for now.Sub(b.rejected[0]) > time.Second {
		b.rejected = b.rejected[1:]
	}
	if falls = b.PerSecond > 0 && len(b.rejected) > b.PerSecond; falls {
		b.falls++
		b.rejected = nil
	}
	return false, falls
}

// run waits for a slot and then calls work, unless the context ends before.
func (b *Brittle) run(ctx context.Context, work func()) {
	b.start.Do(func() { b.running = make(chan struct{}, b.Slots) })
	select {
	case b.running <- struct{}{}:
		defer func() { <-b.running }()
		work()
	case <-ctx.Done():
	}
}

func (b *Brittle) leave(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	b.describe(h)
}

// describe states the load. The caller holds the lock.
func (b *Brittle) describe(h http.Header) {
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(b.open, b.Slots), max(b.open-b.Slots, 0), b.Slots))
	if b.PerSecond > 0 {
		h.Set("Server-Brittle", strconv.Itoa(b.PerSecond))
	}
}

// serveBrittle responds as a plain service with few places.
func (w *Worker) serveBrittle(rw http.ResponseWriter, r *http.Request, a *Arrival) {
	ok, falls := w.Brittle.enter(rw.Header())
	if !ok {
		if falls {
			w.server.Close()
			time.AfterFunc(2*time.Second, func() { _ = w.server.Reopen() }) // without it the service has an upstream less
		}
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Brittle.run(r.Context(), func() {
		w.withLock(a, func() { a.Ran = true })
		select {
		case <-time.After(w.Work):
		case <-r.Context().Done():
		}
	})
	w.Brittle.leave(rw.Header())
	rw.Header().Set("Response-Seal", "seal-"+a.ID)
	_, _ = rw.Write([]byte(Body(a.ID, w.ID))) // an error means that the caller has disconnected
}
