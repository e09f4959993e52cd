package hosted

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/memory"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/response"
)

// maxEventBytes is the maximum size of an event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = &conn.LimitError{Part: conn.PartEvent, Limit: maxEventBytes, Read: maxEventBytes + 1}

// errNoEvent reports a stream that ended before its first event. An answer has at least one, unless its caller has them
// all; without a length or chunks, an engine that crashed looks like this.
var errNoEvent = errors.New("stream ended before its first event")

// usualEventBytes is the size up to which the buffer of an event is a part of requestBytes. Most
// events are smaller.
const usualEventBytes = 4 << 10

// eventReader splits a stream into server-sent events without changing a byte.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	// reserve reserves memory for events larger than usualEventBytes.
	reserve func(n int64) error
	// reserved is the number of bytes reserved so far.
	reserved int64
}

func newEventReader(r io.Reader, reserve func(n int64) error) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 2048), reserve: reserve}
}

// grow makes room for n more bytes of the event.
func (e *eventReader) grow(n int) error {
	need := len(e.buf) + n
	if need <= cap(e.buf) {
		return nil
	}
	size := max(need, 2*cap(e.buf))
	if more := int64(size-usualEventBytes) - e.reserved; more > 0 {
		if err := e.reserve(more); err != nil {
			return err
		}
		e.reserved += more
	}
	e.buf = append(make([]byte, 0, size), e.buf...)
	return nil
}

