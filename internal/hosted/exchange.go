package hosted

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/reach"
	"mulberrylug.example/mulberrylug/internal/response"
)

// errWithheld reports that a request was not sent, as its upstream no longer accepted it once it was reached.
var errWithheld = errors.New("the upstream no longer accepts the request")

// errOtherRequest reports a response that belongs to another request on the connection.
var errOtherRequest = errors.New("response belongs to another request")

// exchange carries one request through its attempts to its final response.
type exchange struct {
	server *server
	w      http.ResponseWriter
	r      *http.Request
	body   *body
	// hold is what the request holds of the memory account.
	hold *hold
	call *forward.Call
	// ctx ends when the caller disconnects or the deadline passes; cancel ends it. Its cause is what came first.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// out writes streams and large responses to the caller.
	out     *output
	started time.Time
	// firstByte is the time from the start until the head of the response is forwarded; 0 before.
	firstByte time.Duration
	gaps      gaps
	// headSent is set once the head of a response was forwarded to the caller. It is set under the server's lock,
	// under which a request is stopped only before.
	headSent bool
	// upstreamError is an upstream's error response, held back until a retry is decided.
	upstreamError *bufferedResponse
	lastErr       error
	// framing is what ends the body of the last response, "" before it. via is the instance that the last attempt passed,
	// "" if it connected directly. firstEvent is the id of the first event of the stream. All are logged.
	framing         response.Framing
	via, firstEvent string
	// loggedOrders are the orders of events of the attempt that were logged.
	loggedOrders []forward.EventOrder
	// outcome is how the last attempt ended, "" before, and moving is set if its generation was being moved
	// then. writeErr is the error of the write of a buffered response.
	outcome  forward.Outcome
	moving   bool
	writeErr error
	// grants receives the responses of homes; home is the instance that granted the current
	// attempt, or "".
	grants chan msg.GrantResponse
	home   string
	// grant is the id of the grant in hand that no attempt uses yet, or "", and grantPool its pool.
	grant, grantPool string
	// upstream is the last attempt's upstream, and choice how it was chosen. listAge is the age of the
	// list of upstreams at admission. All are logged.
	upstream string
	choice   forward.Choice
	listAge  time.Duration
	// eventTokens is the number of tokens per event; 0 if the service has no engine.
	eventTokens int
	// pace is the current attempt's interval between events while no prefill runs on the same
	// engine; 0 if unknown. Guarded by the server's lock.
	pace time.Duration
	// activeMove is the move in progress, or nil. Guarded by the server's lock.
	activeMove *activeMove
	// stopped is set if the last move of the generation has stopped it at its source for certain. Guarded by the
	// server's lock.
	stopped bool
	// convicted is closed when the parts of the prompt are found to crash upstreams.
	convicted     chan struct{}
	convictedOnce sync.Once
	// giveUp is closed when the request waits and can't end before the process does; givenUp is then
	// set. Guarded by the server's lock.
	giveUp  chan struct{}
	givenUp bool
	// conn carries the current attempt; nil between attempts. Guarded by the server's lock.
	conn *conn.Conn
	// sentAt is when the sending of the current attempt began, by the clock of the connections. livenessConn is a
	// second connection to its upstream, or nil; see openLivenessConn.
	sentAt       time.Time
	livenessConn *conn.Conn
	// returned are the connections of earlier attempts that were returned to the pool.
	returned []*conn.Conn
}

// run makes attempts until the call has its final response.
func (x *exchange) run() {
	step := x.decideStep(func(now time.Time, g *forward.Gate) forward.Step { return g.Start(now, x.call) })
	for {
		switch {
		case step.RequestGrant:
			step = x.requestGrant()
			x.returnUnusedGrant(step)
		case step.RequestPermit:
			step = x.requestPermit()
			x.returnUnusedGrant(step)
		case step.Send != nil:
			step = x.tryUpstream(step.Send)
		default:
			x.end(step)
			return
		}
	}
}

