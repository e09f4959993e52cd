package hosting

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// generation is a generation in progress, or a copy of one.
type generation struct {
	id string
	// events is the number of events produced so far.
	events int
	// reset is set once its connection was reset.
	reset bool
	// mark is the line that names its run, or "".
	mark string
	// stopped is closed when the generation stops at this upstream.
	stopped chan struct{}
	once    sync.Once
	// started and ended are when it began and ended at this upstream, and produced when it produced each event
	// there. They are for load reports.
	started, ended time.Time
	produced       []time.Time
}

// at returns whether the generation ran at a time, and the number of events that it had produced by then.
func (g *generation) at(t time.Time) (runs bool, events int) {
	after := len(g.produced) - sort.Search(len(g.produced), func(k int) bool { return g.produced[k].After(t) })
	return !g.started.After(t) && (g.ended.IsZero() || g.ended.After(t)), g.events - after
}

func (g *generation) stop() { g.once.Do(func() { close(g.stopped) }) }

// Event returns the text of a generation's event n, in the format of server-sent events.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n) }

// SoftwareMark begins the line of an event that names the software of the upstream that made it.
const SoftwareMark = ": software "

// event returns the text of a generation's event n as this upstream makes it.
func (w *Worker) event(id string, n int) string {
	text := PaddedEvent(id, n, w.EventBytes)
	if w.Software != "" {
		text = SoftwareMark + w.Software + "\n" + text
	}
	return text
}

// PaddedEvent returns the text of an event with a comment that pads it to a size in bytes.
func PaddedEvent(id string, n, size int) string {
	text := Event(id, n)
	if missing := size - len(text); missing > len(": \n") {
		return ": " + strings.Repeat("x", missing-len(": \n")) + "\n" + text
	}
	return text
}