// next returns the next event including the empty line that ends it. At the end of the stream it
// returns io.EOF, or the incomplete event with io.ErrUnexpectedEOF if the stream ends within
// one. The returned bytes are valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	e.buf = e.buf[:0]
	for lineBegins := true; ; {
		line, err := e.r.ReadSlice('\n')
		if err := e.grow(len(line)); err != nil {
			return nil, err
		}
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEventBytes {
			return nil, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			lineBegins = false // what follows is the rest of the line, even if it is only its end
			continue
		case errors.Is(err, io.EOF) && len(e.buf) > 0:
			return e.buf, io.ErrUnexpectedEOF
		case err != nil:
			return e.buf, err
		}
		if lineBegins && (len(line) == 1 || len(line) == 2 && line[0] == '\r') && len(e.buf) > len(line) {
			return e.buf, nil
		}
		lineBegins = true
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

// isComment reports whether a block of a stream has only comments, as a server sends to keep a connection alive.
func isComment(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// forwardStream forwards complete events as they arrive. A partial event must not reach the
// caller, because the stream may continue on another upstream.
func (x *exchange) forwardStream(a *forward.Attempt, resp *http.Response) (forward.Outcome, error) {
	events := newEventReader(resp.Body, x.reserveEvent)
	defer func() { x.hold.release(memory.Streams, events.reserved) }()
	x.gaps.startAttempt()
	var forget func() bool
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && x.call.Events == 0 && !x.mayLackEvents() {
			return x.brokenStreamOutcome(), errNoEvent
		}
		if errors.Is(err, io.EOF) {
			if err := x.confirmStreamEnd(a); err != nil {
				return x.brokenStreamOutcome(), fmt.Errorf("end of the stream after %d events: %w", x.call.Events, err)
			}
			if !x.sendHead(resp) {
				return forward.Lost, errConvicted
			}
			x.clearEnded()
			return forward.Done, nil
		}
		if err != nil {
			return x.brokenStreamOutcome(), fmt.Errorf("read stream after %d events: %w", x.call.Events, err)
		}
		id, comment := eventID(event), isComment(event)
		if !comment {
			if err := x.checkOrder(id); err != nil {
				return x.brokenStreamOutcome(), err
			}
		}
		if !comment && x.call.Events == 0 {
			x.recordOrigin()
		}
		if !x.sendHead(resp) {
			return forward.Lost, errConvicted
		}
		if forget == nil {
			forget = x.out.abortAtDeadline()
			defer forget()
		}
		if !comment {
			x.observeGap()
		}
		if _, err := x.out.Write(event); err != nil {
			return forward.Cut, fmt.Errorf("forward event: %w", err)
		}
		if !comment {
			x.recordProgress(id)
		}
	}
}

// observeGap measures the interval between two events.
func (x *exchange) observeGap() {
	if gap, ok := x.gaps.record(time.Now()); ok {
		x.server.metrics.Observe("event_gap_milliseconds", x.call.Route.Name, gap)
	}
}

// mayLackEvents reports whether a response without an event may be complete: its end is proved by its own bytes, and
// the caller may have all events of the stream that it takes up.
func (x *exchange) mayLackEvents() bool {
	return x.call.AfterEvent != "" && x.framing != response.FramedByClose
}

// memoryPollInterval is the interval between attempts to reserve memory for a large event.
const memoryPollInterval = 100 * time.Millisecond

// reserveEvent reserves memory for a large event. While there is none, reading pauses.
func (x *exchange) reserveEvent(n int64) error {
	if x.hold.reserve(memory.Streams, n) {
		return nil
	}
	x.out.mu.Lock()
	x.out.pause()
	x.out.mu.Unlock()
	defer x.out.resume()
	for !x.hold.reserve(memory.Streams, n) {
		select {
		case <-x.ctx.Done():
			return fmt.Errorf("reserve %d bytes for an event: %w", n, errNoMemory)
		case <-time.After(memoryPollInterval):
		}
	}
	return nil
}

// errOutOfOrder reports that an attempt began with an event that is not the next one for the caller, or repeated one.
var errOutOfOrder = errors.New("event out of order")

// checkOrder returns an error if an event must not be passed on behind what the caller has. It counts the events that
// are not the next ones, and logs the first of each order of an attempt: a stream without numbers has no other ones.
func (x *exchange) checkOrder(id string) error {
	if x.call.Events == 0 {
		x.firstEvent = id
	}
	order := x.call.OrderOf(id) // only this goroutine changes what it reads
	if order == forward.InOrder {
		return nil
	}
	ok, last := x.call.MayFollow(order), x.call.LastEvent
	x.server.metrics.Count("events_out_of_order_total", string(order))
	if ok && slices.Contains(x.loggedOrders, order) {
		return nil
	}
	x.loggedOrders = append(x.loggedOrders, order)
	x.server.log.Info("event_out_of_order", "request", x.call.ID, "upstream", x.upstream, "order", order, "event", id, "last_event", last,
		"after_event", x.call.AfterEvent, "events", x.call.Events, "passed_on", ok)
	if ok {
		return nil
	}
	return fmt.Errorf("%w: %s, event %q after %q", errOutOfOrder, order, id, cmp.Or(last, x.call.AfterEvent))
}

// recordProgress records an event that was accepted by the output. On the first event it notifies the
// pool's home that the prefill is complete.
func (x *exchange) recordProgress(id string) {
	pace := x.gaps.pace()
	first := false
	var sound []uint64
	x.server.decide(func(now time.Time, g *forward.Gate) {
		first = x.call.Events == 0
		x.call.Progress(now, id)
		x.pace = pace
		sound = g.NewlySound(now, x.call)
	})
	x.clearSound(sound)
	if first && x.home != "" {
		x.server.homes.send(x.home, msg.FirstToken{Pool: x.call.Pool, Attempt: x.call.Grant()})
	}
}

// clearEnded records that a short answer is complete.
func (x *exchange) clearEnded() {
	var sound []uint64
	x.server.decide(func(now time.Time, g *forward.Gate) { sound = g.SoundlyEnded(now, x.call) })
	x.clearSound(sound)
}

// brokenStreamOutcome returns the outcome of a stream that ended early: Cut if the caller has
// already received the head of the response, otherwise Lost.
func (x *exchange) brokenStreamOutcome() forward.Outcome {
	if x.headSent {
		return forward.Cut
	}
	return forward.Lost
}

// errConvicted reports that the parts of the prompt were convicted before the first event.
var errConvicted = errors.New("parts of the prompt were convicted before the first event")

// sendHead forwards the head of the response unless this was done before. It returns false if the request was
// stopped because of its parts.
func (x *exchange) sendHead(resp *http.Response) bool {
	if x.headSent {
		return true
	}
	x.server.decide(func(time.Time, *forward.Gate) { x.headSent = !x.isConvicted() })
	if !x.headSent {
		return false
	}
	x.firstByte = time.Since(x.started)
	x.server.wire.CopyHeaders(x.w.Header(), resp.Header, true)
	suppressContentSniffing(x.w.Header())
	x.w.WriteHeader(resp.StatusCode)
	return true
}
