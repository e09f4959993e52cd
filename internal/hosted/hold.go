package hosted

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxBufferedBody is the size in bytes up to which a body is buffered, so that it can be
	// sent to another upstream in a retry. The longest prompts take 34 KB.
	maxBufferedBody = 64 << 10
	// bodyMemoryShare is the fraction of the machine's memory for buffered bodies.
	bodyMemoryShare = 0.15
	// minBodyMemory is the minimum memory for buffered bodies in bytes, for machines whose
	// memory size is unknown.
	minBodyMemory = 4 << 20
)

// bodyBuffers limits the memory for buffered bodies of requests in progress. limit and inUse are
// in bytes.
type bodyBuffers struct {
	limit int64
	inUse atomic.Int64
}

func newBodyBuffers(memory int64) *bodyBuffers {
	return &bodyBuffers{limit: max(int64(bodyMemoryShare*float64(memory)), minBodyMemory)}
}

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
	// release returns the memory of the body.
	release func()
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

// buffer reads a small body, or the beginning of a large one, into memory. ok is false if the
// limit would be exceeded.
func (h *bodyBuffers) buffer(r *http.Request) (b *body, ok bool, err error) {
	if r.ContentLength == 0 {
		return &body{release: func() {}}, true, nil
	}
	size := int64(maxBufferedBody)
	if r.ContentLength > 0 && r.ContentLength < size {
		size = r.ContentLength
	}
	if h.inUse.Add(size) > h.limit {
		h.inUse.Add(-size)
		return nil, false, nil
	}
	b = &body{present: true, length: r.ContentLength, release: func() { h.inUse.Add(-size) }}
	b.data, err = io.ReadAll(io.LimitReader(r.Body, size))
	if err != nil {
		b.release()
		return nil, true, err
	}
	if int64(len(b.data)) == size && r.ContentLength != size {
		b.rest = r.Body
	}
	return b, true, nil
}
