package hosted

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxHeldBody is the size up to which a body is buffered, so that it can be sent again
	// elsewhere. The longest prompts take 34 KB.
	maxHeldBody = 64 << 10
	// heldShare is the fraction of the machine's memory for buffered bodies.
	heldShare = 0.15
	// minHeldTotal is its minimum, for machines whose memory is unknown.
	minHeldTotal = 4 << 20
)

// holder bounds the memory for bodies of requests in progress.
type holder struct {
	limit int64
	held  atomic.Int64
}

func newHolder(memory int64) *holder {
	return &holder{limit: max(int64(heldShare*float64(memory)), minHeldTotal)}
}

// body is the body of a caller's request.
type body struct {
	// data is the body, or its beginning if rest is set.
	data []byte
	// rest is the unread remainder, or nil.
	rest io.Reader
	// length is the declared length; -1 for chunked bodies.
	length  int64
	present bool
	release func()
}

// whole reports whether the body can be sent again.
func (b *body) whole() bool { return b.rest == nil }

// reader returns the body from its beginning; only once if it is not whole.
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

// hold buffers a small body, and the beginning of a large one. ok is false if there is no
// memory.
func (h *holder) hold(r *http.Request) (b *body, ok bool, err error) {
	if r.ContentLength == 0 {
		return &body{release: func() {}}, true, nil
	}
	size := int64(maxHeldBody)
	if r.ContentLength > 0 && r.ContentLength < size {
		size = r.ContentLength
	}
	if h.held.Add(size) > h.limit {
		h.held.Add(-size)
		return nil, false, nil
	}
	b = &body{present: true, length: r.ContentLength, release: func() { h.held.Add(-size) }}
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
