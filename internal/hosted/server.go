package hosted

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/memory"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// server handles callers' requests.
type server struct {
	wire    Wire
	conns   *conn.Pool
	memory  *memoryAccount
	metrics *metrics.Metrics
	log     hclog.Logger
	homes   homeLink
	paths   *paths
	origins *origins
	// overLimit limits the log of calls whose responses are too large, headMemory that of callers' connections that are
	// closed for lack of memory for a head.
	overLimit, headMemory overLimitLog
	unframed              unframedServices
	// readAhead is set if responses are read ahead of callers that read slowly.
	readAhead bool

	// mu serializes access to the gate.
	mu   sync.Mutex
	gate *forward.Gate
	// leaving is set while draining: responses close their connections, so that callers connect
	// to other instances.
	leaving bool
	// running holds the requests in progress by id. announcedAt is the time of the last
	// announcement of running generations. announcedTo holds, by pool, the instance to which
	// the announcement was sent.
	running     map[string]*exchange
	announcedAt time.Time
	announcedTo map[string]string
	// handling counts the requests whose handler runs, also those that are not in running: before they are
	// admitted, and while it is found out where a stream began.
	handling atomic.Int64
	// permits holds where the responses to requests for permits are awaited, by id.
	permits map[string]chan msg.PermitResponse
}

// decide runs a function on the gate while holding the lock.
func (s *server) decide(f func(now time.Time, g *forward.Gate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(boottime.Now(), s.gate)
}

// ServeHTTP implements http.Handler for callers.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req forward.Request
	began := time.Now()
	c := callerConnOf(r.Context())
	if c != nil {
		c.head.end()
		if c.stopped.Load() || c.aborted.Load() {
			panic(http.ErrAbortHandler) // these bytes are the rest of the last request, or can't be answered
		}
	}
	s.handling.Add(1)
	defer s.handling.Add(-1)
	defer s.onPanic(&req, began)
	req = s.wire.Request(r)
	req.HeadBytes = headBytes(r)
	h := s.memory.newHold()
	defer h.releaseAll()
	body := newBody(r)
	defer body.finish(c)
	if !h.reserve(memory.Responses, requestBytes) {
		body.announceClose(w)
		s.refuseForMemory(w, req, forward.NoMemory, memory.Responses, requestBytes)
		return
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		// An upstream may respond before it has read a long body. Without full duplex, the
		// HTTP server would stop reading the body once the response is being written.
		if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
			s.log.Debug("full_duplex_unavailable", "request", req.ID, "error", err)
		}
	}
	err := body.fillWithin(bodyTimeout(req.Timeout), w, h)
	switch {
	case errors.Is(err, errNoMemory):
		body.announceClose(w)
		s.refuseForMemory(w, req, forward.Memory, memory.Bodies, body.bufferSize())
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		body.announceClose(w)
		s.refuse(w, req, forward.Refusal{Status: status.RequestTimeout, Reason: forward.BodyLate}, nil)
		return
	case err != nil:
		s.abortUnreceived(req.ID, began, err)
	}
	req.Replayable, req.Length, req.Received = body.replayable(), r.ContentLength, int64(len(body.data))
	req.Fingerprint ^= xxhash.Sum64(body.data)
	s.handle(w, r, req, body, h)
}

// refuseForMemory refuses a request before its body is read, for lack of n bytes of memory.
func (s *server) refuseForMemory(w http.ResponseWriter, req forward.Request, why forward.Reason, p memory.Purpose, n int64) {
	retryAfter := s.memory.refused(p, n)
	s.refuse(w, req, forward.Refusal{Status: http.StatusServiceUnavailable, Reason: why, RetryAfter: retryAfter}, nil)
}