// tryUpstream makes one attempt and returns the next step.
func (x *exchange) tryUpstream(a *forward.Attempt) forward.Step {
	x.upstream, x.choice = a.Entry.ID, a.Choice
	grant := x.call.Grant()
	x.grant = ""
	outcome := x.sendAttempt(a)
	x.noteOutcome(outcome)
	if outcome != forward.Done {
		x.awaitMove()
	}
	if errors.Is(x.lastErr, errOutOfOrder) {
		x.server.decide(func(time.Time, *forward.Gate) { x.call.DiscardCopies() }) // of a run that does not follow
	}
	x.stopBroken(a, outcome)
	found := x.findCrash(a, outcome)
	next := x.decideStep(func(now time.Time, g *forward.Gate) forward.Step {
		if outcome != forward.Done && x.isConvicted() {
			return g.StopConvicted(now, x.call, x.headSent)
		}
		if outcome == forward.Cancelled && errors.Is(context.Cause(x.ctx), errBodyTooLong) {
			return g.BodyTooLong(now, x.call, x.headSent)
		}
		if outcome == forward.Cancelled && !x.callerLeft() {
			return g.Expired(now, x.call, x.headSent)
		}
		return g.Ended(now, x.call, outcome, x.headSent)
	})
	x.logAttempt(a, outcome, next)
	ends := !x.continues(next)
	if ends {
		x.endGrant(grant, a, outcome)
	}
	x.assessFailure(a, outcome, found, grant, ends)
	return next
}

// continues reports whether the next step continues a moved generation.
func (x *exchange) continues(next forward.Step) bool {
	return next.Send != nil && next.Send.CopyAt != "" || next.RequestPermit && x.call.Resuming()
}

// callerLeft reports whether the caller has disconnected, or has read nothing for too long. Once the deadline has
// passed or the process ends, this instance aborts writes itself, upon which net/http ends the context of the request
// as if the caller had left.
func (x *exchange) callerLeft() bool {
	switch cause := context.Cause(x.ctx); {
	case cause == nil:
		return x.out.callerError() != nil
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, errProcessEnds), errors.Is(cause, errBodyTooLong):
		return false
	}
	return true
}

// end completes the response, or aborts the caller's connection. A response that ends early is
// aborted after what was read of it has been written.
func (x *exchange) end(step forward.Step) {
	undelivered := x.out.drain()
	if step.Why == forward.NoSameSoftware {
		x.server.metrics.Count("streams_not_continued_total", string(step.Why))
	}
	switch {
	case step.Refuse != nil:
		x.body.announceClose(x.w)
		x.server.refuse(x.w, x.call.Request, *step.Refuse, x.call)
	case step.Relay:
		x.writeBuffered(x.upstreamError)
		x.finish("upstream_failure", x.upstreamError.status)
	case step.Abort:
		x.breakOff("cut", x.cutReason(step), "why", step.Why, "error", x.lastErr)
	case x.callerLeft():
		x.breakOffAtCaller()
	case undelivered != nil:
		x.breakOff("cut", x.deadlineReason()) // the caller was still reading
	default:
		x.finish("done", http.StatusOK)
	}
}

// decideStep runs a function on the gate and returns the step that it decides.
func (x *exchange) decideStep(f func(time.Time, *forward.Gate) forward.Step) (step forward.Step) {
	x.server.decide(func(now time.Time, g *forward.Gate) { step = f(now, g) })
	return step
}

// sendAttempt sends the request to one upstream and forwards the response.
func (x *exchange) sendAttempt(a *forward.Attempt) forward.Outcome {
	x.lastErr = nil
	c, err := x.connect(a)
	if err != nil {
		x.lastErr = err
		if x.ctx.Err() != nil {
			return forward.Cancelled
		}
		return forward.NotSent
	}
	x.openLivenessConn(a)
	defer x.returnLivenessConn()
	if !x.mayStillSend(a) {
		c.Close()
		x.lastErr = errWithheld
		return forward.Withheld
	}
	// When the caller disconnects or the deadline passes, closing the connection stops the
	// upstream's work.
	stop := context.AfterFunc(x.ctx, func() { c.Close() })
	x.setConn(c)
	defer x.release(c, stop)
	if x.ctx.Err() != nil {
		c.Close()
		return forward.Cancelled
	}
	x.framing, x.via, x.sentAt, x.loggedOrders = "", viaOf(c.Conn), time.Now(), nil
	silent := time.AfterFunc(reach.SilenceLimit, func() { x.checkSilent(a) })
	outcome, err := x.roundTrip(c, a)
	silent.Stop()
	if err != nil {
		x.lastErr = err
	}
	if x.ctx.Err() != nil && outcome != forward.Done {
		return forward.Cancelled
	}
	return outcome
}

