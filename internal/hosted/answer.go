package hosted

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// bufferedAnswer is the size up to which an answer is buffered before it is passed on, so that
// a truncated one can be retried.
const bufferedAnswer = 64 << 10

// errUnsigned: a success lacks the upstream's signature.
var errUnsigned = errors.New("success without a signature")

// held is a buffered answer.
type held struct {
	status int
	header http.Header
	signed bool
	body   []byte
}

// answer reads the head of this request's answer. A late answer to an earlier request on the
// connection is drained.
func (x *exchange) answer(c *conn.Conn, a *forward.Attempt) (*http.Response, Answer, error) {
	if !a.GiveUp.IsZero() {
		_ = c.SetReadDeadline(time.Now().Add(a.GiveUp.Sub(a.Sent))) // fails only on a closed connection, as the read then does
		defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	}
	for range 3 {
		resp, err := c.ReadAnswer(x.r.Method)
		if err != nil {
			return nil, Answer{}, err
		}
		ans := x.server.wire.Answer(resp, x.call.ID)
		if ans.Ours {
			return resp, ans, nil
		}
		x.server.metrics.Count("late_answers_total", "dropped")
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, bufferedAnswer)); err != nil || resp.Close {
			break
		}
	}
	return nil, Answer{}, errNotOurs
}

// pass forwards the answer and returns the attempt's outcome.
func (x *exchange) pass(c *conn.Conn, a *forward.Attempt, resp *http.Response, ans Answer) (forward.Outcome, error) {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if success && x.call.Route.Kind == route.Stream && ans.Signed {
		return x.passStream(resp)
	}
	h, err := readHeld(resp, ans)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && ans.NotRun:
		return forward.Misdirected, err
	case ans.NotRun:
		return forward.Rejected, err
	case errors.Is(err, errTooLarge) && success && ans.Signed:
		return x.passLarge(resp, h)
	case err != nil:
		return forward.Lost, err
	case success && !ans.Signed:
		return forward.Lost, errUnsigned
	case resp.StatusCode >= http.StatusInternalServerError || forward.PromisesNotRun(resp.StatusCode):
		// An upstream that does not say otherwise may have run the request.
		x.failure = h
		return forward.Failed, nil
	}
	x.first = time.Since(x.started)
	x.write(h)
	return forward.Done, nil
}

var errTooLarge = errors.New("answer is too large to be held")

func readHeld(resp *http.Response, ans Answer) (*held, error) {
	h := &held{status: resp.StatusCode, header: resp.Header, signed: ans.Signed}
	var err error
	h.body, err = io.ReadAll(io.LimitReader(resp.Body, bufferedAnswer+1))
	if err == nil && len(h.body) > bufferedAnswer {
		err = errTooLarge
	}
	return h, err
}

// write forwards a buffered answer. A status that means "not run" is replaced unless the
// upstream has stated it.
func (x *exchange) write(h *held) {
	if forward.PromisesNotRun(h.status) {
		h = &held{status: http.StatusBadGateway, header: http.Header{}, body: nil}
	}
	x.server.wire.Passed(x.w.Header(), h.header, h.signed)
	plainType(x.w.Header())
	x.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	x.begun = true
	x.w.WriteHeader(h.status)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(h.body); err != nil {
		x.lastErr = err
	}
}

// passLarge forwards an answer as it arrives, after its buffered beginning.
func (x *exchange) passLarge(resp *http.Response, h *held) (forward.Outcome, error) {
	x.server.wire.Passed(x.w.Header(), resp.Header, true)
	plainType(x.w.Header())
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.begun = true
	x.first = time.Since(x.started)
	x.w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(h.body), resp.Body)); err != nil {
		return forward.Cut, err
	}
	return forward.Done, nil
}

// plainType prevents net/http from guessing a content type.
func plainType(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}
