package hosting

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// withLock calls f while it holds the lock.
func (w *Worker) withLock(_ *Arrival, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// servePlain responds as a plain service: with the ids of the request and the upstream, or
// as the fault requires.
func (w *Worker) servePlain(rw http.ResponseWriter, r *http.Request, a *Arrival, fault Fault) {
	select {
	case <-time.After(time.Duration(w.slowdown() * float64(w.Work))):
	case <-r.Context().Done():
		w.withLock(a, func() { a.CallerLeft = true })
		return
	}
	w.server.AwaitStall()
	body := Body(a.ID, w.ID)
	w.stateLoad(rw.Header())
	switch fault {
	case LostAnswer:
		panic(http.ErrAbortHandler)
	case Mute:
		<-r.Context().Done()
		return
	case Fails:
		rw.Header().Set("Response-Seal", "seal-"+a.ID)
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case FalsePromise:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unsigned:
		_, _ = io.WriteString(rw, body) // an error means that the caller has disconnected
		return
	case Cuts:
		rw.Header().Set("Response-Seal", "seal-"+a.ID)
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(rw, body[:len(body)/2]) // an error means that the caller has disconnected
		panic(http.ErrAbortHandler)
	case PartOfHead:
		w.stopInHead(rw, a)
		return
	case Extra, Unframed, CrashInAnswer:
		w.writeRaw(rw, a, body, fault)
		return
	}
	rw.Header().Set("Response-Seal", "seal-"+a.ID)
	_, _ = io.WriteString(rw, body) // an error means that the caller has disconnected
}

// stopInHead sends a part of the head of a response and nothing more until the caller has left.
func (w *Worker) stopInHead(rw http.ResponseWriter, a *Arrival) {
	c, buf, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nAttempt-Id: " + a.ID + "\r\n") // an error means that the caller has disconnected
	_ = buf.Flush()                                                           // as above
	_, _ = c.Read(make([]byte, 1))
}

// Body returns the response body of a plain service for the request with an id.
func Body(id, worker string) string { return "answer to " + id + " by " + worker }

// writeRaw writes an HTTP response that net/http would not produce: one without a length,
// or one that is sent twice.
func (w *Worker) writeRaw(rw http.ResponseWriter, a *Arrival, body string, fault Fault) {
	c, buf, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + a.ID + "\r\nResponse-Seal: seal-" + a.ID + "\r\n"
	if fault == ExtraFull {
		head = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + a.ID + "\r\nNot-Executed: 1\r\n"
	}
	if fault == CrashInAnswer {
		fmt.Fprintf(buf, "%sConnection: close\r\n\r\n%s", head, body[:len(body)/2])
		_ = buf.Flush() // an error means that the caller has disconnected
		w.Crash()
		c.Close()
		return
	}
	if fault == Unframed {
		fmt.Fprintf(buf, "%sConnection: close\r\n\r\n%s", head, body)
		_ = buf.Flush() // an error means that the caller has disconnected
		c.Close()
		return
	}
	fmt.Fprintf(buf, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	_ = buf.Flush() // an error means that the caller has disconnected
	go w.repeatResponse(c, buf, head, body)
}

// repeatResponse sends a response a second time after a delay and continues to serve the
// connection, with a second response to each request. The superfluous response arrives
// where the caller expects the response to its next request.
func (w *Worker) repeatResponse(c net.Conn, buf *bufio.ReadWriter, head, body string) {
	defer c.Close()
	for {
		time.Sleep(extraResponseDelay)
		fmt.Fprintf(buf, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		if buf.Flush() != nil {
			return
		}
		r, err := http.ReadRequest(buf.Reader)
		if err != nil {
			return
		}
		sent, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a := &Arrival{
			Worker: w.ID, ID: r.Header.Get("Attempt-Id"), Method: r.Method, Target: r.RequestURI, Host: r.Host,
			Header: r.Header, Body: string(sent), Ran: true, Fault: Extra,
		}
		w.withLock(a, func() { w.arrivals = append(w.arrivals, a) })
		head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + a.ID + "\r\nResponse-Seal: seal-" + a.ID + "\r\n"
		body = Body(a.ID, w.ID)
		fmt.Fprintf(buf, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		if buf.Flush() != nil {
			return
		}
	}
}

// extraResponseDelay is the time between a response and its repetition: late enough that
// in some cases the next request is already in transit, and early enough that in others it
// is not.
const extraResponseDelay = 20 * time.Millisecond

// respondEarly responds before it reads the request body.
func (w *Worker) respondEarly(rw http.ResponseWriter, r *http.Request) {
	if err := http.NewResponseController(rw).EnableFullDuplex(); err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	body := Body(id, w.ID)
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Seal", "seal-"+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)            // an error means that the caller has disconnected
	_ = http.NewResponseController(rw).Flush() // an error means that the caller has disconnected
	rest, _ := io.ReadAll(r.Body)              // after an error, the part that was read is recorded
	a := &Arrival{Worker: w.ID, ID: id, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(rest), Ran: true}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
}