// serveStream streams events until all are sent, the caller disconnects or the generation
// is stopped by a move or a crash. A request with the header Kv-From resumes from a copy, a
// request with Last-Event-Id resumes after that event.
func (w *Worker) serveStream(rw http.ResponseWriter, r *http.Request, a *Arrival, fault Fault) {
	received := 0 // number of events that the caller has already
	var c *generation
	if from := r.Header.Get("Kv-From"); from != "" {
		source, handle, _ := strings.Cut(from, "/")
		c = w.takeCopy(source, handle)
		if c == nil || c.id != a.ID {
			w.withLock(a, func() { a.Ran = false })
			rw.Header().Set("Not-Executed", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		received, _ = strconv.Atoi(last)
		switch fault {
		case BeginsAnew:
			received = 0
		case Skips:
			received = max(received, min(received+2, w.EventCount-1))
		}
	}
	if fault == Bare || fault == BareEmpty || fault == BareCut {
		w.streamBare(rw, a, received, fault)
		return
	}
	if fault == Mute {
		<-r.Context().Done()
		w.withLock(a, func() { a.CallerLeft = true })
		return
	}
	gen := &generation{id: a.ID, events: received, stopped: make(chan struct{}), started: time.Now()}
	w.withLock(a, func() {
		w.generations[a.ID] = gen
		w.reported = append(w.reported, gen)
		w.markRun(gen, c, received)
		w.stateSpeed(rw.Header())
	})
	end := sync.OnceFunc(func() {
		w.withLock(a, func() {
			gen.ended = time.Now()
			if w.generations[a.ID] == gen {
				delete(w.generations, a.ID)
			}
		})
	})
	defer end()
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Response-Seal", "seal-"+a.ID)
	if w.isBare() {
		w.withLock(a, func() { a.Bare = true })
		b := bare(rw)
		if b == nil {
			return
		}
		defer b.conn.Close()
		b.begin()
		rw = b
	}
	flush := http.NewResponseController(rw)
	var sent strings.Builder // for the fault Repeats
	before := w.EventEvery
	if !a.Resumed {
		before += w.Prefill
	}
	for n := received + 1; n <= w.EventCount; n++ {
		select {
		case <-time.After(time.Duration(w.slowdown() * float64(before))):
		case <-gen.stopped:
			if fault == OpenStop {
				end()
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			w.withLock(a, func() { a.CallerLeft = true })
			return
		}
		before = w.EventEvery
		w.server.AwaitStall()
		if w.crashOn(w, a.Header) {
			panic(http.ErrAbortHandler)
		}
		if fault == Cuts && n > w.EventCount/2 {
			_, _ = io.WriteString(rw, Event(a.ID, n)[:6]) // an error means that the caller has disconnected
			_ = flush.Flush()                             // an error means that the caller has disconnected
			panic(http.ErrAbortHandler)
		}
		text := gen.mark + w.event(a.ID, n)
		if breakWithin(rw, fault, a.ID, text, w.EventCount-n) {
			return
		}
		w.withLock(a, func() {
			gen.events, a.Events = n, a.Events+1
			gen.produced = append(gen.produced, time.Now())
		})
		if from, breaks := w.breaksFrom(fault, received); breaks && !a.Resumed && n >= from {
			if n == from {
				w.withLock(a, func() { gen.reset = true })
				reset(flush)
			}
			continue
		}
		w.limitUnread(flush)
		if _, err := io.WriteString(rw, text); err != nil {
			w.cutUnread(a, err)
			return
		}
		if err := flush.Flush(); err != nil {
			w.cutUnread(a, err)
			return
		}
		if fault == Repeats {
			sent.WriteString(text)
		}
	}
	w.keepAnswer(r, http.StatusOK, rw.Header(), sent.String())
}

// breaksFrom returns the event from which on a fault keeps the events of a stream from its caller.
func (w *Worker) breaksFrom(fault Fault, received int) (from int, breaks bool) {
	switch fault {
	case WorksOn:
		return received + w.EventCount/2, true
	case WorksOnUnseen:
		return received + 1, true
	}
	return 0, false
}

// reset resets the connection of a response, whose handler goes on.
func reset(rc *http.ResponseController) {
	c, _, err := rc.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// streamBare streams without a length or chunks, and closes the connection.
func (w *Worker) streamBare(rw http.ResponseWriter, a *Arrival, received int, fault Fault) {
	c, buf, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	body := ""
	for n := received + 1; n <= w.EventCount && fault != BareEmpty; n++ {
		body += Event(a.ID, n)
	}
	if fault == BareCut {
		body = body[:len(body)-3]
	}
	_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + a.ID + "\r\nResponse-Seal: seal-" + a.ID + "\r\n\r\n" + body)
	_ = buf.Flush() // an error means that the caller has disconnected
}

// smallSendBuffer is the size in bytes of the send buffers of an upstream that cuts off unread
// responses. The rest of what is sent and not read is at the receiver.
const smallSendBuffer = 16 << 10

// sendBuffer returns the size of the send buffers; 0 leaves it to the system.
func (w *Worker) sendBuffer() int {
	if w.UnreadLimit > 0 {
		return smallSendBuffer
	}
	return 0
}

// limitUnread sets the time by which the next write must have been accepted.
func (w *Worker) limitUnread(c *http.ResponseController) {
	if w.UnreadLimit > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(w.UnreadLimit)) // fails only on a closed connection
	}
}

// cutUnread cuts off a response if its write failed because nothing was read.
func (w *Worker) cutUnread(a *Arrival, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.withLock(a, func() { a.Unread = true })
		panic(http.ErrAbortHandler)
	}
}

// promptTokens is the memory that the prompt of each generation takes, in tokens.
const promptTokens = 1000

// moveRequest is a request to an engine to copy a generation to the upstream at the address
// To. If Last is set, the generation is stopped first.
type moveRequest struct {
	ID   string `json:"id"`
	To   string `json:"to"`
	Last bool   `json:"last"`
}

