package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// Home places work on the upstreams of one pool. It is not safe for concurrent use.
type Home struct {
	settings Settings
	tuning   tuning
	// z is the current memory headroom in standard deviations of the forecast.
	z       float64
	lengths *Lengths
	// upstreams are sorted by name, which makes decisions deterministic.
	upstreams []*upstream
	summaries []summary
	byName    map[string]*upstream
	// granted holds the grants by attempt.
	granted map[string]*grant
	// byFingerprint holds the grants of each fingerprint.
	byFingerprint  map[uint64][]*grant
	queue          *queue
	cordons        cordon.Set
	ended          endedAttempts
	refusedCallers refusedCallers
	meter          drainMeter
	flow           flowMeter
	turns          turns
	// firstRequest is the time of the first request; hasReport is set by the first report.
	firstRequest time.Time
	hasReport    bool
	// prefillLimit is the backlog in seconds of prefill up to which an upstream is given another
	// prompt.
	prefillLimit float64
	// movesReserve is, by software version, the fraction of each upstream's memory that is kept free of
	// new work, for moves of generations off leaving upstreams of that version.
	movesReserve map[string]float64
	// poolSpeed is the mean speed of the pool's upstreams.
	poolSpeed speed
	// relativeSpeed is the expected mean speed of the upstreams, where 1 is as usual; 0 while no
	// upstream has stated its speed.
	relativeSpeed float64
}

// NewHome returns a home without upstreams. They are added by their reports.
func NewHome(s Settings) *Home {
	h := &Home{
		movesReserve: map[string]float64{}, byName: map[string]*upstream{}, granted: map[string]*grant{}, byFingerprint: map[uint64][]*grant{},
		ended: newEndedAttempts(), refusedCallers: newRefusedCallers(),
	}
	h.queue = newQueue(tune(s.Weights))
	h.Configure(s)
	return h
}

// Configure changes the settings. Grants and the queue are kept.
func (h *Home) Configure(s Settings) {
	if h.lengths == nil || s.Lengths != nil && s.Lengths != h.lengths {
		h.lengths = s.Lengths
	}
	if h.lengths == nil {
		h.lengths = NewLengths()
		h.lengths.ignoreMaxOutput = s.Without.Has(mechanism.Kinds)
	}
	if s.PromptRate <= 0 {
		s.PromptRate = defaultPrefillRate
	}
	h.settings = s
	h.tuning = tune(s.Weights)
	h.tuning.disable(s.Without)
	h.z = h.tuning.idleZ
	h.queue.slack, h.queue.delayPerCost = h.tuning.slack, h.tuning.delayPerCost
	h.prefillLimit = prefillBacklogLimit(s.Without)
	h.queue.byDeadline = s.Predict && !s.Without.Has(mechanism.DueOrder)
	h.queue.byRank = s.Predict && !s.Without.Has(mechanism.Urgency)
}

// Report records an upstream's load as of requestedAt, when the report was requested. The queue is
// served as of now. If a home that was frozen in between used requestedAt in place of now, every
// report would look fresh, including those of upstreams that have left.
func (h *Home) Report(now, requestedAt time.Time, r Report) []Decision {
	u := h.byName[r.Upstream]
	if u == nil {
		u = h.addUpstream(r.Upstream)
	}
	if r.Boot != u.report.Boot && u.report.Boot != "" {
		u.tokenTime, u.slowdown = 0, slowdown.History{}
	}
	leavingChanged := r.Leaving != u.report.Leaving
	u.report, u.reportedAt, u.starts.Limit = r, requestedAt, r.MaxStarts
	u.limiter.SetLimit(now, r.RateLimit)
	u.cordoned = h.cordons.Has(r.DataCentre)
	if leavingChanged {
		h.reserveForMoves(now)
	}
	h.hasReport = true
	if r.Slowdown.Factor != 0 {
		h.observeSlowdown(now, requestedAt, u, r.Slowdown.Factor)
	}
	h.reconcile(now, u)
	h.refreshForecasts(now, u)
	return h.drainQueue(now)
}

// MarkLeaving makes an upstream get no new work until its next report.
func (h *Home) MarkLeaving(now time.Time, name string) []Decision {
	u := h.byName[name]
	if u == nil {
		return nil
	}
	u.report.Leaving = true
	h.summarize(u)
	h.reserveForMoves(now)
	return h.refuseUnplaceable(now)
}

