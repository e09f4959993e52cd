package hosted

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/memory"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/response"
)

// maxBufferedResponse is the size in bytes up to which a response is buffered before it is
// forwarded, so that a truncated response can be retried.
const maxBufferedResponse = 64 << 10

// firstResponseBuffer is the size in bytes of the first buffer for a response of unknown length. Most
// responses are smaller.
const firstResponseBuffer = 4 << 10

// errUnsigned reports a success response that lacks the upstream's signature.
var errUnsigned = errors.New("success response lacks the upstream's signature")

// errNoStream reports a response without events to a request that goes on with a stream. It can't follow the events
// that the caller has.
var errNoStream = errors.New("response to a resumed stream has no events")

// bufferedResponse is an upstream's response whose body was read into memory.
type bufferedResponse struct {
	status int
	header http.Header
	signed bool
	body   []byte
}

// readResponse reads the head of the response to this request. A late response to an earlier
// request on the connection is read to its end and dropped. If it is longer than
// maxBufferedResponse, the attempt ends: its rest must not be read as the head of the next response. The same holds for
// its body if this request is HEAD, as a response to HEAD is read without one.
func (x *exchange) readResponse(c *conn.Conn, a *forward.Attempt) (*http.Response, Response, error) {
	giveUpAt := time.Now().Add(a.CancelAt.Sub(a.Sent))
	if !a.CancelAt.IsZero() {
		defer func() { _ = c.SetReadDeadline(time.Time{}) }() // fails only on a closed connection
	}
	for range 3 {
		if !a.CancelAt.IsZero() {
			if err := x.awaitResponse(c, giveUpAt); err != nil {
				return nil, Response{}, err
			}
		}
		resp, err := c.ReadResponse(x.r.Method)
		if err != nil {
			return nil, Response{}, err
		}
		x.server.paths.heard(c, a.Entry.Address)
		ans := x.server.wire.DecodeResponse(resp, x.call.ID)
		if ans.Matches {
			x.server.decide(func(now time.Time, _ *forward.Gate) { a.Responded = now })
			x.server.observeStatement(a.Upstream, a.Sent, resp)
			return resp, ans, nil
		}
		x.server.observeStatement(a.Upstream, time.Time{}, resp)
		x.server.metrics.Count("late_answers_total", "dropped")
		_, err = io.Copy(io.Discard, http.MaxBytesReader(nil, resp.Body, maxBufferedResponse))
		if err != nil || resp.Close || x.r.Method == http.MethodHead {
			return nil, Response{}, errors.Join(errOtherRequest, overLimit(err, conn.PartBody))
		}
	}
	return nil, Response{}, errOtherRequest
}

const (
	// replaceInterval is the interval between checks whether an attempt that takes long can be given up.
	replaceInterval = 100 * time.Millisecond
	// headTime is how long the head of a response may take after its first byte if the attempt may be given up.
	headTime = 300 * time.Millisecond
)

