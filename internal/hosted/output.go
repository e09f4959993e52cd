package hosted

import (
	"context"
	"net/http"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/memory"
)

const (
	// maxDirectWrite is the size in bytes up to which a write is left to the socket's send buffer
	// if that is writable. A third of the smallest buffers, 16 KB, is larger.
	maxDirectWrite = 4 << 10
	// maxReadAhead is the maximum number of bytes that are buffered for one caller. The longest
	// streams have 450 events of 2.4 KB.
	maxReadAhead = 1200 << 10
	// partOverhead is what a buffered part takes beside its bytes, for its place in the list and
	// the rounding of its allocation.
	partOverhead = 64
	// socketBuffer is the assumed size in bytes of a connection's full socket buffer in one
	// direction. It counts as memory of the process.
	socketBuffer = 64 << 10
)

// output writes a response to the caller. Parts that the caller does not read as fast as they
// arrive are buffered, so that a slow caller does not hold up the upstream: an upstream cuts off a
// response that stays unread for some seconds. While a caller keeps up, parts are written directly,
// without a goroutine or a copy.
//
// Each part is written once and in order, also if the parts after it come from another upstream.
// A part that was accepted is therefore treated as delivered: a moved or resumed stream continues
// after the last accepted event. If the caller leaves, nothing is resumed for it, and a caller that
// returns names the last event that it has received itself.
type output struct {
	request string
	w       http.ResponseWriter
	flush   *http.ResponseController
	// caller is the caller's connection, nil if it is unknown. conn is the same if parts may be buffered, else nil.
	caller, conn *callerConn
	hold         *hold
	// ctx is the call's context; stop cancels it when the caller has left.
	ctx  context.Context
	stop func()
	// setPaused records whether reading is paused.
	setPaused func(bool)

	mu sync.Mutex
	// wrote is signalled when a buffered part was written or the writing has ended.
	wrote *sync.Cond
	parts [][]byte
	// buffered is the size of the parts that are not written yet, with their overhead, and
	// longest its maximum.
	buffered, longest int64
	// writing is set while a goroutine writes the buffered parts.
	writing bool
	// dropped is the size of the parts that were not written.
	dropped int64
	// slow and waited are set once the caller was too slow and once reading was paused.
	slow, waited bool
	err          error
}

// newOutput returns the output of an exchange. Without readAhead, nothing is buffered.
func newOutput(x *exchange, readAhead bool) *output {
	o := &output{
		request: x.call.ID, w: x.w, flush: http.NewResponseController(x.w), hold: x.hold, ctx: x.ctx, stop: func() { x.cancel(errCallerLeft) },
		setPaused: func(paused bool) {
			x.server.decide(func(now time.Time, _ *forward.Gate) { x.call.SetReadingPaused(now, paused) })
		},
	}
	o.wrote = sync.NewCond(&o.mu)
	o.caller = callerConnOf(x.r.Context())
	if readAhead {
		o.conn = o.caller
	}
	return o
}

// Write implements io.Writer. It returns when the bytes were written or buffered.
func (o *output) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0; {
		piece, write := rest, o.w.Write
		if o.conn != nil {
			piece = rest[:min(len(rest), maxDirectWrite)]
		}
		if !o.keepsUp() {
			if accepted, err := o.buffer(rest); accepted || err != nil {
				return len(p), err
			}
			write = o.writePaused
		}
		if _, err := write(piece); err != nil {
			return 0, o.fail(err)
		}
		rest = rest[len(piece):]
	}
	if err := o.flush.Flush(); err != nil {
		return 0, o.fail(err)
	}
	return len(p), nil
}

// writePaused writes to a slow caller for which there is no memory. Nothing is read meanwhile.
func (o *output) writePaused(p []byte) (int, error) {
	o.mu.Lock()
	o.pause()
	o.mu.Unlock()
	defer o.resume()
	return o.w.Write(p)
}

// keepsUp reports whether the caller has read everything but what fits the socket's send buffer.
func (o *output) keepsUp() bool {
	if o.conn == nil {
		return true
	}
	o.mu.Lock()
	writing := o.writing
	o.mu.Unlock()
	return !writing && o.conn.writable()
}