// SetRateLimit changes the rate limit of an upstream between two of its reports.
func (h *Home) SetRateLimit(now time.Time, name string, l ratelimit.Limit) []Decision {
	u := h.byName[name]
	if u == nil {
		return nil
	}
	u.report.RateLimit = l
	u.limiter.SetLimit(now, l)
	h.summarize(u)
	return h.drainQueue(now)
}

// SetCordons sets the cordoned data centres. Their upstreams get no new work; running
// generations continue.
func (h *Home) SetCordons(now time.Time, s cordon.Set) []Decision {
	if s.Same(h.cordons) {
		return nil
	}
	h.cordons = s
	for _, u := range h.upstreams {
		u.cordoned = s.Has(u.report.DataCentre)
		h.summarize(u)
	}
	return append(h.drainQueue(now), h.refuseUnplaceable(now)...)
}

// Remove removes an upstream and returns the requests that ran there.
func (h *Home) Remove(name string) []Request {
	u := h.byName[name]
	if u == nil {
		return nil
	}
	var removed []Request
	for _, g := range append([]*grant(nil), u.grants...) {
		removed = append(removed, g.req)
		h.release(g)
	}
	h.dropUpstream(u)
	return removed
}

// Place grants, queues or refuses a request. It is idempotent per attempt.
func (h *Home) Place(now time.Time, req Request) []Decision {
	if g := h.granted[req.Attempt]; g != nil && g.upstream.takesWork(now) {
		g.lastSeen = now
		return []Decision{g.decision()}
	} else if g != nil {
		h.release(g) // the reply with the grant was lost; the upstream takes no new work any more
	}
	if q := h.queue.byAttempt[req.Attempt]; q != nil {
		return []Decision{h.position(q)}
	}
	if h.awaitsFirstReport(now) {
		q := h.queue.push(req, now, h.cost(&req))
		q.arrived, q.maxWait = now, h.maxWait(&req)
		return []Decision{{Attempt: req.Attempt, Kind: Queued, Position: 1}}
	}
	if !h.anyAvailable(now, &req) {
		return []Decision{h.noUpstream(&req)}
	}
	cost := h.cost(&req)
	h.advanceMeter(now)
	h.meter.arrived[costClass(cost)] += cost
	h.flow.recordArrival(h.queue.rankOf(&req), workOf(&req, cost))
	if h.queue.len() == 0 {
		if u := h.choose(now, &req); u != nil {
			d := h.grant(now, req, u, cost)
			d.Turn, d.Rank = h.defers(&req) && h.refusedCallers.takeTurn(now, &req) != nil, req.Rank
			return []Decision{d}
		}
	}
	if h.defers(&req) {
		return h.admit(now, req, cost)
	}
	return h.enqueue(now, req, cost)
}

// enqueue queues a request, or refuses it if its predicted wait is too long.
func (h *Home) enqueue(now time.Time, req Request, cost float64) []Decision {
	since := h.refusedCallers.waitingSince(now, &req)
	if h.tooLong(h.predictWait(now, since, &req, cost), req.MaxWait) || h.limitedWait(now, &req, h.queue.len()) > req.MaxWait {
		return []Decision{h.refuse(now, since, &req, cost)}
	}
	q := h.queue.push(req, since, cost)
	q.arrived, q.maxWait = now, req.MaxWait
	out := h.drainQueue(now)
	if h.queue.byAttempt[req.Attempt] != nil {
		out = append(out, h.position(q))
	}
	return out
}

// position returns the decision that states a queued request's place in its organisation's
// queue.
func (h *Home) position(q *queuedRequest) Decision {
	return Decision{Attempt: q.req.Attempt, Kind: Queued, Position: q.index + 1}
}

// End releases an attempt's grant or its place in the queue and records the length of the
// answer. complete is false for an answer that was broken off.
func (h *Home) End(now time.Time, attempt string, tokens int, complete bool) []Decision {
	if g := h.granted[attempt]; g != nil {
		h.release(g)
		h.ended.add(now, attempt)
		if h.settings.Engine && tokens > 0 && !h.settings.Without.Has(mechanism.Lengths) {
			h.lengths.Observe(h.settings.Service, &g.req, tokens, complete && tokens < g.req.MaxOutput)
		}
	}
	if q := h.queue.byAttempt[attempt]; q != nil {
		h.queue.remove(q)
	}
	return h.drainQueue(now)
}

// Tick grants queued requests for which there is room now, refuses those that have reached their
// maximum wait, and expires old records. It is called periodically.
func (h *Home) Tick(now time.Time) []Decision {
	h.reserveForMoves(now)
	out := append(h.drainQueue(now), h.refuseUnplaceable(now)...)
	out = append(out, h.refuseHopeless(now)...)
	for _, q := range h.queue.overdue(now) {
		h.queue.remove(q)
		if !q.late {
			h.meter.recordMiss()
		}
		out = append(out, h.refuseQueued(now, q))
	}
	h.queue.dropIdleOrgs()
	h.ended.expire(now)
	h.refusedCallers.expire(now)
	return out
}

