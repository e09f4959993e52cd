package hosted

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/memory"
)

const (
	// requestBytes is what a request in progress takes beside its body and response: the buffers of
	// its two connections, its headers and the stacks of its goroutines. A process grows by 50 KB
	// for each of 600 requests, of which up to half is garbage that is not collected yet.
	requestBytes = 32 << 10
	// maxBufferedBody is the size in bytes up to which a body is buffered, so that it can be
	// sent to another upstream in a retry. The longest prompts take 34 KB.
	maxBufferedBody = 64 << 10
)

// maxBodyTime is how long a caller may take to send the part of a body that is buffered. It suits 64 KB at 2 KB a second.
const maxBodyTime = 30 * time.Second

// errNoMemory reports that the memory account has no more.
var errNoMemory = errors.New("the memory account has no more")

// body is the body of a caller's request.
type body struct {
	// data is the body, or its beginning if rest is set.
	data []byte
	// rest is the unread remainder, or nil.
	rest io.Reader
	// length is the declared length in bytes; -1 for chunked bodies.
	length int64
	// present is unset if the request has no body.
	present bool
	// from reads the body from the caller's connection, and reading counts the goroutines that may do so.
	from    *followedReader
	reading sync.WaitGroup
}

// followedReader notes that its end was read. Only one that has seen it shows where the next request begins.
type followedReader struct {
	io.Reader
	ended atomic.Bool
	// read is the number of bytes read, and most the permitted one; 0 means no limit. Beyond it, exceeded is called
	// and reads fail.
	read, most int64
	exceeded   func()
}

// limit sets the maximum length of the body in bytes, 0 for none. It is called while nothing reads the body.
func (f *followedReader) limit(most int64, exceeded func()) { f.most, f.exceeded = most, exceeded }

// Read implements io.Reader.
func (f *followedReader) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	f.read += int64(n)
	if f.most > 0 && f.read > f.most {
		f.exceeded()
		return 0, errBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		f.ended.Store(true)
	}
	return n, err
}

// announceClose tells the caller that its connection ends with the response, unless the body was read to its end.
func (b *body) announceClose(w http.ResponseWriter) {
	if !b.from.ended.Load() {
		w.Header().Set("Connection", "close")
	}
}

// finish is called before the handler of a request returns, by which time nothing may read its body any more. Only
// here it is decided whether the caller's connection can carry another request: if the body was read to its end.
// c is nil if the connection is not known.
func (b *body) finish(c *callerConn) {
	if c != nil && !b.from.ended.Load() {
		c.stopReading()
	}
	b.reading.Wait()
}

// replayable reports whether the body is fully buffered, so that it can be sent again.
func (b *body) replayable() bool { return b.rest == nil }

// reader returns the body from its beginning. It can be called only once if the body is not
// replayable.
func (b *body) reader() io.Reader {
	switch {
	case !b.present:
		return nil
	case b.rest == nil:
		return bytes.NewReader(b.data)
	default:
		return io.MultiReader(bytes.NewReader(b.data), b.rest)
	}
}

// bufferSize returns the memory in bytes that the body takes.
func (b *body) bufferSize() int64 {
	if b.length >= 0 {
		return min(b.length, maxBufferedBody)
	}
	return maxBufferedBody
}

// newBody returns the body of a request, of which nothing has been read.
func newBody(r *http.Request) *body {
	b := &body{from: &followedReader{Reader: r.Body}, length: r.ContentLength, present: r.ContentLength != 0}
	b.from.ended.Store(!b.present)
	return b
}

// bodyTimeout returns the time limit of the part of a body that is buffered. A caller that states how long it waits for
// the response does not send for longer; 0 means that it states nothing.
func bodyTimeout(ofCaller time.Duration) time.Duration {
	if ofCaller <= 0 {
		return maxBodyTime
	}
	return min(ofCaller, maxBodyTime)
}

// fillWithin is like fill, with a time limit, after which the error is os.ErrDeadlineExceeded. Without it a caller that
// stops in the middle of a body holds its connection and its memory for as long as it likes.
func (b *body) fillWithin(limit time.Duration, w http.ResponseWriter, h *hold) error {
	if !b.present {
		return nil
	}
	c := http.NewResponseController(w)
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return fmt.Errorf("limit the time of a body: %w", err)
	}
	if err := b.fill(h); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("lift the time limit of a body: %w", err)
	}
	return nil
}

// fill reads a small body, or the beginning of a large one, into memory that is reserved in a
// hold. It returns errNoMemory, before it has read anything, if there is none.
func (b *body) fill(h *hold) error {
	if !b.present {
		return nil
	}
	size := b.bufferSize()
	if !h.reserve(memory.Bodies, size) {
		return errNoMemory
	}
	var err error
	b.data, err = io.ReadAll(io.LimitReader(b.from, size))
	if err != nil {
		return err
	}
	if int64(len(b.data)) == size && b.length != size {
		b.rest = b.from
	}
	return nil
}