// handle admits a request and carries it to its final response.
func (s *server) handle(w http.ResponseWriter, r *http.Request, req forward.Request, b *body, h *hold) {
	var call *forward.Call
	var refusal *forward.Refusal
	s.decide(func(now time.Time, g *forward.Gate) { call, refusal = g.Admit(now, req) })
	if refusal != nil {
		b.announceClose(w)
		s.refuse(w, req, *refusal, nil)
		return
	}
	if s.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	endable, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	ctx, stop := context.WithTimeout(endable, call.Deadline.Sub(call.Arrived))
	defer stop()
	if c := callerConnOf(r.Context()); c != nil {
		c.setPatience(call.Route.Patience())
	}
	x := &exchange{server: s, w: w, r: r, body: b, hold: h, call: call, ctx: ctx, cancel: cancel, started: time.Now(), convicted: make(chan struct{}), giveUp: make(chan struct{}), grants: make(chan msg.GrantResponse, 4)}
	x.out = newOutput(x, s.readAhead)
	defer x.out.close()
	if call.TakesUp() {
		if refusal := x.bindStream(); refusal != nil {
			s.metrics.Count("streams_not_continued_total", string(refusal.Reason))
			b.announceClose(w)
			s.refuse(w, req, *refusal, call)
			return
		}
	}
	s.decide(func(now time.Time, g *forward.Gate) {
		b.from.limit(g.Table().Limits.MaxBodyBytes, func() { x.cancel(errBodyTooLong) })
		x.listAge = now.Sub(g.Roster().Confirmed())
		s.metrics.Observe("belief_age_milliseconds", "list", x.listAge)
		s.metrics.Observe("belief_age_milliseconds", "configuration", now.Sub(g.Confirmed()))
		if service := g.Table().Service(call.Service); service != nil && service.Engine != nil {
			x.eventTokens = service.Engine.EventTokens
		}
	})
	s.track(x)
	defer s.untrack(x)
	x.run()
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// configBound returns the time within which a new configuration must be in force; 0 means no limit.
func (s *server) configBound() (bound time.Duration) {
	s.decide(func(_ time.Time, g *forward.Gate) { bound = g.ConfigGoodFor() })
	return bound
}

func (s *server) track(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[x.call.ID] = x
	if s.gate.DrainOver(boottime.Now()) {
		x.cancel(errProcessEnds) // the others have been ended already
	}
}

func (s *server) untrack(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[x.call.ID] == x {
		delete(s.running, x.call.ID)
	}
}

// openRequests returns the number of requests in progress, including those that are not admitted yet.
func (s *server) openRequests() int { return int(s.handling.Load()) }

// refuse sends a refusal and logs the state on which it is based; c is nil if the request was not
// admitted.
func (s *server) refuse(w http.ResponseWriter, req forward.Request, refusal forward.Refusal, c *forward.Call) {
	s.metrics.Count("refusals_total", string(refusal.Reason))
	pairs := []any{
		"request", req.ID, "outcome", "refused", "status", refusal.Status, "reason", refusal.Reason,
		"retry_after", refusal.RetryAfter, "path", req.Path,
	}
	var version int64
	var age, took time.Duration
	s.decide(func(now time.Time, g *forward.Gate) {
		if g.Table() != nil {
			version, age = g.Table().Version, now.Sub(g.Confirmed())
		}
		if c != nil {
			took = now.Sub(c.Arrived)
		}
	})
	pairs = append(pairs, "config", version, "config_age", age.Round(time.Millisecond))
	if c != nil {
		pairs = append(pairs, "route", c.Route.Name, "service", c.Service, "sends", c.Sends(), "may_have_run", c.MayHaveRun(), "took", took.Round(time.Millisecond))
	}
	if c != nil && refusal.Reason == forward.ServiceFull {
		b := c.Basis()
		pairs = append(pairs, "rank", c.Rank, "predicted", b.Predicted, "limit", b.Limit, "oldest_report", b.OldestReport)
	}
	s.log.Info("request_ended", pairs...)
	if s.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	if err := s.wire.WriteRefusal(w, req.ID, refusal); err != nil {
		s.log.Debug("refusal_not_delivered", "request", req.ID, "error", err)
	}
}

// restrictTo restricts a handler to matching requests; others get status 404.
func restrictTo(matches func(*http.Request) bool, handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !matches(r) {
			http.Error(w, "not found", http.StatusNotFound)
			return
		}
		handler(w, r)
	})
}