// maxBypass is the number of queued requests that may be skipped in one round.
const maxBypass = 4

// drainQueue grants queued requests in order. One for which no upstream has room is skipped
// until it has waited for bypassTimeout; from then on it blocks those behind it. A stream that goes on waits for
// its software version and blocks no other request.
func (h *Home) drainQueue(now time.Time) []Decision {
	h.advanceMeter(now)
	h.setHeadroom(now)
	out := h.demote(now)
	var skipped map[*queuedRequest]bool
	bypassed := 0
	for bypassed < maxBypass {
		q := h.queue.best(skipped)
		if q == nil {
			break
		}
		u := h.choose(now, &q.req)
		if u != nil {
			h.queue.remove(q)
			h.meter.recordGrant(q.cost, q.late)
			h.recordFlow(q)
			out = append(out, h.grant(now, q.req, u, q.cost))
			continue
		}
		if q.req.Software == "" {
			if bypassed++; now.Sub(q.firstSent) > bypassTimeout {
				break
			}
		}
		if skipped == nil {
			skipped = map[*queuedRequest]bool{}
		}
		skipped[q] = true
	}
	return out
}

// recordFlow records the grant of a queued request by rank.
func (h *Home) recordFlow(q *queuedRequest) {
	if h.settings.Predict {
		h.flow.recordGrant(q.rank, workOf(&q.req, q.cost))
		h.queue.shares.recordGrant(q.rank, h.predictNew(&q.req).value)
	}
}

// advanceMeter advances the drain meter to now. It is called before the queue changes.
func (h *Home) advanceMeter(now time.Time) {
	h.meter.advance(now, h.queue.len() > 0, h.queue.lateCount > 0)
	if !h.settings.Predict {
		return
	}
	supply, waiting := 0.0, h.queue.shares.mostUrgent()
	if waiting < rankCount {
		supply = h.prefillRate(now)
	}
	h.flow.advance(now, waiting, supply)
	h.queue.advanceShares(now)
}

// demote moves late requests behind the others and refuses those that would exceed their maximum
// wait there.
func (h *Home) demote(now time.Time) []Decision {
	if !h.settings.Predict || h.settings.Without.Has(mechanism.LateBehind) {
		return nil
	}
	var out []Decision
	for _, q := range h.queue.demote(func(q *queuedRequest) bool {
		return h.missesDeadline(now, q.firstSent, &q.req)
	}) {
		if !q.hasTurn() && h.tooLong(h.lateWait(now, q), q.caller.slack()*q.maxWait-now.Sub(q.arrived)) {
			h.queue.remove(q)
			out = append(out, h.refuseQueued(now, q))
		}
	}
	return out
}

// refuseQueued refuses a request that was removed from the queue.
func (h *Home) refuseQueued(now time.Time, q *queuedRequest) Decision {
	if !h.defers(&q.req) {
		return h.refuse(now, q.firstSent, &q.req, q.cost)
	}
	req := q.req
	if req.TimeLeft > 0 {
		req.TimeLeft = max(req.TimeLeft-now.Sub(q.arrived), 1)
	}
	return h.deferRequest(now, q.firstSent, &req, q.cost, h.outlookOf(now, &req), q.caller)
}

// setHeadroom sets z from the time that the queued work takes to drain.
func (h *Home) setHeadroom(now time.Time) {
	h.z = h.tuning.idleZ
	if h.queue.len() > 0 {
		h.z = h.tuning.headroom(seconds(h.queue.cost / h.drainRate(now)))
	}
}

// bypassTimeout is how long later requests may overtake one for which no upstream has room.
const bypassTimeout = 10 * time.Second

// grant adds a grant to the ledger and returns the decision.
func (h *Home) grant(now time.Time, req Request, u *upstream, cost float64) Decision {
	g := &grant{req: req, upstream: u, grantedAt: now, lastSeen: now, tokensKnownAt: now}
	g.priority = h.priority(&req)
	u.addPending(now, req.Prompt, h.settings.PromptRate/u.meanSlowdown())
	u.countStart(now)
	forecast := h.forecastGrant(now, &req, u)
	h.addGrant(g)
	h.queue.charge(req.Org, cost)
	d := g.decision()
	d.Forecast = forecast
	return d
}