// awaitResponse waits for the first byte of a response. An attempt with a time after which it is cancelled is
// given up only once another upstream can take the call: until then its upstream may still respond.
func (x *exchange) awaitResponse(c *conn.Conn, giveUpAt time.Time) error {
	for at := giveUpAt; ; at = time.Now().Add(replaceInterval) {
		_ = c.SetReadDeadline(at) // fails only on a closed connection, on which the read fails, too
		err := c.Await()
		if err == nil {
			_ = c.SetReadDeadline(later(giveUpAt, time.Now().Add(headTime))) // as above
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || x.replace() {
			return err
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// replace reports whether the current attempt is to be given up for another upstream.
func (x *exchange) replace() (taken bool) {
	x.server.decide(func(now time.Time, g *forward.Gate) { taken = g.Replace(now, x.call) })
	return taken
}

// forwardResponse forwards the response and returns the attempt's outcome.
func (x *exchange) forwardResponse(c *conn.Conn, a *forward.Attempt, resp *http.Response, ans Response) (forward.Outcome, error) {
	x.framing = response.FramingOf(resp)
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if success && x.call.Route.Kind == route.Stream && ans.Signed {
		return x.forwardStream(a, resp)
	}
	h, err := x.bufferResponse(resp, ans)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && ans.NotRun:
		return forward.Misdirected, err
	case ans.NotRun:
		return forward.Rejected, err
	case (errors.Is(err, errTooLarge) || errors.Is(err, errNoMemory)) && success && ans.Signed:
		return x.forwardLarge(a, resp, h)
	case err != nil:
		return forward.Lost, err
	case success && !ans.Signed:
		return forward.Lost, errUnsigned
	case x.headSent:
		return forward.Failed, errNoStream
	}
	if x.framing == response.FramedByClose {
		if err := x.awaitEndProof(a); err != nil {
			return forward.Lost, err
		}
	}
	if resp.StatusCode >= http.StatusInternalServerError || forward.PromisesNotRun(resp.StatusCode) {
		// Unless the upstream states otherwise, it may have run the request.
		x.upstreamError = h
		return forward.Failed, nil
	}
	x.firstByte = time.Since(x.started)
	x.writeBuffered(h)
	return forward.Done, nil
}

// errTooLarge reports a response larger than maxBufferedResponse.
var errTooLarge = &conn.LimitError{Part: conn.PartBody, Limit: maxBufferedResponse, Read: maxBufferedResponse + 1}

// bufferResponse reads the body of a response into memory. With an error it returns the bytes that
// were read before. The error is that of the read, errTooLarge if the body is longer than
// maxBufferedResponse, of which one byte beyond this size has then been read, or errNoMemory.
func (x *exchange) bufferResponse(resp *http.Response, ans Response) (*bufferedResponse, error) {
	h := &bufferedResponse{status: resp.StatusCode, header: resp.Header, signed: ans.Signed}
	size := firstResponseBuffer
	if resp.ContentLength >= 0 {
		size = int(min(resp.ContentLength, maxBufferedResponse) + 1)
	}
	for {
		if !x.hold.reserve(memory.Responses, int64(size-cap(h.body))) {
			return h, errNoMemory
		}
		h.body = append(make([]byte, 0, size), h.body...)
		if err := fill(&h.body, resp.Body); err != nil {
			return h, ignoreEOF(err)
		}
		if len(h.body) > maxBufferedResponse {
			return h, errTooLarge
		}
		size = min(2*size, maxBufferedResponse+1)
	}
}

// fill reads until the capacity of a buffer is used up, or returns the error of the reader.
func fill(buf *[]byte, r io.Reader) error {
	for b := *buf; len(b) < cap(b); {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		*buf = b
		if err != nil {
			return err
		}
	}
	return nil
}

// ignoreEOF returns nil for the regular end of a body.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// writeBuffered forwards a buffered response. If the status tells the caller that the request was
// not run, 502 is sent instead. The upstream has not stated that: responses with its own statement
// that it did not run the request are not forwarded.
func (x *exchange) writeBuffered(h *bufferedResponse) {
	if forward.PromisesNotRun(h.status) {
		h = &bufferedResponse{status: http.StatusBadGateway, header: http.Header{}, body: nil}
	}
	x.server.wire.CopyHeaders(x.w.Header(), h.header, h.signed)
	suppressContentSniffing(x.w.Header())
	length := strconv.Itoa(len(h.body))
	if x.r.Method == http.MethodHead {
		length = h.header.Get("Content-Length")
	}
	if length != "" {
		x.w.Header().Set("Content-Length", length)
	}
	x.markHeadSent()
	x.w.WriteHeader(h.status)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(h.body); err != nil {
		x.lastErr, x.writeErr = err, err
	}
}

// markHeadSent records that the head of a response is being forwarded.
func (x *exchange) markHeadSent() {
	x.server.decide(func(time.Time, *forward.Gate) { x.headSent = true })
}

// forwardLarge forwards the buffered beginning of a response, and then the rest as it arrives.
func (x *exchange) forwardLarge(a *forward.Attempt, resp *http.Response, h *bufferedResponse) (forward.Outcome, error) {
	x.server.wire.CopyHeaders(x.w.Header(), resp.Header, true)
	suppressContentSniffing(x.w.Header())
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.markHeadSent()
	x.firstByte = time.Since(x.started)
	x.w.WriteHeader(resp.StatusCode)
	defer x.out.abortAtDeadline()()
	if _, err := x.out.Write(h.body); err != nil {
		return forward.Cut, err
	}
	buf := h.body[:cap(h.body)]
	if len(buf) < firstResponseBuffer {
		buf = make([]byte, firstResponseBuffer)
	}
	if _, err := io.CopyBuffer(x.out, resp.Body, buf); err != nil {
		return forward.Cut, err
	}
	if x.framing == response.FramedByClose {
		if err := x.awaitEndProof(a); err != nil {
			return forward.Cut, err
		}
	}
	return forward.Done, nil
}

// suppressContentSniffing prevents net/http from guessing a content type.
func suppressContentSniffing(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}
