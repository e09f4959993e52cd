package forward

import (
	"cmp"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/status"
)

const (
	// maxDials is the maximum number of failed dials per call. They do not count as attempts, but
	// take time.
	maxDials = 4
	// minTimeLeft is the minimum time before the deadline at which a request is still sent.
	minTimeLeft = 20 * time.Millisecond
	// attemptTimeShare is the fraction of the remaining time after which an idempotent call is
	// retried at another upstream, if one takes it.
	attemptTimeShare = 0.4
	// maxAvoidances is the maximum number of chosen upstreams that do not take a call, for lack of a
	// permit or because they have asked for a pause, before the call is refused.
	maxAvoidances = 3
	// busyRetryAfter is the Retry-After if the pool is full or no upstream can take the call.
	busyRetryAfter = 500 * time.Millisecond
)

// Start returns the first step of a call.
func (g *Gate) Start(now time.Time, c *Call) Step { return g.nextStep(now, c) }

// nextStep requests a grant from the pool's home, or starts the next attempt.
func (g *Gate) nextStep(now time.Time, c *Call) Step {
	if s, refused := g.refuseInDrain(now, c); refused {
		return s
	}
	if why := g.unavailableReason(c); why != "" {
		return g.refuse(c, why, retryAfterFor(why, busyRetryAfter))
	}
	if c.TakesUp() && c.origin == nil {
		return g.refuse(c, UnknownOrigin, 0)
	}
	if s, sent := g.sendToLeaving(now, c); sent {
		return s
	}
	if g.originUnavailable(c) {
		return g.refuse(c, NoSameSoftware, originRetryAfter)
	}
	if g.placedByHome(c) {
		if retryAfter := g.pausedRetryAfter(now, c); retryAfter > 0 {
			return g.refuse(c, Paused, retryAfter)
		}
		if c.Pool == "" {
			g.nextPool(c)
		}
		return Step{RequestGrant: true}
	}
	return g.send(now, c)
}

// send starts the next attempt at the best upstream, or refuses the call.
func (g *Gate) send(now time.Time, c *Call) Step {
	if s, refused := g.refuseLate(now, c); refused {
		return g.orAsUrgent(now, c, s)
	}
	u := g.choose(now, c)
	if u == nil {
		if s, sent := g.sendToLeaving(now, c); sent {
			return s
		}
		if s, refused := g.refuseFull(now, c); refused {
			return g.orAsUrgent(now, c, s)
		}
		if retryAfter := g.coldRetryAfter(now, c); retryAfter > 0 {
			return g.refuse(c, Cold, retryAfter)
		}
		if retryAfter := g.limitRetryAfter(now, c); retryAfter > 0 {
			return g.refuse(c, RateLimit, retryAfter)
		}
		if retryAfter := g.pausedRetryAfter(now, c); retryAfter > 0 {
			return g.refuse(c, Paused, retryAfter)
		}
		why := cmp.Or(g.unavailableReason(c), NoUpstream)
		return g.refuse(c, why, retryAfterFor(why, busyRetryAfter))
	}
	c.selfChosen = true
	return g.sendTo(now, c, u)
}

// Leaving reports whether the attempt's upstream is known to be leaving.
func (a *Attempt) Leaving() bool { return !a.Upstream.LeavingSince.IsZero() }

// Progress records that an event was delivered to the caller or buffered for it; id is "" if the event had none.
// The first event decides which software may go on with the stream.
// The first event of a resumed attempt uses up the copy and discards the alternatives that
// remain from the move, which must not be tried any more.
func (c *Call) Progress(now time.Time, id string) {
	if a := c.current; a != nil {
		c.sparse = c.sparse || a.events > 0 && c.OrderOf(id) == Gap
		a.events++
		c.bind(a.Entry)
	}
	c.Events++
	c.LastEvent = id
	c.silence.onEvent(now, c.Route)
	if c.resumed {
		c.resumeTargets, c.resumed = nil, false
	}
}

