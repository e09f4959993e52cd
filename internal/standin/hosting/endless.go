package hosting

import (
	"bytes"
	"net/http"
	"strings"
	"time"
)

// Endless is a kind of response that does not end before the caller closes the connection.
type Endless struct {
	Name string
	// Head is sent first; @ stands for the id of the request.
	Head string
	// Unit is repeated after it.
	Unit string
	// Every is the pause between units; without one, they are sent as fast as the caller reads.
	Every time.Duration
	// Signed is set if the response looks like a complete head and the beginning of its body. Served is set
	// if a whole response precedes the bytes without an end.
	Signed, Served bool
}

const (
	signedHead  = "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nResponse-Seal: seal-@\r\n"
	chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
	// bodyPause is the pause of bodies that callers get.
	bodyPause = 5 * time.Millisecond
	// trickle is the pause of responses that arrive one byte at a time.
	trickle = 20 * time.Millisecond
)

// EndlessKinds are the kinds of responses without an end.
var EndlessKinds = []Endless{
	{Name: "line of a head", Head: "HTTP/1.1 200 OK\r\nX-Filler: ", Unit: "x"},
	{Name: "no HTTP", Unit: "\x00\xfe"},
	{Name: "fields of a head", Head: "HTTP/1.1 200 OK\r\n", Unit: "X-Filler: 1\r\n"},
	{Name: "short fields of a head", Head: "HTTP/1.1 200 OK\r\n", Unit: "A:\r\nB:\r\n"},
	{Name: "informational responses", Unit: "HTTP/1.1 100 Continue\r\n\r\n"},
	{Name: "empty lines", Unit: "\r\n"},
	{Name: "unsigned body", Head: "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\n\r\n", Unit: "x"},
	{Name: "body of an error", Head: "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: @\r\nResponse-Seal: seal-@\r\n\r\n", Unit: "x"},
	{Name: "body for another request", Head: "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", Unit: "10\r\nHTTP/1.1 200 OK\n\r\n"},
	{Name: "extension of a chunk", Head: chunkedHead + "5;x=", Unit: "x"},
	{Name: "trailers", Head: chunkedHead + "0\r\n", Unit: "X-Filler: 1\r\n"},
	{Name: "bytes after a response", Head: signedHead + "Content-Length: 2\r\n\r\nok", Unit: "x", Served: true},
	{Name: "signed body", Head: signedHead + "\r\n", Unit: strings.Repeat("x", 8<<10), Every: bodyPause, Signed: true},
	{Name: "signed chunks", Head: chunkedHead, Unit: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", Every: bodyPause, Signed: true},
	{Name: "slow head", Head: "HTTP/1.1 200 OK\r\nX-Filler: ", Unit: "x", Every: trickle},
	{Name: "slow body", Head: signedHead + "\r\n", Unit: "x", Every: trickle, Signed: true},
}

// endlessBlock is the number of bytes that are sent at once.
const endlessBlock = 32 << 10

// endlessTime limits a response that the caller neither reads nor closes.
const endlessTime = 10 * time.Second

// send sends the response to a request until the caller closes the connection or most bytes were sent, and
// returns the number of bytes sent.
func (e *Endless) send(rw http.ResponseWriter, id string, most int64) (sent int64) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return 0
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(endlessTime)); err != nil {
		return 0
	}
	block := []byte(e.Unit)
	if e.Every == 0 {
		block = bytes.Repeat(block, endlessBlock/len(block)+1)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for buf := make([]byte, 1<<10); ; {
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}()
	write := func(b []byte) bool {
		n, err := c.Write(b)
		sent += int64(n)
		return err == nil
	}
	for ok := write([]byte(strings.ReplaceAll(e.Head, "@", id))); ok && sent < most; ok = write(block) {
		select {
		case <-closed:
			return sent
		case <-time.After(e.Every):
		}
	}
	return sent
}

// SetEndless makes the upstream respond to everything without an end, and send at most some bytes on a connection; nil
// ends it.
func (w *Worker) SetEndless(e *Endless, most int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endless, w.endlessMost = e, most
}

// EndlessSent returns the largest number of bytes that the upstream has sent in a response without an end.
func (w *Worker) EndlessSent() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endlessSent
}

// serveEndless responds without an end if the upstream is to do so, and reports whether it did.
func (w *Worker) serveEndless(rw http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	w.mu.Lock()
	e, most := w.endless, w.endlessMost
	if e != nil && id != "" {
		w.arrivals = append(w.arrivals, &Arrival{Worker: w.ID, ID: id, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Ran: true, At: time.Now()})
	}
	w.mu.Unlock()
	if e == nil {
		return false
	}
	sent := e.send(rw, id, most)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endlessSent = max(w.endlessSent, sent)
	return true
}
