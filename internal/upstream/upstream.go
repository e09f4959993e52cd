// Package upstream calls engines and plain services over HTTP and reports their responses to the
// core as events.
package upstream

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/prompt"
	"mulberrylug.example/mulberrylug/internal/response"
)

const (
	// pollTimeout is the timeout of a load poll, cancelTimeout that of a request to cancel.
	pollTimeout   = 600 * time.Millisecond
	cancelTimeout = 2 * time.Second
	// maxResponse is the maximum size of the response body of a plain service in bytes. A longer one is no
	// answer: its beginning would look complete.
	maxResponse = 1 << 20
	// maxReport is the maximum size of a load report in bytes.
	maxReport = 1 << 20

	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	headerBooking   = "X-Booking-Key"
	// headerBoot carries the engine's boot id in the response to a generation request. The id
	// identifies one run of the engine; its load report contains the same id.
	headerBoot = "X-Engine-Boot"
)

// errGrantExpired means that the grant expired before the call could be sent.
var errGrantExpired = errors.New("grant expired before the call was sent")

// Client calls upstreams and passes the resulting events to sink.
type Client struct {
	sink func(core.Event)
	// pooled reuses connections. It is used for polls and new generations.
	pooled *http.Client
	// unpooled dials a new connection for every call. A booking must not be sent on a pooled
	// connection: if that connection turns out to be dead, the HTTP library sends the call again
	// by itself. A resumed stream must not use a pooled connection either, which may be the very
	// connection that went silent.
	unpooled *http.Client

	mu sync.Mutex
	// running holds the calls in progress by attempt id.
	running map[string]*trackedCall
	// limited holds the upstreams whose last response stated a rate limit.
	limited map[string]bool
}

// trackedCall is a call in progress that can be cancelled.
type trackedCall struct{ cancel context.CancelFunc }

// NewClient returns a client that passes its events to sink.
func NewClient(sink func(core.Event)) *Client {
	dialer := conn.Dialer()
	return &Client{
		sink: sink,
		pooled: newHTTPClient(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: conn.MaxResponseHead,
		}),
		unpooled: newHTTPClient(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: conn.MaxResponseHead}),
		running:  map[string]*trackedCall{},
		limited:  map[string]bool{},
	}
}

// newHTTPClient returns a client that follows no redirect. The library would send a call without a body a second time, to
// the address named in the first response, and give what another server sends as the upstream's response.
func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     response.NewTransport(t),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run starts the call of a dispatch in a goroutine; the result is reported as events. The call
// is tracked before Run returns and can be closed from then on: if it were tracked later, an old
// call could be tracked after the call that replaces it, and would stop the new call.
func (c *Client) Run(ctx context.Context, d core.Dispatch) {
	ctx, stop := context.WithCancel(ctx)
	t := &trackedCall{cancel: stop}
	c.track(d.Attempt, t)
	go func() {
		defer c.untrack(d.Attempt, t)
		ctx, cancel := context.WithTimeout(ctx, d.Timeout)
		defer cancel()
		call := &call{d: d, sink: c.sink, observe: c.observe, sentAt: time.Now()}
		if d.Engine {
			call.generate(ctx, c.client(d))
		} else {
			call.callService(ctx, c.unpooled)
		}
	}()
}

// client returns the HTTP client for a generation: unpooled for a resumed one, pooled for a new
// one.
func (c *Client) client(d core.Dispatch) *http.Client {
	if d.Resume {
		return c.unpooled
	}
	return c.pooled
}

// track records how to cancel an attempt's call. An older call of the same attempt is cancelled,
// as only one call of an attempt may report events.
func (c *Client) track(attempt string, t *trackedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.running[attempt]; old != nil {
		old.cancel()
	}
	c.running[attempt] = t
}

// untrack cancels a call that has ended and removes it, unless a newer call of the same attempt
// has taken its place.
func (c *Client) untrack(attempt string, t *trackedCall) {
	t.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[attempt] == t {
		delete(c.running, attempt)
	}
}

// Running returns the number of calls in progress.
func (c *Client) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// Close stops reading an attempt's response without cancelling the attempt at the upstream.
func (c *Client) Close(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.running[attempt]; t != nil {
		t.cancel()
		delete(c.running, attempt)
	}
}

// Cancel requests an engine to stop a generation. If the request is lost, the pool's home
// cancels the generation, as it does with every generation that no entry announces.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/generations/"+attempt, nil)
	if err != nil {
		return fmt.Errorf("cancel at %s: make request: %w", address, err)
	}
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return fmt.Errorf("cancel at %s: %w", address, err)
	}
	return resp.Body.Close()
}

// Poll requests an upstream's load and reports the result.
func (c *Client) Poll(ctx context.Context, name, address string) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, refused, err := c.pollLoad(ctx, address)
	if err != nil {
		c.sink(core.PollFailed{Upstream: name, Refused: refused})
		return
	}
	report.Upstream = name
	c.sink(core.UpstreamReport{Report: report, PolledAt: asked})
}

