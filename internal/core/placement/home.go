package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
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
	byFingerprint map[uint64][]*grant
	queue         *queue
	cordons       cordon.Set
	ended         endedAttempts
	promises      promises
	meter         drainMeter
	// firstAsk is the time of the first request; hasReport is set by the first report.
	firstAsk  time.Time
	hasReport bool
	// prefillLimit is the backlog in seconds of prefill up to which an upstream is given another
	// prompt.
	prefillLimit float64
	// movesReserve is the fraction of each upstream's memory that is kept free of new work, for
	// moves of generations off leaving upstreams.
	movesReserve float64
	// poolSpeed is the mean speed of the pool's upstreams.
	poolSpeed speed
}

// NewHome returns a home without upstreams. They are added by their reports.
func NewHome(s Settings) *Home {
	h := &Home{
		byName: map[string]*upstream{}, granted: map[string]*grant{}, byFingerprint: map[uint64][]*grant{},
		ended: newEndedAttempts(), promises: newPromises(),
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
}

// Report records an upstream's load as of asked, the time at which the report was requested. The
// queue is served as of now. If a home that was frozen in between used asked for both, every
// report would look fresh, including those of upstreams that have left.
func (h *Home) Report(now, asked time.Time, r Report) []Decision {
	u := h.byName[r.Upstream]
	if u == nil {
		u = h.addUpstream(r.Upstream)
	}
	if r.Boot != u.report.Boot && u.report.Boot != "" {
		u.tokenTime = 0
	}
	leavingChanged := r.Leaving != u.report.Leaving
	u.report, u.reportedAt, u.starts.Limit = r, asked, r.MaxStarts
	u.cordoned = h.cordons.Has(r.DataCentre)
	if leavingChanged {
		h.reserveForMoves(now)
	}
	h.hasReport = true
	h.reconcile(now, u)
	h.refreshForecasts(now, u)
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
func (h *Home) Remove(name string) []Ask {
	u := h.byName[name]
	if u == nil {
		return nil
	}
	var removed []Ask
	for _, g := range append([]*grant(nil), u.grants...) {
		removed = append(removed, g.ask)
		h.release(g)
	}
	h.dropUpstream(u)
	return removed
}

// Ask grants, queues or refuses a request. It is idempotent per attempt.
func (h *Home) Ask(now time.Time, ask Ask) []Decision {
	if g := h.granted[ask.Attempt]; g != nil && g.upstream.takesWork(now) {
		g.lastSeen = now
		return []Decision{g.decision()}
	} else if g != nil {
		h.release(g) // the reply with the grant was lost; the upstream takes no new work any more
	}
	if q := h.queue.byAttempt[ask.Attempt]; q != nil {
		return []Decision{h.position(q)}
	}
	if h.awaitsFirstReport(now) {
		h.queue.push(ask, now, h.cost(&ask)).arrived = now
		return []Decision{{Attempt: ask.Attempt, Kind: Queued, Position: 1}}
	}
	if !h.anyAvailable(now, &ask) {
		return []Decision{h.noUpstream(&ask)}
	}
	cost := h.cost(&ask)
	h.advanceMeter(now)
	h.meter.arrived[costClass(cost)] += cost
	if h.queue.len() == 0 {
		if u := h.choose(now, &ask); u != nil {
			return []Decision{h.grant(now, ask, u, cost)}
		}
	}
	return h.enqueue(now, ask, cost)
}

// enqueue queues a request, or refuses it if its predicted wait is too long.
func (h *Home) enqueue(now time.Time, ask Ask, cost float64) []Decision {
	since := h.promises.redeem(now, &ask)
	if h.tooLong(h.predictWait(now, since, &ask, cost), ask.MaxWait) {
		return []Decision{h.refuse(now, since, &ask, cost)}
	}
	q := h.queue.push(ask, since, cost)
	q.arrived = now
	out := h.drainQueue(now)
	if h.queue.byAttempt[ask.Attempt] != nil {
		out = append(out, h.position(q))
	}
	return out
}

// position returns the decision that states a queued request's place in its organisation's
// queue.
func (h *Home) position(q *queuedAsk) Decision {
	return Decision{Attempt: q.ask.Attempt, Kind: Queued, Position: q.index + 1}
}

// End releases an attempt's grant or its place in the queue and learns from the length of the
// answer. complete is false for an answer that was cut off.
func (h *Home) End(now time.Time, attempt string, tokens int, complete bool) []Decision {
	if g := h.granted[attempt]; g != nil {
		h.release(g)
		h.ended.add(now, attempt)
		if h.settings.Engine && tokens > 0 && !h.settings.Without.Has(mechanism.Lengths) {
			h.lengths.Observe(h.settings.Service, &g.ask, tokens, complete && tokens < g.ask.MaxOutput)
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
	for _, q := range h.queue.overdue(now) {
		h.queue.remove(q)
		if !q.late {
			h.meter.recordMiss()
		}
		out = append(out, h.refuse(now, q.firstAsked, &q.ask, q.cost))
	}
	h.queue.dropIdleOrgs()
	h.ended.expire(now)
	h.promises.expire(now)
	return out
}

// maxBypass is the number of queued requests that may be passed over in one round.
const maxBypass = 4

// drainQueue grants queued requests in order. One for which no upstream has room is passed over
// until it has waited for bypassTimeout; from then on it blocks those behind it.
func (h *Home) drainQueue(now time.Time) []Decision {
	h.advanceMeter(now)
	h.setHeadroom(now)
	out := h.demote(now)
	var passed map[*queuedAsk]bool
	for len(passed) < maxBypass {
		q := h.queue.best(passed)
		if q == nil {
			break
		}
		u := h.choose(now, &q.ask)
		if u != nil {
			h.queue.remove(q)
			h.meter.recordGrant(q.cost, q.late)
			out = append(out, h.grant(now, q.ask, u, q.cost))
			continue
		}
		if now.Sub(q.firstAsked) > bypassTimeout {
			break
		}
		if passed == nil {
			passed = map[*queuedAsk]bool{}
		}
		passed[q] = true
	}
	return out
}

// advanceMeter advances the drain meter to now. It is called before the queue changes.
func (h *Home) advanceMeter(now time.Time) {
	h.meter.advance(now, h.queue.len() > 0, h.queue.lateCount > 0)
}

// demote moves late requests behind the others and refuses those that would exceed their maximum
// wait there.
func (h *Home) demote(now time.Time) []Decision {
	if !h.settings.Predict || h.settings.Without.Has(mechanism.LateBehind) {
		return nil
	}
	var out []Decision
	for _, q := range h.queue.demote(func(q *queuedAsk) bool { return h.missesDeadline(now, q.firstAsked, &q.ask) }) {
		if h.tooLong(h.lateWait(now, q), q.ask.MaxWait-now.Sub(q.arrived)) {
			h.queue.remove(q)
			out = append(out, h.refuse(now, q.firstAsked, &q.ask, q.cost))
		}
	}
	return out
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
func (h *Home) grant(now time.Time, ask Ask, u *upstream, cost float64) Decision {
	g := &grant{ask: ask, upstream: u, grantedAt: now, lastSeen: now, tokensKnownAt: now}
	g.priority = h.priority(&ask)
	u.addPending(now, ask.Prompt, h.settings.PromptRate)
	u.starts.Note(now)
	forecast := h.forecastGrant(now, &ask, u)
	h.addGrant(g)
	h.queue.charge(ask.Org, cost)
	d := g.decision()
	d.Forecast = forecast
	return d
}

// forecastGrant predicts the course of a request's generation on an upstream.
func (h *Home) forecastGrant(now time.Time, ask *Ask, u *upstream) Forecast {
	if !h.settings.Predict {
		return Forecast{}
	}
	s, p := &h.summaries[u.index], h.predictNew(ask)
	unread := s.prefillTokensAt(now.UnixNano())
	return Forecast{
		Unread: int(unread), First: seconds((unread + p.prompt) / s.rate), Pace: seconds(s.pace), Output: int(p.output), Free: s.free,
	}
}

func (g *grant) decision() Decision {
	return Decision{
		Attempt: g.ask.Attempt, Kind: Granted, Upstream: g.upstream.name, Priority: g.priority,
	}
}

// awaitsFirstReport reports whether a new home still expects its first report, so that requests
// are queued. Otherwise the first callers after an idle time would be refused.
func (h *Home) awaitsFirstReport(now time.Time) bool {
	if h.firstAsk.IsZero() {
		h.firstAsk = now
	}
	return !h.hasReport && now.Sub(h.firstAsk) < reportMaxAge
}

// refuseUnplaceable refuses queued requests if the first report has not arrived in time, or if
// all upstreams on which they may run are cordoned.
func (h *Home) refuseUnplaceable(now time.Time) []Decision {
	if h.queue.len() == 0 {
		return nil
	}
	noReport := !h.hasReport && now.Sub(h.firstAsk) >= reportMaxAge
	var out []Decision
	for _, q := range h.queue.all() {
		if noReport || h.hasReport && h.unplaceable(&q.ask) {
			h.queue.remove(q)
			out = append(out, h.noUpstream(&q.ask))
		}
	}
	return out
}

// unplaceable reports whether no upstream can run a request: all on which it may run are
// cordoned, or it is limited to data centres without upstreams. Leaving upstreams are ignored.
// A request that may run anywhere is not unplaceable if all upstreams are leaving, as these are
// likely to be replaced.
func (h *Home) unplaceable(ask *Ask) bool {
	found := false
	for _, u := range h.upstreams {
		if u.report.Leaving || !ask.mayRunIn(u.report.DataCentre) {
			continue
		}
		if !u.cordoned {
			return false
		}
		found = true
	}
	return found || len(ask.DataCentres) > 0
}

// cordonedRetry is the Retry-After when every upstream is cordoned. It is not derived from load,
// as operators decide when a cordon ends.
const cordonedRetry = 2 * time.Second

// noUpstream returns the refusal of a request that no upstream can run.
func (h *Home) noUpstream(ask *Ask) Decision {
	d := Decision{Attempt: ask.Attempt, Kind: Refused, Reason: ReasonNoUpstream, RetryAfter: reportMaxAge}
	for _, u := range h.upstreams {
		if u.cordoned && !u.report.Leaving && ask.mayRunIn(u.report.DataCentre) {
			d.Reason, d.RetryAfter = ReasonCordoned, cordonedRetry
		}
	}
	return d
}

// anyAvailable reports whether any upstream that takes new work may run a request.
func (h *Home) anyAvailable(now time.Time, ask *Ask) bool {
	for _, u := range h.upstreams {
		if u.takesWork(now) && ask.mayRunIn(u.report.DataCentre) {
			return true
		}
	}
	return false
}

// cost returns the expected work of a request: the mean memory that it holds, in tokens, times
// the number of output tokens during which it holds it. It is 1 for plain services.
func (h *Home) cost(ask *Ask) float64 {
	if !h.settings.Engine {
		return 1
	}
	c := h.lengths.curve(h.settings.Service, ask)
	length := c.remaining(0, ask.MaxOutput)
	return length * (float64(ask.Prompt) + length/2)
}

// priorityTies is the number of priorities within one bucket of expected length.
const priorityTies = 100

// priority returns the priority that the engine uses to select the generation to preempt. That
// is the one with the highest value, expected to become the longest, as this frees the most
// memory. Ties are broken by fingerprint, so that the same generation is preempted repeatedly
// rather than a second one as well.
func (h *Home) priority(ask *Ask) int {
	if !h.settings.Engine {
		return 0
	}
	c := h.lengths.curve(h.settings.Service, ask)
	class := bucketOf(int(c.remaining(0, ask.MaxOutput)))
	return class*priorityTies + int(ask.Fingerprint%priorityTies)
}