// sendTo starts the next attempt at a given upstream, or refuses the call if too little time is
// left.
func (g *Gate) sendTo(now time.Time, c *Call, u *roster.Upstream) Step {
	if s, refused := g.refuseInDrain(now, c); refused {
		return s
	}
	left := g.timeLeft(now, c)
	if left < minTimeLeft {
		return g.refuse(c, OutOfTime, 0)
	}
	if g.IsConvicted(now, c) {
		return g.refuse(c, Crashes, crashRetryAfter)
	}
	if g.needsPermit(c, u) {
		return g.requestPermit(now, c, u)
	}
	if c.selfChosen {
		g.countColdSend(now, u)
	}
	c.sends++
	a := &Attempt{Upstream: u, Entry: u.Entry, Number: c.sends, Sent: now, TimeLimit: left, tokens: c.tokens(), bodyBytes: c.bodyBytes(), Choice: c.choice}
	c.tried = append(c.tried, u)
	if cancelAt := now.Add(time.Duration(attemptTimeShare * float64(left))); c.Route.Kind == route.Idempotent && c.sends < c.Route.MaxAttempts && g.mayRetryAt(cancelAt, c) {
		a.CancelAt = cancelAt
	}
	g.beginAttempt(c, a)
	if c.sends > 1 {
		g.reserveRetry(now, c)
	}
	c.retryReserved = false
	return Step{Send: a}
}

// beginAttempt makes an attempt the current one and adds its load, which recordOutcome removes.
func (g *Gate) beginAttempt(c *Call, a *Attempt) {
	c.current = a
	c.silence.begin(a.Sent, c.Route)
	l := g.load(a.Upstream)
	if load := g.loadOf(a.Sent, a.Upstream); load.Fresh() {
		a.rounds = load.Rounds()
	}
	l.attempts++
	l.sentSince++
	l.tokens += a.tokens
	l.bodyBytes += a.bodyBytes
	l.sent.Add(a.Sent)
	if p := g.pauses[a.Upstream.Run()]; p != nil && a.Sent.Before(p.until) {
		p.sent++
	}
}

// MayStillSend reports whether an attempt may be sent now that its connection is established. Connecting can take
// longer than a leaving upstream may get requests, and the upstream may have begun to leave, asked for a pause or
// been cordoned meanwhile, and the process may no longer have the time for the request before it ends. An instance
// must check this directly before it sends, on every way to the upstream.
func (g *Gate) MayStillSend(now time.Time, c *Call, a *Attempt) bool {
	u := a.Upstream
	switch {
	case a.CopyAt != "":
		return g.mayResumeAt(now, c, u)
	case g.Draining() && !g.endsInDrain(now, c):
		return false
	case g.paused(now, u.Run()):
		return false
	case a.toLeaving:
		return g.mayServeLeaving(now, u) && g.mayUse(c, u.DataCentre)
	}
	return g.maySend(c, u) && !g.roster.RecentlyRemoved(a.Entry)
}

// withheld returns the next step of a call whose attempt was not sent, as its upstream no longer accepted it.
func (g *Gate) withheld(now time.Time, c *Call, a *Attempt, headerDelivered bool) Step {
	if a.CopyAt != "" {
		return g.retry(now, c, Withheld, headerDelivered)
	}
	c.sends--
	c.retryReserved = c.sends > 0 // counted already, if it was one
	return g.avoid(now, c, a.Upstream, NoUpstream, busyRetryAfter)
}

// mayGoOn reports whether another attempt may follow the one that has ended. Once the caller has the head of a
// response, only a stream can go on, after the last event that the caller has: at the holder of a copy, or at any
// upstream if its route allows that. Whatever else another upstream sends would become a part of the first response.
func (c *Call) mayGoOn() bool {
	return !c.headerDelivered || c.Route.Kind == route.Stream && c.positionKnown() && (c.Route.Resumable || len(c.resumeTargets) > 0)
}

// Ended processes the outcome of the current attempt and returns the next step.
// headerDelivered is set if a response header was delivered to the caller. All further attempts pass mayGoOn here,
// as a header is delivered during an attempt only.
func (g *Gate) Ended(now time.Time, c *Call, o Outcome, headerDelivered bool) Step {
	a := c.current
	c.current, c.headerDelivered = nil, headerDelivered
	g.recordOutcome(now, c, a, g.blamed(c, o))
	// The holder of the copy is dialled again, as only it can go on. The last dial that the call may use is
	// counted below, where it ends the call.
	if o == NotSent && a.CopyAt != "" && !c.Route.Repeatable() && c.dials < maxDials-1 {
		c.dials++
		c.resumeTargets = append(c.resumeTargets, &Attempt{Upstream: a.Upstream, CopyAt: a.CopyAt})
	}
	if o != Done && o != Cancelled && !c.mayGoOn() {
		return g.failAttempt(now, c, o, Unrepeatable, headerDelivered)
	}
	if len(c.resumeTargets) > 0 && o != Done && o != Cancelled {
		c.mayHaveRun = true
		return g.resume(now, c)
	}
	switch o {
	case Done, Cancelled:
		return Step{End: true}
	case NotSent:
		if a.CopyAt == "" {
			c.sends--
		}
		c.dials++
		if c.dials >= maxDials {
			return g.failCall(c, NoUpstream, busyRetryAfter, headerDelivered)
		}
	case Withheld:
		return g.withheld(now, c, a, headerDelivered)
	case Rejected, Misdirected:
	default:
		c.mayHaveRun = true
	}
	return g.retry(now, c, o, headerDelivered)
}

