package hosted

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// maxEventBytes is the maximum size of an event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("event is too large")

// eventReader splits a stream into server-sent events without changing a byte.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReaderSize(r, 2048)} }

// next returns the next event including the empty line that ends it. At the end of the stream it
// returns io.EOF, or the incomplete event with io.ErrUnexpectedEOF if the stream ends within
// one. The returned bytes are valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEventBytes {
			return nil, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.buf) > 0:
			return e.buf, io.ErrUnexpectedEOF
		case err != nil:
			return e.buf, err
		}
		if (len(line) == 1 || len(line) == 2 && line[0] == '\r') && len(e.buf) > len(line) {
			return e.buf, nil
		}
	}
}

// eventID returns an event's id, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// forwardStream forwards complete events as they arrive. A partial event must not reach the
// caller, because the stream may continue on another upstream.
func (x *exchange) forwardStream(resp *http.Response) (forward.Outcome, error) {
	events := newEventReader(resp.Body)
	flush := http.NewResponseController(x.w)
	x.gaps.startAttempt()
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			x.sendHead(resp)
			return forward.Done, nil
		}
		if err != nil {
			return x.brokenStreamOutcome(), fmt.Errorf("read stream after %d events: %w", x.call.Events, err)
		}
		x.sendHead(resp)
		if gap, ok := x.gaps.record(time.Now()); ok {
			x.server.metrics.Observe("event_gap_milliseconds", x.call.Route.Name, gap)
		}
		if _, err := x.w.Write(event); err != nil {
			return forward.Cut, fmt.Errorf("forward event: %w", err)
		}
		if err := flush.Flush(); err != nil {
			return forward.Cut, fmt.Errorf("forward event: %w", err)
		}
		x.recordProgress(eventID(event))
	}
}

// recordProgress records a forwarded event. On the first event it notifies the pool's home that
// the prefill is complete.
func (x *exchange) recordProgress(id string) {
	pace := x.gaps.pace()
	first := false
	x.server.decide(func(now time.Time, _ *forward.Gate) {
		first = x.call.Events == 0
		x.call.Progress(now, id)
		x.pace = pace
	})
	if first && x.home != "" {
		x.server.homes.send(x.home, msg.FirstToken{Pool: x.call.Pool, Attempt: x.call.Grant()})
	}
}

// brokenStreamOutcome returns the outcome of a stream that ended early: Cut if the caller has
// already received the head of the response, otherwise Lost.
func (x *exchange) brokenStreamOutcome() forward.Outcome {
	if x.headSent {
		return forward.Cut
	}
	return forward.Lost
}

// sendHead forwards the head of the response unless this was done before.
func (x *exchange) sendHead(resp *http.Response) {
	if x.headSent {
		return
	}
	x.headSent = true
	x.firstByte = time.Since(x.started)
	x.server.wire.CopyHeaders(x.w.Header(), resp.Header, true)
	suppressContentSniffing(x.w.Header())
	x.w.WriteHeader(resp.StatusCode)
}