// connect returns a connection for an attempt that carried no earlier one of this call. An upstream may send a response
// twice, and nothing tells a late copy of the response to an earlier attempt from the response to this one.
func (x *exchange) connect(a *forward.Attempt) (*conn.Conn, error) {
	for {
		c, err := x.server.conns.Get(x.ctx, a.Entry.Address)
		if err != nil || !slices.Contains(x.returned, c) {
			return c, err
		}
		c.Close()
	}
}

// mayStillSend reports whether an attempt may be sent now that its connection is established. It logs and counts
// those to upstreams that are known to leave.
func (x *exchange) mayStillSend(a *forward.Attempt) (may bool) {
	s := x.server
	leaving := false
	var since, sinceConfirmed time.Duration
	s.decide(func(now time.Time, g *forward.Gate) {
		may = g.MayStillSend(now, x.call, a)
		if leaving = a.Leaving(); !leaving {
			return
		}
		since = now.Sub(a.Upstream.LeavingSince)
		if !a.Upstream.LeavingAsOf.IsZero() {
			sinceConfirmed = now.Sub(a.Upstream.LeavingAsOf)
		}
	})
	if !may || !leaving {
		return may
	}
	s.metrics.Count("sent_to_leaving_total", x.call.Service)
	s.log.Info("sent_to_leaving", "request", x.call.ID, "upstream", a.Entry.ID, "leaving_for", since.Round(time.Millisecond),
		"listed_before", sinceConfirmed.Round(time.Millisecond), "copy", a.CopyAt != "", "chosen_before", boottime.Now().Sub(a.Sent).Round(time.Millisecond))
	return true
}

// checkSilent checks the path to the upstream of an attempt that is still in progress and has got no
// response.
func (x *exchange) checkSilent(a *forward.Attempt) {
	waiting := false
	x.server.decide(func(time.Time, *forward.Gate) { waiting = x.call.Current() == a && a.Responded.IsZero() })
	if waiting {
		x.server.paths.checkSilent(a.Entry.Address)
	}
}

func (x *exchange) setConn(c *conn.Conn) {
	x.server.decide(func(time.Time, *forward.Gate) { x.conn = c })
}

// closeConn closes the connection of an attempt that is still in progress.
func (x *exchange) closeConn(a *forward.Attempt) {
	x.server.decide(func(time.Time, *forward.Gate) {
		if x.conn != nil && x.call.Current() == a {
			x.conn.Close()
		}
	})
}

// release ends the tie of a connection to this request, which stop ends to its context, and returns it to the pool.
// There it may be another request's, which this one must not close.
func (x *exchange) release(c *conn.Conn, stop func() bool) {
	x.setConn(nil)
	if !stop() {
		c.Close() // what closes it may run only later
	}
	x.returned = append(x.returned, c)
	x.server.conns.Put(c)
}

// roundTrip sends the request on a connection and forwards the response.
func (x *exchange) roundTrip(c *conn.Conn, a *forward.Attempt) (forward.Outcome, error) {
	watched := x.watch(c)
	sent := x.send(c, a)
	if x.body.replayable() {
		if err := <-sent; err != nil {
			return forward.Lost, err
		}
	}
	resp, ans, err := x.readResponse(c, a)
	switch {
	case errors.Is(err, conn.ErrNoMemory):
		return forward.Unread, err
	case err != nil:
		return forward.Lost, err
	}
	x.observeWarmUp(a, ans)
	outcome, err := x.forwardResponse(c, a, resp, ans)
	if !x.body.replayable() {
		// The rest of the body is read to its end, so that the caller, which
		// is still sending, receives the response before the connection closes.
		c.Close()
		select {
		case <-sent:
		case <-x.ctx.Done():
		}
	}
	// A late second response to HEAD states the length of a body that it does not have, and would be read with that body.
	if ans.Closing || x.r.Method == http.MethodHead {
		c.Close()
	}
	if watched {
		_ = conn.Watch(c.Conn, false) // fails only on a closed connection, which the pool drops
	}
	return outcome, err
}

