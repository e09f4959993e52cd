package conn

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// MaxResponseHead is the maximum size in bytes of the head of a response, together with the
	// informational responses before it. Servers and proxies commonly send and accept 8 to 16 KB.
	MaxResponseHead = 32 << 10
	// HeadCost is the memory in bytes that a byte of a head takes. A head of many short fields takes 15 times
	// its size, for the strings and the entries of the map.
	HeadCost = 16
	// HeadBuffer is the size in bytes of the heads that need no memory beside the buffer of their connection.
	HeadBuffer = readBufferSize
)

// Parts of messages that have a limit, as they are named in logs and metrics.
const (
	PartHead  = "head"
	PartBody  = "body"
	PartEvent = "event"
)

// LimitError reports that the peer sent more than the limit of a part of a message. What follows on the
// connection can't be distinguished from the rest of that part, so the connection must be closed.
type LimitError struct {
	// Part is PartHead, PartBody or PartEvent.
	Part string
	// Limit and Read are in bytes. Read is what had been read when the limit was found to be passed.
	Limit, Read int64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s of the response exceeds %d bytes", e.Part, e.Limit)
}

// ErrNoMemory reports that there is no memory for what the peer sends.
var ErrNoMemory = errors.New("no memory for the response")

// Memory accounts for the memory that responses take. Both methods may be called concurrently.
type Memory interface {
	// Reserve reserves n bytes and reports whether they are available.
	Reserve(n int) bool
	// Release returns n bytes.
	Release(n int)
}

// noAccount is a Memory without a limit.
type noAccount struct{}

func (noAccount) Reserve(int) bool { return true }
func (noAccount) Release(int)      {}

// reservation is the memory that a connection's current exchange has reserved.
type reservation struct {
	of    Memory
	bytes atomic.Int64
}

// reserve reserves n more bytes and reports whether they are available.
func (r *reservation) reserve(n int) bool {
	if !r.of.Reserve(n) {
		return false
	}
	r.bytes.Add(int64(n))
	return true
}

// releaseAll returns everything that is reserved.
func (r *reservation) releaseAll() {
	if n := r.bytes.Swap(0); n > 0 {
		r.of.Release(int(n))
	}
}

// headLimiter reads from a connection. While the head of a response is read, it limits the size of the head and
// reserves memory for what exceeds the buffer of the connection.
type headLimiter struct {
	from io.Reader
	held *reservation
	// inHead is set while a head is read, of which read bytes have arrived.
	inHead bool
	read   int
}

// begin begins a head.
func (l *headLimiter) begin() { l.inHead, l.read = true, 0 }

// end ends a head.
func (l *headLimiter) end() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.from.Read(p)
	}
	left := MaxResponseHead - l.read
	if left == 0 {
		return 0, &LimitError{Part: PartHead, Limit: MaxResponseHead, Read: int64(l.read)}
	}
	n, err := l.from.Read(p[:min(len(p), left)])
	before := max(l.read, HeadBuffer)
	l.read += n
	if more := l.read - before; more > 0 && !l.held.reserve(more*HeadCost) {
		return 0, fmt.Errorf("read a head of more than %d bytes: %w", before, ErrNoMemory)
	}
	return n, err
}