// blamed returns the outcome of an attempt as far as its upstream is the reason: the stream of a generation that
// was moved ends there as ordered, or because this instance has closed its connection.
func (g *Gate) blamed(c *Call, o Outcome) Outcome {
	if c.Redirected() && (o == Lost || o == Cut) {
		return Cancelled
	}
	return o
}

// recordOutcome removes an attempt's load from its upstream and records the outcome there.
func (g *Gate) recordOutcome(now time.Time, c *Call, a *Attempt, o Outcome) {
	l := g.load(a.Upstream)
	l.attempts--
	if !a.Sent.Before(l.reportedAt) {
		l.sentSince = max(l.sentSince-1, 0)
	}
	l.tokens -= a.tokens
	l.bodyBytes -= a.bodyBytes
	switch o {
	case Done:
		l.Note(now, false)
		g.noteService(now, c, a)
		g.suspects.Clear(c.Fingerprint, a.Sent)
	case NotSent, Misdirected:
		// The roster's entry is out of date.
		l.backOff(now)
	case Lost, Failed, Cut:
		g.noteFailure(now, l)
	case Rejected:
		g.noteFailure(now, l)
		g.avoidFull(now, c, a)
		g.cutBrittle(now, a.Upstream)
	}
	g.pruneLoads()
}

// retry retries the call if the route, the retry budget and the buffered body allow it.
func (g *Gate) retry(now time.Time, c *Call, o Outcome, headerDelivered bool) Step {
	switch {
	case c.mayHaveRun && !c.Route.Repeatable():
		// This also applies if the last failure was a failed dial to a copy of the generation.
		return g.failAttempt(now, c, o, Unrepeatable, headerDelivered)
	case !c.Replayable && o != NotSent:
		return g.failAttempt(now, c, o, NotReplayable, headerDelivered)
	case c.mayHaveRun && c.mayAccuse() && g.parts.Suspected(now, c.Parts):
		return g.failAttempt(now, c, o, Crashes, headerDelivered)
	case c.sends >= c.Route.MaxAttempts || g.options.Without.Has(mechanism.Retries) && o != NotSent:
		return g.failAttempt(now, c, o, NoAttempts, headerDelivered)
	case o != NotSent && !g.hasBudget(now, c):
		return g.failAttempt(now, c, o, NoBudget, headerDelivered)
	}
	if c.Events == 0 && !c.TakesUp() {
		c.origin = nil // a copy of memory had bound it, which is not used
	}
	c.grantRetries++
	c.lastOutcome = o
	return g.orFailAttempt(now, c, g.nextStep(now, c))
}

// mayRepeat reports whether a call may be sent to another upstream once more.
func (g *Gate) mayRepeat(now time.Time, c *Call) bool {
	return c.Route.Repeatable() && c.Replayable && c.sends < c.Route.MaxAttempts && g.hasBudget(now, c) && g.mayRetryAt(now, c)
}

// hasBudget reports whether the retry budget has room for a retry of a call.
func (g *Gate) hasBudget(now time.Time, c *Call) bool {
	return c.retryReserved || g.retryAllowed(now, c.Service)
}

// reserveRetry counts the next retry of a call against the budget before its attempt is given up. Otherwise several
// calls could be given up for the last retry, and all but one end.
func (g *Gate) reserveRetry(now time.Time, c *Call) {
	if !c.retryReserved {
		c.retryReserved = true
		g.budget(c.Service).addRetry(now)
	}
}

// Replace reports whether a call's attempt that takes long is to be given up because another upstream takes
// the call, and reserves its retry: without one, the attempt may still bring the response.
func (g *Gate) Replace(now time.Time, c *Call) bool {
	taken := g.mayRepeat(now, c) && g.anotherTakes(now, c)
	if taken {
		g.reserveRetry(now, c)
	}
	return taken
}

// anotherTakes reports whether an upstream to which a call was not sent accepts it at present.
func (g *Gate) anotherTakes(now time.Time, c *Call) bool {
	return slices.ContainsFunc(g.candidates(c.Service), func(u *roster.Upstream) bool {
		return !slices.Contains(c.tried, u) && g.available(now, c, u)
	})
}