// serveMove copies a generation to another upstream, and stops it first if the request
// says so.
func (w *Worker) serveMove(rw http.ResponseWriter, r *http.Request) {
	var m moveRequest
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	gen, inProgress := w.generations[m.ID], w.moving[m.ID]
	w.moving[m.ID] = true
	refuses := m.Last && w.RefusesStop && gen != nil && !gen.reset
	w.mu.Unlock()
	if inProgress {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	defer w.withLock(nil, func() { delete(w.moving, m.ID) })
	if gen == nil {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	to := w.workerAt(m.To)
	if refuses {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if to == nil {
		time.Sleep(w.CopyTime)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if m.Last {
		gen.stop()
	}
	handle := "copy-" + m.ID
	w.transfer(handle, m.Last)
	to.server.AwaitStall()
	to.storeCopy(handle, gen)
	w.mu.Lock()
	w.copiesSent[handle] = to
	events, fault := gen.events, w.fault
	if m.Last {
		w.copies[handle] = gen // a stopped generation can be resumed here, too
	}
	w.mu.Unlock()
	if m.Last && fault == LostMove {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"handle": handle, "created_rev": events}) // an error means that the caller has disconnected
}

// remainderShare is the part of the time of a copy that the copy of what is new since an earlier one takes.
const remainderShare = 0.1

// transfer waits as long as a copy takes. With QueueCopies, it waits for other copies before.
func (w *Worker) transfer(handle string, last bool) {
	if last {
		time.Sleep(w.StopTime)
	}
	if !w.QueueCopies {
		if !last {
			time.Sleep(w.CopyTime)
		}
		return
	}
	w.mu.Lock()
	repeated := w.copiesSent[handle] != nil
	w.mu.Unlock()
	w.copying.Lock()
	defer w.copying.Unlock()
	if d := float64(w.CopyTime); repeated {
		time.Sleep(time.Duration(remainderShare * d))
	} else {
		time.Sleep(w.CopyTime)
	}
	w.server.AwaitStall()
}

// storeCopy stores a copy of a generation, unless the fault NoCopies is set.
func (w *Worker) storeCopy(handle string, gen *generation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault != NoCopies {
		w.copies[handle] = gen
	}
}

// copyPath is the path prefix of the copies that this upstream sent; a DELETE request to
// the path of a copy frees that copy.
const copyPath = "/v1/kv-handle/"

// dropCopy removes a copy here and at the upstream to which it was sent.
func (w *Worker) dropCopy(handle string) {
	w.mu.Lock()
	to := w.copiesSent[handle]
	delete(w.copies, handle)
	w.mu.Unlock()
	if to != nil {
		to.mu.Lock()
		delete(to.copies, handle)
		to.mu.Unlock()
	}
}

// takeCopy returns a stored copy, or nil, and frees it: a copy can be used once. The upstream at
// the address source, which sent the copy, no longer keeps the stopped generation either.
func (w *Worker) takeCopy(source, handle string) *generation {
	w.mu.Lock()
	c := w.copies[handle]
	delete(w.copies, handle)
	w.mu.Unlock()
	if sender := w.workerAt(source); c != nil && sender != nil {
		sender.dropCopy(handle)
	}
	return c
}

// Copies returns the number of stored copies of generations that were not resumed.
func (w *Worker) Copies() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.copies)
}

// serveReport responds with the load report: the state and the generations in progress, as of ReportLag ago.
func (w *Worker) serveReport(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stateSpeed(rw.Header())
	rw.Header().Set("Content-Type", "application/json")
	runs, asOf := [][]any{}, time.Now().Add(-w.ReportLag)
	w.reported = slices.DeleteFunc(w.reported, func(g *generation) bool { return !g.ended.IsZero() && g.ended.Before(asOf) })
	for _, g := range w.reported {
		if running, events := g.at(asOf); running {
			runs = append(runs, []any{g.id, promptTokens + events, events, 5})
		}
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"running": len(runs), "waiting": 0, "state": w.reportedState(), "runs": runs, "born": w.Born,
	}) // an error means that the caller has disconnected
}