// buffer adds a part to those that wait for the caller. If there is no memory, it waits until the
// caller has read more. It returns false without an error if nothing waits for the caller any
// more, so that the part can be written directly.
func (o *output) buffer(p []byte) (accepted bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := int64(len(p) + partOverhead)
	if o.writing && !o.reserve(size) {
		o.pause()
		defer o.resume()
		for o.writing && !o.reserve(size) {
			o.wrote.Wait()
		}
	}
	switch {
	case o.err != nil:
		return false, o.err
	case !o.writing && !o.begin(size):
		return false, nil
	}
	o.parts = append(o.parts, append(make([]byte, 0, len(p)), p...))
	return true, nil
}

// reserve reserves memory for a part and reports whether it is available.
func (o *output) reserve(size int64) bool {
	if o.buffered+size > maxReadAhead || !o.hold.reserve(memory.Streams, size) {
		return false
	}
	o.buffered += size
	o.longest = max(o.longest, o.buffered)
	return true
}

// begin starts to read ahead of the caller, if there is memory for the first part.
func (o *output) begin(size int64) bool {
	if !o.reserve(size) {
		return false
	}
	if !o.slow {
		o.slow = true
		o.hold.of.metrics.Count("slow_callers_total", "buffered")
		o.hold.of.log.Info("caller_slow", "request", o.request)
	}
	o.hold.charge(memory.Streams, socketBuffer)
	o.writing = true
	go o.writeBuffered()
	return true
}

// writeBuffered writes the buffered parts until there are none. When the caller disconnects or the
// deadline passes, what is left is dropped.
func (o *output) writeBuffered() {
	stop := context.AfterFunc(o.ctx, o.abort)
	defer stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.parts) > 0 && o.err == nil {
		p := o.parts[0]
		o.parts[0], o.parts = nil, o.parts[1:]
		o.mu.Unlock()
		_, err := o.w.Write(p)
		if err == nil {
			err = o.flush.Flush()
		}
		o.mu.Lock()
		o.err = err
		o.written(p)
	}
	o.parts, o.writing = nil, false
	o.hold.release(memory.Streams, o.buffered+socketBuffer)
	o.buffered, o.dropped = 0, o.buffered
	o.wrote.Broadcast()
	if o.err != nil {
		o.stop()
	}
}

// written releases the memory of a part.
func (o *output) written(p []byte) {
	size := int64(len(p) + partOverhead)
	o.buffered -= size
	o.hold.release(memory.Streams, size)
	o.hold.of.metrics.Add("read_ahead_bytes_total", "written", int64(len(p)))
	o.wrote.Broadcast()
}

// pause records that reading is paused until the caller has read more. The bytes that arrive
// meanwhile fill the socket buffer of the upstream's connection.
func (o *output) pause() {
	account := o.hold.of
	account.paused.Add(1)
	o.hold.charge(memory.Streams, socketBuffer)
	o.setPaused(true)
	if !o.waited {
		o.waited = true
		account.metrics.Count("slow_callers_total", "paused")
		account.log.Info("reading_paused", "request", o.request, "buffered", o.buffered, "memory_in_use", account.inUseShare())
	}
}

// resume records that reading continues.
func (o *output) resume() {
	o.hold.of.paused.Add(-1)
	o.hold.release(memory.Streams, socketBuffer)
	o.setPaused(false)
}

// fail records that a write has failed, because the caller has left, and returns its error.
func (o *output) fail(err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
	}
	o.stop()
	return o.err
}

// callerError returns the error of a write to the caller, or nil.
func (o *output) callerError() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// readAhead returns the largest number of bytes that were buffered for the caller, and the number
// of bytes that were dropped.
func (o *output) readAhead() (longest, dropped int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.longest, o.dropped
}

// drain waits until all accepted parts were written, and returns the error of a write, or nil.
func (o *output) drain() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.writing {
		o.wrote.Wait()
	}
	return o.err
}

// abortAtDeadline makes the writing fail once the call's context ends, until the returned function is called. A
// response without an end must not be written for longer than the deadline to a caller that reads slowly. It is
// called once the head of the response was sent: a refusal could not be written after the abort.
func (o *output) abortAtDeadline() (stop func() bool) {
	return context.AfterFunc(o.ctx, func() {
		if o.caller != nil {
			o.caller.abort()
		}
	})
}

// abort makes the writing of buffered parts fail.
func (o *output) abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writing {
		o.conn.abort()
	}
}

// close drops the parts that are not written. It must be called before the handler of the request
// returns, which may not write after that.
func (o *output) close() {
	o.abort()
	_ = o.drain() // a response that is complete was drained before
}