// pollLoad requests a load report. refused is true if the upstream's host refused the
// connection.
func (c *Client) pollLoad(ctx context.Context, address string) (r placement.Report, refused bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return r, false, fmt.Errorf("poll %s: %w", address, err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		// The pooled connection may be dead while new connections work.
		c.pooled.CloseIdleConnections()
		return r, isRefused(err), fmt.Errorf("poll %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, false, fmt.Errorf("poll %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxReport)).Decode(&r); err != nil {
		return r, false, fmt.Errorf("poll %s: decode report: %w", address, err)
	}
	return r, false, nil
}

// observe reports what an upstream states in the head of a response, and the first response that
// states no rate limit any more.
func (c *Client) observe(call *call, resp *http.Response) {
	e := core.UpstreamStatement{
		Upstream: call.d.Upstream, Boot: cmp.Or(resp.Header.Get(headerBoot), call.d.Boot), SentAt: call.sentAt, Statement: decodeStatement(resp),
	}
	c.mu.Lock()
	wasLimited := c.limited[e.Upstream]
	if !e.RateUnreadable {
		c.limited[e.Upstream] = e.RateLimit.Stated
	}
	c.mu.Unlock()
	if wasLimited || e.RateLimit.Stated || e.Leaving || e.Pause > 0 || e.Unreadable != nil {
		c.sink(e)
	}
}

// call is a dispatch in progress.
type call struct {
	d    core.Dispatch
	sink func(core.Event)
	// sent is set once the call has a connection: from then on part of the request may have been
	// sent.
	sent bool
	// boot is the boot id of the engine's run, "" until the engine has responded.
	boot string
	// observe reports what the head of the response states. sentAt is the time of the request.
	observe func(c *call, resp *http.Response)
	sentAt  time.Time
}

// request returns an HTTP request for the attempt, or errGrantExpired if the grant has expired.
func (c *call) request(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if !c.d.SendBefore.IsZero() && time.Now().After(c.d.SendBefore) {
		return nil, errGrantExpired
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.sent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request for %s: %w", c.d.Upstream, err)
	}
	// Without GetBody the HTTP library can't send the call a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequestID, c.d.Attempt)
	return req, nil
}

// fail reports a failure, unless the core itself closed the call. A closed call is no failure of
// the upstream, and the core may already read from another call of the attempt.
func (c *call) fail(ctx context.Context, step string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.sink(core.UpstreamFailed{
		Request: c.d.Request, Attempt: c.d.Attempt, Link: c.d.Link, Sent: c.sent, Step: step,
		NotFound: errors.Is(err, errGenerationUnknown) || c.d.Resume && isRefused(err), Err: err.Error(),
	})
}

// callService calls a plain service and reports its complete response.
func (c *call) callService(ctx context.Context, client *http.Client) {
	req, err := c.request(ctx, c.d.Method, "http://"+c.d.Address+c.d.Path, c.d.Body)
	if err != nil {
		c.fail(ctx, "request", err)
		return
	}
	req.Header.Set(headerBooking, c.d.Key)
	resp, err := client.Do(req)
	if err != nil {
		c.fail(ctx, "send", err)
		return
	}
	defer resp.Body.Close()
	c.observe(c, resp)
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponse))
	if err != nil {
		c.fail(ctx, "read", err)
		return
	}
	c.sink(core.UpstreamResponse{Request: c.d.Request, Attempt: c.d.Attempt, Status: resp.StatusCode, Body: body})
}

// generate starts or resumes a generation and reports its tokens.
func (c *call) generate(ctx context.Context, client *http.Client) {
	req, err := c.generationRequest(ctx)
	if err != nil {
		c.fail(ctx, "request", err)
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		c.fail(ctx, "send", err)
		return
	}
	defer resp.Body.Close()
	c.observe(c, resp)
	if resp.StatusCode != http.StatusOK {
		c.fail(ctx, "status", statusError(c.d, resp.StatusCode))
		return
	}
	c.boot = resp.Header.Get(headerBoot)
	if err := c.readStream(resp.Body); err != nil {
		c.fail(ctx, "stream", err)
	}
}

// generationRequest returns the HTTP request that starts the generation, or resumes it at token
// From.
func (c *call) generationRequest(ctx context.Context) (*http.Request, error) {
	if c.d.Resume {
		url := "http://" + c.d.Address + "/v1/generations/" + c.d.Attempt + "?from=" + strconv.Itoa(c.d.From)
		return c.request(ctx, http.MethodGet, url, nil)
	}
	body, err := prompt.ForEngine(c.d.Body, c.d.MaxToken)
	if err != nil {
		return nil, err
	}
	req, err := c.request(ctx, http.MethodPost, "http://"+c.d.Address+c.d.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerPriority, strconv.Itoa(c.d.Priority))
	return req, nil
}

// errGenerationUnknown means that the engine no longer has the generation.
var errGenerationUnknown = errors.New("the engine no longer has the generation")

// statusError returns the error for a response to a generation request with a status other than
// 200.
func statusError(d core.Dispatch, status int) error {
	if d.Resume && status == http.StatusNotFound {
		return errGenerationUnknown
	}
	return fmt.Errorf("%s responded with status %d", d.Upstream, status)
}

// isRefused reports whether the connection was refused, that is, no process listens at the
// address. Only the host itself can refuse a connection; an unreachable network shows nothing
// about the upstream.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
