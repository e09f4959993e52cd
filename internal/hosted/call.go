package hosted

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
)

const (
	// callTimeout limits a call to an upstream other than a caller's request. Copying a
	// generation's memory between data centres takes up to 500 ms.
	callTimeout = 1500 * time.Millisecond
	// probeTimeout limits a request for an upstream's report of its state.
	probeTimeout = 400 * time.Millisecond
	// maxCallResponse is the maximum size of the response body of such a call, in bytes.
	maxCallResponse = 64 << 10
	// usualCallResponse is the size in bytes of a body that needs no reservation. The report of an engine with
	// 24 generations takes 2 KB.
	usualCallResponse = 4 << 10
)

// errUnreadable reports a response that cannot be decoded.
var errUnreadable = errors.New("response cannot be decoded")

// callResponse is the response to a call other than a caller's request.
type callResponse struct {
	status int
	body   []byte
	// closing is set if the upstream closes the connection after this response.
	closing bool
}

// call makes a call to an upstream, other than a caller's request, on a pooled connection. It takes at most
// callTimeout.
func (s *server) call(ctx context.Context, address string, call UpstreamCall) (callResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.callWithin(ctx, address, call)
}

// callWithin is like call, with the time limit of the context.
func (s *server) callWithin(ctx context.Context, address string, call UpstreamCall) (callResponse, error) {
	c, err := s.conns.Get(ctx, address)
	if err != nil {
		return callResponse{}, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		if !stop() {
			c.Close() // what closes it may run only later
		}
		s.conns.Put(c)
	}()
	req := &conn.Request{Method: call.Method, Target: call.Target, Host: address, Header: http.Header{}}
	if call.Body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.Body, req.Length = bytes.NewReader(call.Body), int64(len(call.Body))
	}
	sentAt := boottime.Now()
	if err := c.Write(req); err != nil {
		return callResponse{}, err
	}
	resp, err := c.ReadResponse(call.Method)
	if err != nil {
		s.noteOverLimit(address, call, err)
		go s.paths.checkSilent(address)
		return callResponse{}, err
	}
	s.paths.heard(c, address)
	if !s.wire.DecodeResponse(resp, "").Matches && !s.wire.DecodeResponse(resp, call.Request).Matches {
		c.Close() // a late response to a caller's request
		s.metrics.Count("late_answers_total", "dropped")
		return callResponse{}, errOtherRequest
	}
	s.observeStatementFrom(address, sentAt, resp)
	got := callResponse{status: resp.StatusCode, closing: resp.Close}
	if got.body, err = readCallBody(c, resp); err != nil {
		s.noteOverLimit(address, call, err)
	}
	return got, err
}

// requestReport requests an upstream's report of its state.
func (s *server) requestReport(ctx context.Context, address string) (Report, error) {
	if err := s.permitProbe(ctx, address); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	got, err := s.call(ctx, address, s.wire.ReportCall())
	if err != nil {
		return Report{}, err
	}
	var r Report
	if got.status == http.StatusOK {
		r, err = s.wire.DecodeReport(got.body)
	}
	if err != nil {
		return Report{}, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	if r.Leaving {
		s.observeLeavingAt(address)
	}
	r.Status, r.Closing = got.status, got.closing
	return r, nil
}

// probeLeaving requests an upstream's report and decides whether the upstream is leaving. The
// report lags by half a second or more, but a leaving upstream closes each connection
// immediately. Since other upstreams occasionally close a connection, too, only two closed
// connections in a row count.
func (s *server) probeLeaving(ctx context.Context, address string) (Report, error) {
	r, err := s.requestReport(ctx, address)
	if err != nil || r.Leaving || !r.Closing {
		return r, err
	}
	if r, err = s.requestReport(ctx, address); err == nil && r.Closing {
		r.Leaving = true
	}
	return r, err
}
