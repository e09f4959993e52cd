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

// maxEvent bounds an event of a stream in bytes.
const maxEvent = 1 << 20

var errEventTooLarge = errors.New("event is too large")

// eventReader splits a stream into events without changing a byte.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReaderSize(r, 2048)} }

// next returns the next event including the empty line that ends it. It returns io.EOF at a
// clean end and the remainder with io.ErrUnexpectedEOF within an event. The bytes are valid
// until the next call.
func (e *eventReader) next() ([]byte, error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEvent {
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

// passStream forwards whole events as they arrive. A partial one must not reach the caller, as
// the stream may continue on another upstream.
func (x *exchange) passStream(resp *http.Response) (forward.Outcome, error) {
	events := newEventReader(resp.Body)
	flush := http.NewResponseController(x.w)
	x.gaps.attempt()
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			x.begin(resp)
			return forward.Done, nil
		}
		if err != nil {
			return x.streamEnded(), fmt.Errorf("read stream after %d events: %w", x.call.Events, err)
		}
		x.begin(resp)
		if pause, ok := x.gaps.note(time.Now()); ok {
			x.server.metrics.Observe("event_gap_milliseconds", x.call.Route.Name, pause)
		}
		if _, err := x.w.Write(event); err != nil {
			return forward.Cut, fmt.Errorf("pass event on: %w", err)
		}
		if err := flush.Flush(); err != nil {
			return forward.Cut, fmt.Errorf("pass event on: %w", err)
		}
		x.progress(eventID(event))
	}
}

// progress records a forwarded event. The first one tells the pool's home that the prefill is
// complete.
func (x *exchange) progress(id string) {
	pace := x.gaps.pace()
	first := false
	x.server.decide(func(now time.Time, _ *forward.Gate) {
		first = x.call.Events == 0
		x.call.Progress(now, id)
		x.pace = pace
	})
	if first && x.home != "" {
		x.server.homes.send(x.home, msg.Begun{Pool: x.call.Pool, Attempt: x.call.Grant()})
	}
}

// streamEnded returns the outcome of a stream that ended early.
func (x *exchange) streamEnded() forward.Outcome {
	if x.begun {
		return forward.Cut
	}
	return forward.Lost
}

// begin forwards the head, once.
func (x *exchange) begin(resp *http.Response) {
	if x.begun {
		return
	}
	x.begun = true
	x.first = time.Since(x.started)
	x.server.wire.Passed(x.w.Header(), resp.Header, true)
	plainType(x.w.Header())
	x.w.WriteHeader(resp.StatusCode)
}
