package hosting

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin"
)

const (
	signedHead  = "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nResponse-Seal: seal-@\r\n"
	chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
	// bodyPause is the pause of bodies that callers get.
	bodyPause = 5 * time.Millisecond
	// trickle is the pause of responses that arrive one byte at a time.
	trickle = 20 * time.Millisecond
)

// EndlessKinds are the kinds of responses without an end of an upstream.
var EndlessKinds = append(slices.Clip(standin.EndlessHeads), []standin.Endless{
	{Name: "unsigned body", Head: "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\n\r\n", Unit: "x"},
	{Name: "body of an error", Head: "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: @\r\nResponse-Seal: seal-@\r\n\r\n", Unit: "x"},
	{Name: "body for another request", Head: "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", Unit: "4\r\nxxxx\r\n"},
	{Name: "extension of a chunk", Head: chunkedHead + "5;x=", Unit: "x"},
	{Name: "trailers", Head: chunkedHead + "0\r\n", Unit: "X-Filler: 1\r\n"},
	{Name: "bytes after a response", Head: signedHead + "Content-Length: 2\r\n\r\nok", Unit: "x", Served: true},
	{Name: "signed body", Head: signedHead + "\r\n", Unit: strings.Repeat("x", 8<<10), Every: bodyPause, Signed: true},
	{Name: "signed chunks", Head: chunkedHead, Unit: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", Every: bodyPause, Signed: true},
	{Name: "slow head", Head: "HTTP/1.1 200 OK\r\nX-Filler: ", Unit: "x", Every: trickle},
	{Name: "slow body", Head: signedHead + "\r\n", Unit: "x", Every: trickle, Signed: true},
}...)

// SetEndless makes the upstream respond to everything without an end, and send at most some bytes on a connection; nil
// ends it.
func (w *Worker) SetEndless(e *standin.Endless, most int64) {
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
		w.arrivals = append(w.arrivals, &Arrival{Worker: w.ID, ID: id, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Ran: true, At: time.Now(), Fault: WithoutEnd, Resumed: r.Header.Get("Kv-From") != ""})
	}
	w.mu.Unlock()
	if e == nil {
		return false
	}
	sent := e.Send(rw, id, most)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endlessSent = max(w.endlessSent, sent)
	return true
}