// orFailAttempt returns the next step of a call. If that ends a call that was sent before, the call
// ends as its last attempt did.
func (g *Gate) orFailAttempt(now time.Time, c *Call, s Step) Step {
	if c.lastOutcome == "" || s.Send != nil || s.RequestGrant || s.RequestPermit {
		return s
	}
	return g.failAttempt(now, c, c.lastOutcome, s.Why, c.headerDelivered)
}

// avoid returns the next step of a call that a chosen upstream does not take, for a reason: it is sent
// elsewhere, or refused after maxAvoidances.
func (g *Gate) avoid(now time.Time, c *Call, u *roster.Upstream, why Reason, retryAfter time.Duration) Step {
	c.avoidances++
	switch {
	case c.avoidances >= maxAvoidances:
		return g.orFailAttempt(now, c, g.refuse(c, why, retryAfter))
	case g.placedByHome(c):
		c.avoided = append(c.avoided, u.ID)
		c.grantRetries++
		return Step{RequestGrant: true, Why: why}
	}
	return g.orFailAttempt(now, c, g.nextStep(now, c))
}

// failAttempt ends a call after a failed attempt. The error response of an upstream is forwarded.
func (g *Gate) failAttempt(now time.Time, c *Call, o Outcome, why Reason, headerDelivered bool) Step {
	if o == Failed && !headerDelivered {
		return Step{Relay: true, Why: why}
	}
	if o == Rejected && why == NoAttempts {
		why = PoolFull
	}
	return g.failCall(c, why, g.retryAfterRejection(now, c, why), headerDelivered)
}

// retryAfterRejection returns the Retry-After of a call whose last attempt did not succeed. If only an
// upstream that is full or asked for a pause has turned it away, the others may take it immediately.
func (g *Gate) retryAfterRejection(now time.Time, c *Call, why Reason) time.Duration {
	last := len(c.tried) - 1
	switch {
	case why == ServiceFull:
		return c.returnAfter
	case why != PoolFull || last < 0:
	case g.paused(now, c.tried[last].Run()):
		return cmp.Or(g.pausedRetryAfter(now, c), briefRetryAfter)
	case g.fullUntil(c, c.tried[last]).After(now):
		return cmp.Or(g.fullRetryAfter(now, c), briefRetryAfter)
	}
	return retryAfterFor(why, busyRetryAfter)
}

// failCall ends a call: it refuses the call, or breaks off a response whose header was delivered.
func (g *Gate) failCall(c *Call, why Reason, retryAfter time.Duration, headerDelivered bool) Step {
	if headerDelivered {
		return Step{Abort: true, Why: why}
	}
	return g.refuse(c, why, retryAfter)
}

// refuse refuses a call. Only a call that certainly did not run gets a status that promises this. A
// response whose header was delivered is broken off, because a refusal would become a part of it.
func (g *Gate) refuse(c *Call, why Reason, retryAfter time.Duration) Step {
	if c.headerDelivered {
		return Step{Abort: true, Why: why}
	}
	code := status.ServiceUnavailable
	if c.mayHaveRun {
		code, retryAfter = status.BadGateway, 0
		if why == OutOfTime {
			code = status.GatewayTimeout
		}
	}
	return Step{Refuse: &Refusal{Status: code, Reason: why, RetryAfter: retryAfter}, Why: why}
}

// Expired ends a call whose deadline passed, or which the process can no longer finish.
func (g *Gate) Expired(now time.Time, c *Call, headerDelivered bool) Step {
	if g.DrainOver(now) && now.Before(c.Deadline) {
		return g.endWithProcess(now, c, headerDelivered)
	}
	if a := c.current; a != nil {
		c.current = nil
		c.mayHaveRun = true
		g.recordOutcome(now, c, a, Lost)
	}
	return g.failCall(c, OutOfTime, 0, headerDelivered)
}

// BodyTooLong ends a call whose body is longer than the configuration permits, after a part of it was sent.
func (g *Gate) BodyTooLong(now time.Time, c *Call, headerDelivered bool) Step {
	if a := c.current; a != nil {
		c.current, c.mayHaveRun = nil, true
		g.recordOutcome(now, c, a, Cancelled)
	}
	step := g.failCall(c, TooLarge, 0, headerDelivered)
	if step.Refuse != nil {
		step.Refuse.Status = status.ContentTooLarge
	}
	return step
}
