package hosted

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"mulberrylug.example/mulberrylug/internal/conn"
)

// errNoHeadMemory ends a connection whose request has a long head for which there is no memory. The connection is
// closed without a response: the request was not read, and may be sent again.
var errNoHeadMemory = errors.New("no memory for the head of a request")

// headAccount accounts for the memory of the head of a request, beyond the buffer of its connection. All methods but
// add are called by the goroutine that serves the connection; add may also be called by the one that watches
// whether the caller disconnects.
type headAccount struct {
	memory conn.Memory
	// reading is set from the end of a request until the handler of the next one is called.
	reading atomic.Bool
	// read is the number of bytes of the head that have arrived, held what is reserved for them.
	read, held atomic.Int64
}

// begin begins to wait for the next request. The memory of the one before is returned.
func (h *headAccount) begin() {
	h.release()
	h.read.Store(0)
	h.reading.Store(true)
}

// end ends the head: its request is being handled.
func (h *headAccount) end() { h.reading.Store(false) }

// release returns what is reserved.
func (h *headAccount) release() {
	if n := h.held.Swap(0); n > 0 {
		h.memory.Release(int(n))
	}
}

// add records that n bytes have arrived. It returns false if there is no memory for them.
func (h *headAccount) add(n int) bool {
	if n == 0 || !h.reading.Load() {
		return true
	}
	read := h.read.Add(int64(n))
	more := min(int64(n), read-conn.HeadBuffer) * conn.HeadCost
	if more <= 0 {
		return true
	}
	if !h.memory.Reserve(int(more)) {
		return false
	}
	h.held.Add(more)
	return true
}

// headBytes returns the size of the head of a request in bytes, as far as it is known: net/http drops the spaces
// round the values of fields.
func headBytes(r *http.Request) int {
	const perField = len(": \r\n") - 1 // the space is optional
	n := len(r.Method) + len(r.RequestURI) + len(" ") + len(" HTTP/1.1\r\n") + len("Host") + len(r.Host) + perField + len("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + perField
		}
	}
	return n
}

// trackHeads tells where the heads of requests begin, as http.Server.ConnState.
func trackHeads(c net.Conn, state http.ConnState) {
	caller, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		if caller.aborted.Load() || caller.stopped.Load() {
			caller.Close() // no other response can be written, or no other request read
			return
		}
		caller.head.begin()
	case http.StateClosed, http.StateHijacked:
		caller.head.end()
		caller.head.release()
	}
}
