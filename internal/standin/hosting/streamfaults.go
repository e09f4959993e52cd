package hosting

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"

	"mulberrylug.example/mulberrylug/internal/standin"
)

// Faults of streams, for SetStreamFault.
const (
	// BreaksInOrder closes the connection in order within an event, BreaksReset resets it there.
	BreaksInOrder Fault = "breaks_in_order"
	BreaksReset   Fault = "breaks_reset"
	// Repeats sends each response a second time, at the point where the next one on its connection is expected.
	Repeats Fault = "repeats"
)

// RunMark begins the line of an event that names the run that made it and the event after which that run began.
// A run that goes on from a copy keeps its mark.
const RunMark = ": run "

// SetStreamFault sets the fault of streams that begin from now on while SetFault sets none.
func (w *Worker) SetStreamFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streamFault = f
}

// markRun sets the mark of a run that begins after an event, or goes on from a copy if there is one.
func (w *Worker) markRun(gen, from *generation, after int) {
	switch {
	case !w.MarkRuns:
	case from != nil:
		gen.mark = from.mark
	default:
		w.runs++
		gen.mark = fmt.Sprintf("%s%s.%d.%d after %d\n", RunMark, w.ID, w.Born, w.runs, after)
	}
}

// breakWithin breaks a stream off within an event if its fault says so for this one, and reports whether it did.
func breakWithin(rw http.ResponseWriter, fault Fault, id, text string, left int) bool {
	if fault != BreaksInOrder && fault != BreaksReset {
		return false
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, id+text) // never fails
	if int(h.Sum32()%16) > 0 && left > 0 {
		return false
	}
	flush := http.NewResponseController(rw)
	_, _ = io.WriteString(rw, text[:1+int(h.Sum32()/16)%(len(text)-1)]) // an error means that the caller has disconnected
	_ = flush.Flush()                                                   // as above
	if fault == BreaksReset {
		reset(flush)
	} else if c, _, err := flush.Hijack(); err == nil {
		c.Close()
	}
	return true
}

// keepAnswer keeps a response for repeatAnswer while the fault Repeats is set.
func (w *Worker) keepAnswer(r *http.Request, status int, header http.Header, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.streamFault != Repeats {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&b) // never fails
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	w.late[standin.ConnOf(r)] = b.String()
}

// repeatAnswer sends the last response on the connection of a request again.
func (w *Worker) repeatAnswer(r *http.Request) {
	c := standin.ConnOf(r)
	w.mu.Lock()
	text := w.late[c]
	delete(w.late, c)
	w.mu.Unlock()
	if text != "" {
		_, _ = io.WriteString(c, text) // an error means that the caller has disconnected
	}
}
