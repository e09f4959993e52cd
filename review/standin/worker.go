package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the servers of a small deployment.
const (
	heartbeat  = 1200 * time.Millisecond
	slots      = 6
	queue      = 24
	workTime   = 60 * time.Millisecond
	idleServer = 5 * time.Second
)

// arrival is a request that reached a server.
type arrival struct {
	id, server string
	method     string
	at         time.Time
	ran        bool
	// ended is set if the whole answer was written before the server exited.
	ended bool
}

// worker is a server of a plain service.
type worker struct {
	id, service, zone, address string
	born                       int64
	store                      *store
	// work is how long a request takes.
	work   time.Duration
	http   *http.Server
	places chan struct{}

	mu       sync.Mutex
	sequence int
	waiting  int
	leaving  bool
	arrivals []*arrival
	stop     chan struct{}
}

// startWorker starts a server and its heartbeats.
func startWorker(s *store, ip, id, service, zone string, work time.Duration) (*worker, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, address: ln.Addr().String(), born: time.Now().UnixMilli(), store: s, work: work,
		places: make(chan struct{}, slots), stop: make(chan struct{}),
	}
	w.http = &http.Server{Handler: w, IdleTimeout: idleServer}
	go func() { _ = w.http.Serve(ln) }()
	go w.beat()
	return w, nil
}

// beat writes the server's entry until the server leaves.
func (w *worker) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		w.mu.Lock()
		w.sequence++
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": slots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
		}
		if !w.leaving {
			w.store.put("servers", w.id, entry) // a beat that the store does not take is followed by the next one
		}
		w.mu.Unlock()
		select {
		case <-w.stop:
			return
		case <-t.C:
		}
	}
}

// leaveSilently removes the server's entry, and returns when the store accepted that. The server serves on
// until exit.
func (w *worker) leaveSilently() (at time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok = w.store.remove("servers", w.id); ok {
		w.leaving = true
		close(w.stop)
	}
	return at, ok
}

// exit ends the server with all its connections, as the end of its process does.
func (w *worker) exit() { _ = w.http.Close() }

// awaitBooking waits until a booking is running here, at most for the given time.
func (w *worker) awaitBooking(most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, a := range w.list() {
			if a.ran && !a.ended && a.method == http.MethodPost && time.Since(a.at) < w.work/2 {
				return
			}
		}
	}
}

// list returns copies of the arrivals.
func (w *worker) list() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]arrival, 0, len(w.arrivals))
	for _, a := range w.arrivals {
		out = append(out, *a)
	}
	return out
}

// answerBody is the body of the answer to a request.
func answerBody(id string) string { return "answer to " + id + "\n" + strings.Repeat("x", 780) }

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	a := &arrival{id: r.Header.Get("Attempt-Id"), server: w.id, method: r.Method, at: time.Now()}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := rw.Header()
	h.Set("Instance-Id", w.id)
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleServer.Seconds())))
	w.mu.Lock()
	leaving := w.leaving
	w.mu.Unlock()
	if leaving {
		h.Set("Connection", "close")
	}
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		h.Set("Server-Load", w.load())
		return
	}
	h.Set("Attempt-Id", a.id)
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	full := w.waiting >= queue
	if !full {
		w.waiting++
	}
	w.mu.Unlock()
	if full {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.places <- struct{}{}
	w.mu.Lock()
	w.waiting--
	a.ran = true
	w.mu.Unlock()
	time.Sleep(w.work)
	load := w.load()
	<-w.places
	h.Set("Server-Load", load)
	h.Set("Response-Seal", "seal."+w.id+"."+a.id)
	_, err := io.WriteString(rw, answerBody(a.id))
	if err == nil {
		err = http.NewResponseController(rw).Flush()
	}
	w.mu.Lock()
	a.ended = err == nil
	w.mu.Unlock()
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(w.places), w.waiting, slots)
}
