package hosted

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
)

const (
	// callTimeout bounds calls other than callers' requests. A copy takes up to 500 ms between
	// data centres.
	callTimeout = 1500 * time.Millisecond
	// probeTimeout bounds a request for an upstream's state.
	probeTimeout = 400 * time.Millisecond
	// callAnswerMax bounds the answers of such calls in bytes.
	callAnswerMax = 64 << 10
)

// errUnreadable: an answer cannot be decoded.
var errUnreadable = errors.New("unreadable answer")

// callAnswer is the answer to a call other than a caller's request.
type callAnswer struct {
	status int
	body   []byte
	// closing is set if the upstream closes the connection afterwards.
	closing bool
}

// call makes a call to an upstream other than a caller's request.
func (s *server) call(ctx context.Context, address string, call Call) (callAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := s.pool.Get(ctx, address)
	if err != nil {
		return callAnswer{}, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	req := &conn.Request{Method: call.Method, Target: call.Target, Host: address, Header: http.Header{}}
	if call.Body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.Body, req.Length = bytes.NewReader(call.Body), int64(len(call.Body))
	}
	if err := c.Write(req); err != nil {
		c.Close()
		return callAnswer{}, err
	}
	resp, err := c.ReadAnswer(call.Method)
	if err != nil {
		c.Close()
		return callAnswer{}, err
	}
	got := callAnswer{status: resp.StatusCode, closing: resp.Close}
	got.body, err = io.ReadAll(io.LimitReader(resp.Body, callAnswerMax))
	if err != nil || !c.Clean(resp) {
		c.Close()
		return got, err
	}
	s.pool.Put(c, conn.KeepAlive(resp.Header))
	return got, nil
}

// report requests an upstream's state.
func (s *server) report(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	got, err := s.call(ctx, address, s.wire.Report())
	if err != nil {
		return Report{}, err
	}
	r, err := s.wire.Reported(got.body)
	if err != nil {
		return Report{}, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	r.Closing = got.closing
	return r, nil
}

// askLeaving asks an upstream whether it is leaving. Its report lags by half a second and
// more, but a leaving upstream closes its connections at once. As others occasionally close
// one too, it takes two in a row.
func (s *server) askLeaving(ctx context.Context, address string) (Report, error) {
	r, err := s.report(ctx, address)
	if err != nil || r.Leaving || !r.Closing {
		return r, err
	}
	if r, err = s.report(ctx, address); err == nil && r.Closing {
		r.Leaving = true
	}
	return r, err
}
