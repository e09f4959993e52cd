package hosting

import (
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin"
)

// SetRaw makes the upstream respond to all requests of callers with the bytes of a test; nil ends it.
func (w *Worker) SetRaw(a *standin.RawResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.raw = a
}

// serveRaw responds with the bytes of a test if the upstream is to do so, and reports whether it did.
func (w *Worker) serveRaw(rw http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	w.mu.Lock()
	raw := w.raw
	if raw != nil && id != "" {
		w.arrivals = append(w.arrivals, &Arrival{Worker: w.ID, ID: id, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Ran: true, At: time.Now(), Fault: Raw, Resumed: r.Header.Get("Kv-From") != ""})
	}
	w.mu.Unlock()
	if raw == nil || id == "" {
		return false
	}
	raw.Send(rw, r, id)
	return true
}