// watch makes the kernel tolerate a silence of a connection for a stream whose upstream is queried while it is
// silent, and reports whether it did.
func (x *exchange) watch(c *conn.Conn) (watched bool) {
	x.server.decide(func(_ time.Time, g *forward.Gate) { watched = g.WatchesSilence(x.call) })
	if watched {
		_ = conn.Watch(c.Conn, true) // fails only on a closed connection, on which the attempt fails, too
	}
	return watched
}

// send writes the request and returns a channel that receives the result of the write. A body
// that is not fully buffered is sent while the response is awaited.
func (x *exchange) send(c *conn.Conn, a *forward.Attempt) <-chan error {
	req := &conn.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.server.wire.AttemptHeaders(x.r.Header, x.call, a), Body: x.body.reader(), Length: x.body.length,
	}
	done := make(chan error, 1)
	if x.body.replayable() {
		done <- c.Write(req)
		return done
	}
	x.body.reading.Go(func() {
		err := c.Write(req)
		if err != nil {
			_, _ = io.Copy(io.Discard, x.body.rest) // an error means that no more of it is read
		}
		done <- err
	})
	return done
}

// observeWarmUp records the remaining warm-up that an upstream's response states.
func (x *exchange) observeWarmUp(a *forward.Attempt, ans Response) {
	if ans.ColdRemaining == 0 {
		return
	}
	x.server.decide(func(now time.Time, _ *forward.Gate) { a.Upstream.ExtendWarmUp(now, ans.ColdRemaining) })
}

func (x *exchange) logAttempt(a *forward.Attempt, o forward.Outcome, next forward.Step) {
	s := x.server
	s.metrics.Count("attempts_total", string(o))
	if o == forward.Done {
		return
	}
	pairs := []any{
		"request", x.call.ID, "attempt", a.Number, "upstream", a.Entry.ID, "address", a.Entry.Address, "software", softwareName(a.Entry.Software),
		"outcome", o, "after", boottime.Now().Sub(a.Sent).Round(time.Millisecond),
		"upstream_leaving", s.isLeavingUpstream(a), "events", x.call.Events, "last_event", x.call.LastEvent, "framing", x.framing, "via", x.via, "error", x.lastErr,
	}
	pairs = append(pairs, s.overLimitPairs(x.lastErr)...)
	if a.AvoidedFor > 0 {
		s.metrics.Count("upstream_statements_total", "upstream_full")
		pairs = append(pairs, "avoided_for", a.AvoidedFor.Round(time.Millisecond))
	}
	switch {
	case next.Send != nil:
		s.metrics.Count("retries_total", string(o))
		pairs = append(pairs, "next", next.Send.Entry.ID, "next_software", softwareName(next.Send.Entry.Software))
	case next.RequestPermit:
		pairs = append(pairs, "next", "permit")
	default:
		pairs = append(pairs, "next", "none", "why", next.Why)
	}
	s.log.Info("attempt_ended", pairs...)
}

// softwareName returns a software version as it is logged.
func softwareName(software string) string { return cmp.Or(software, "unknown") }

// logEnd logs how a request ended, with further pairs.
func (x *exchange) logEnd(outcome string, status int, more ...any) {
	s, took := x.server, time.Since(x.started)
	ahead, dropped := x.out.readAhead()
	s.metrics.Count("requests_total", outcome)
	s.metrics.Observe("request_milliseconds", x.call.Route.Name, took)
	if x.firstByte > 0 {
		s.metrics.Observe("first_byte_milliseconds", x.call.Route.Name, x.firstByte)
	}
	pairs := []any{
		"request", x.call.ID, "outcome", outcome, "status", status, "route", x.call.Route.Name,
		"service", x.call.Service, "upstream", x.upstream, "home", x.home, "list_age", x.listAge.Round(time.Millisecond), "organisation", x.call.Organisation, "config", x.call.ConfigVersion,
		"sends", x.call.Sends(), "events", x.call.Events, "first_event", x.firstEvent, "last_event", x.call.LastEvent,
		"framing", x.framing, "via", x.via, "first", x.firstByte.Round(time.Millisecond),
		"longest_gap", x.gaps.longest.Round(time.Millisecond), "read_ahead", ahead, "dropped", dropped, "took", took.Round(time.Millisecond),
	}
	if x.choice != (forward.Choice{}) {
		pairs = append(pairs, "factor", x.choice.Factor, "spread", x.choice.Spread)
	}
	s.log.Info("request_ended", append(pairs, more...)...)
}
