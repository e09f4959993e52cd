package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

const (
	// heartbeat is the interval at which workers write their entries.
	heartbeat = 1200 * time.Millisecond
	// workTime is how long a worker works on a request.
	workTime = 60 * time.Millisecond
)

// worker is a worker of a plain service. Its handler decides what happens to a request.
type worker struct {
	table   *hosting.Table
	address string
	// handle serves one request on its connection and reports whether the connection may be used again.
	handle func(w *worker, c net.Conn, r *http.Request, body string) bool

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	ended    chan struct{}
	starts   int
	name     string
	// serves, if not nil, serves a connection instead of handle.
	serves func(w *worker, c net.Conn)
}

// startWorker starts a worker at a free port.
func startWorker(t *hosting.Table, name string, handle func(w *worker, c net.Conn, r *http.Request, body string) bool) (*worker, error) {
	w := &worker{table: t, name: name, handle: handle, address: "127.0.0.1:0"}
	return w, w.open()
}

// open starts a new incarnation with a new id.
func (w *worker) open() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	if w.id != "" {
		w.table.Remove("servers", w.id)
	}
	w.starts++
	w.address, w.listener, w.conns, w.ended = ln.Addr().String(), ln, map[net.Conn]bool{}, make(chan struct{})
	w.id, w.born, w.sequence = fmt.Sprintf("i-%s-%d", w.name, w.starts), time.Now().UnixMilli(), 0
	ended := w.ended
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-ended
		cancel()
	}()
	w.beat()
	go standin.Every(ctx, heartbeat, w.beat)
	go w.accept(ln)
	return nil
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.ended:
		return
	default:
	}
	w.sequence++
	w.table.Put("servers", w.id, map[string]any{
		"service": service, "address": w.address, "zone": zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
}

// currentID returns the id of the running incarnation.
func (w *worker) currentID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// crash ends the worker as a crash does: it sends nothing, and its connections are reset. It is back after a time.
func (w *worker) crash(downtime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.ended:
		return // it has crashed already
	default:
	}
	close(w.ended)
	w.listener.Close()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
		c.Close()
	}
	if downtime > 0 {
		time.AfterFunc(downtime, func() { _ = w.open() }) // without it the service has a worker less
	}
}

func (w *worker) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		c.Close()
	}()
	if w.serves != nil {
		w.serves(w, c)
		return
	}
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if want := req.Header.Get("Expect-Instance"); want != "" && want != w.currentID() {
			if !answer(c, req, 421, "Not-Executed: 1\r\nInstance-Id: "+w.currentID()+"\r\n", "") {
				return
			}
			continue
		}
		if !w.handle(w, c, req, string(body)) {
			return
		}
	}
}

// answer writes a response with a length and reports whether that succeeded.
func answer(c net.Conn, r *http.Request, status int, fields, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.Header.Get("Attempt-Id"), fields, len(body), body)
	return err == nil
}

// seal is the signature of a worker's answer.
func seal(r *http.Request) string {
	return "Response-Seal: seal-of-" + r.Header.Get("Attempt-Id") + "\r\n"
}
