// Package upstream calls engines and plain services over HTTP and turns what
// they answer into events of the core.
package upstream

import (
	"bytes"
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
)

const (
	pollTimeout   = 600 * time.Millisecond
	cancelTimeout = 2 * time.Second
	// maxAnswer bounds a plain service's answer in bytes.
	maxAnswer = 1 << 20

	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	headerBooking   = "X-Booking-Key"
	// headerBoot names the engine's run in the answer to a generation, as its
	// load report does.
	headerBoot = "X-Engine-Boot"
)

// errLapsed means that the grant lapsed before the call could be sent.
var errLapsed = errors.New("grant lapsed before the call was sent")

// Caller makes calls to upstreams. Its events go to the sink.
type Caller struct {
	sink func(core.Event)
	// pooled reuses connections: for polls, cancels and fresh generations.
	pooled *http.Client
	// single dials anew for every call. A booking must not be sent on a
	// pooled connection: if that turns out dead, the library sends the call
	// again by itself. A resumed stream must not either: the pooled
	// connection may be the very one that went silent.
	single *http.Client

	mu      sync.Mutex
	running map[string]*tracked
}

// tracked is a call that can be stopped.
type tracked struct{ stop context.CancelFunc }

// NewCaller returns a caller whose events go to sink.
func NewCaller(sink func(core.Event)) *Caller {
	dialer := conn.Dialer()
	return &Caller{
		sink:   sink,
		pooled: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}},
		single: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
			// A redirect would make the library send a call without a body
			// a second time, to wherever the first answer names.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		running: map[string]*tracked{},
	}
}

// Run starts the call of a dispatch, which then reports how it goes. The call
// can be closed from the moment that Run returns: a call that began later than
// the one that replaces it would stop that one.
func (c *Caller) Run(ctx context.Context, d core.Dispatch) {
	ctx, stop := context.WithCancel(ctx)
	t := &tracked{stop: stop}
	c.track(d.Attempt, t)
	go func() {
		defer c.untrack(d.Attempt, t)
		ctx, cancel := context.WithTimeout(ctx, d.Timeout)
		defer cancel()
		call := &call{d: d, sink: c.sink}
		if d.Engine {
			call.generate(ctx, c.client(d))
		} else {
			call.plain(ctx, c.single)
		}
	}()
}

func (c *Caller) client(d core.Dispatch) *http.Client {
	if d.Resume {
		return c.single
	}
	return c.pooled
}

// track remembers how to stop an attempt's call; an older call of the same
// attempt is stopped, as only one of them may report.
func (c *Caller) track(attempt string, t *tracked) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.running[attempt]; old != nil {
		old.stop()
	}
	c.running[attempt] = t
}

func (c *Caller) untrack(attempt string, t *tracked) {
	t.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[attempt] == t {
		delete(c.running, attempt)
	}
}

// Running returns how many calls are in progress.
func (c *Caller) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// Close stops reading from an attempt without cancelling it upstream.
func (c *Caller) Close(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.running[attempt]; t != nil {
		t.stop()
		delete(c.running, attempt)
	}
}

// Cancel tells an engine to stop a generation. A lost cancel is made good by
// the pool's home, which cancels what no entry announces.
func (c *Caller) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/generations/"+attempt, nil)
	if err != nil {
		return fmt.Errorf("cancel at %s: %w", address, err)
	}
	resp, err := c.single.Do(req)
	if err != nil {
		return fmt.Errorf("cancel at %s: %w", address, err)
	}
	return resp.Body.Close()
}

// Poll asks an upstream for its load.
func (c *Caller) Poll(ctx context.Context, name, address string) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, refused, err := c.load(ctx, address)
	if err != nil {
		c.sink(core.UpstreamSilent{Upstream: name, Refused: refused})
		return
	}
	report.Upstream = name
	c.sink(core.UpstreamReport{Report: report, Asked: asked})
}

func (c *Caller) load(ctx context.Context, address string) (r placement.Report, refused bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return r, false, fmt.Errorf("poll %s: %w", address, err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		// The pooled connection may be dead while new ones work.
		c.pooled.CloseIdleConnections()
		return r, isRefused(err), fmt.Errorf("poll %s: %w", address, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return r, false, fmt.Errorf("poll %s: decode: %w", address, err)
	}
	return r, false, nil
}

// call is one dispatch in progress.
type call struct {
	d    core.Dispatch
	sink func(core.Event)
	// sent is set as soon as the call has a connection: from then on bytes
	// may have left.
	sent bool
	// boot is the engine's run, once it has answered.
	boot string
}

func (c *call) request(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if !c.d.Before.IsZero() && time.Now().After(c.d.Before) {
		return nil, errLapsed
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.sent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request for %s: %w", c.d.Upstream, err)
	}
	// Without GetBody the library can't send the call a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequestID, c.d.Attempt)
	return req, nil
}

// fail reports a failure, unless the core itself has closed the call: that is
// no failure of the upstream, and the core may read from another call by now.
func (c *call) fail(ctx context.Context, step string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.sink(core.UpstreamFailed{
		Request: c.d.Request, Attempt: c.d.Attempt, Link: c.d.Link, Sent: c.sent, Step: step,
		Gone: errors.Is(err, errGone) || c.d.Resume && isRefused(err), Err: err.Error(),
	})
}

// plain calls a plain service and reports its whole answer.
func (c *call) plain(ctx context.Context, client *http.Client) {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		c.fail(ctx, "read", err)
		return
	}
	c.sink(core.UpstreamAnswer{Request: c.d.Request, Attempt: c.d.Attempt, Status: resp.StatusCode, Body: body})
}

// generate starts or resumes a generation and reports its tokens.
func (c *call) generate(ctx context.Context, client *http.Client) {
	req, err := c.generation(ctx)
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
	if resp.StatusCode != http.StatusOK {
		c.fail(ctx, "status", statusError(c.d, resp.StatusCode))
		return
	}
	c.boot = resp.Header.Get(headerBoot)
	if err := c.read(resp.Body); err != nil {
		c.fail(ctx, "stream", err)
	}
}

func (c *call) generation(ctx context.Context) (*http.Request, error) {
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

// errGone means that the engine does not know the generation any more.
var errGone = errors.New("generation is gone")

func statusError(d core.Dispatch, status int) error {
	if d.Resume && status == http.StatusNotFound {
		return errGone
	}
	return fmt.Errorf("%s answered status %d", d.Upstream, status)
}

// isRefused reports that nothing listens at the address, which only the host
// itself can say: an unreachable network says nothing about the upstream.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