// forecastGrant predicts the course of a request's generation on an upstream.
func (h *Home) forecastGrant(now time.Time, req *Request, u *upstream) Forecast {
	if !h.settings.Predict {
		return Forecast{}
	}
	s, p := &h.summaries[u.index], h.predictNew(req)
	pending := s.prefillTokensAt(now.UnixNano())
	f := Forecast{
		Unread: int(pending), First: seconds(s.slowdown.Seconds(now.UnixNano(), (pending+p.prompt)/s.rate)), Pace: seconds(s.pace * s.slowdown.Mean()), Output: int(p.output), Free: s.free,
	}
	if s.slowdown.Stated() {
		f.Slowdown = s.slowdown.At(now.UnixNano())
	}
	return f
}

func (g *grant) decision() Decision {
	return Decision{
		Attempt: g.req.Attempt, Kind: Granted, Upstream: g.upstream.name, Priority: g.priority,
	}
}

// awaitsFirstReport reports whether a new home still expects its first report, so that requests
// are queued. Otherwise the first callers after an idle time would be refused.
func (h *Home) awaitsFirstReport(now time.Time) bool {
	if h.firstRequest.IsZero() {
		h.firstRequest = now
	}
	return !h.hasReport && now.Sub(h.firstRequest) < reportMaxAge
}

// refuseUnplaceable refuses queued requests if the first report has not arrived in time, or if
// all upstreams on which they may run are cordoned.
func (h *Home) refuseUnplaceable(now time.Time) []Decision {
	if h.queue.len() == 0 {
		return nil
	}
	noReport := !h.hasReport && now.Sub(h.firstRequest) >= reportMaxAge
	var out []Decision
	for _, q := range h.queue.all() {
		if noReport || h.hasReport && h.unplaceable(&q.req) {
			h.queue.remove(q)
			out = append(out, h.noUpstream(&q.req))
		}
	}
	return out
}

// unplaceable reports whether no upstream can run a request: all on which it may run are
// cordoned, or it is limited to data centres or to a software version without upstreams. Leaving upstreams are ignored.
// If all upstreams are leaving, a request that may run anywhere can still be placed later: they
// are likely to be replaced.
func (h *Home) unplaceable(req *Request) bool {
	found := false
	for _, u := range h.upstreams {
		if u.report.Leaving || !req.mayRunOn(&u.report) {
			continue
		}
		if !u.cordoned {
			return false
		}
		found = true
	}
	return found || len(req.DataCentres) > 0 || req.Software != ""
}

// cordonedRetry is the Retry-After when every upstream is cordoned. It is not derived from load,
// as operators decide when a cordon ends.
const cordonedRetry = 2 * time.Second

// noUpstream returns the refusal of a request that no upstream can run.
func (h *Home) noUpstream(req *Request) Decision {
	d := Decision{Attempt: req.Attempt, Kind: Refused, Reason: ReasonNoUpstream, RetryAfter: reportMaxAge}
	for _, u := range h.upstreams {
		if u.cordoned && !u.report.Leaving && req.mayRunOn(&u.report) {
			d.Reason, d.RetryAfter = ReasonCordoned, cordonedRetry
		}
	}
	return d
}

// anyAvailable reports whether any upstream that takes new work may run a request.
func (h *Home) anyAvailable(now time.Time, req *Request) bool {
	for _, u := range h.upstreams {
		if u.takesWork(now) && req.mayRunOn(&u.report) {
			return true
		}
	}
	return false
}

// cost returns the expected work of a request: the mean memory that it holds, in tokens, times
// the number of output tokens during which it holds it. It is 1 for plain services.
func (h *Home) cost(req *Request) float64 {
	if !h.settings.Engine {
		return 1
	}
	c := h.lengths.curve(h.settings.Service, req)
	length := c.remaining(0, req.MaxOutput)
	return length * (float64(req.Prompt) + length/2)
}

// prioritiesPerBucket is the number of priorities within one bucket of expected length.
const prioritiesPerBucket = 100

// priority returns the priority that the engine uses to select the generation to preempt. That
// is the one with the highest value, expected to become the longest, as this frees the most
// memory. Ties are broken by fingerprint, so that the same generation is preempted repeatedly
// rather than a second one as well.
func (h *Home) priority(req *Request) int {
	if !h.settings.Engine {
		return 0
	}
	c := h.lengths.curve(h.settings.Service, req)
	class := bucketOf(int(c.remaining(0, req.MaxOutput)))
	return class*prioritiesPerBucket + int(req.Fingerprint%prioritiesPerBucket)
}
