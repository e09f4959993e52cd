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
	// z is the current headroom in standard deviations.
	z       float64
	lengths *Lengths
	// upstreams are sorted by name, which makes decisions deterministic.
	upstreams []*upstream
	summaries []summary
	byName    map[string]*upstream
	granted   map[string]*grant
	// prints holds the grants of each fingerprint.
	prints   map[uint64][]*grant
	queue    *queue
	cordons  cordon.Set
	ended    recent
	promises promises
	meter    drainMeter
	// begun is the time of the first ask; warm is set by the first report.
	begun time.Time
	warm  bool
	// readAhead is the backlog in seconds up to which an upstream gets another prompt.
	readAhead float64
	// forMoves is the fraction of memory reserved for generations on leaving upstreams.
	forMoves float64
	// typical is the mean speed of the pool's upstreams.
	typical speed
}

// NewHome returns a home without upstreams, which are added by their reports.
func NewHome(s Settings) *Home {
	h := &Home{
		byName: map[string]*upstream{}, granted: map[string]*grant{}, prints: map[uint64][]*grant{},
		ended: newRecent(), promises: newPromises(),
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
		h.lengths.oneKind = s.Without.Has(mechanism.Kinds)
	}
	if s.PromptRate <= 0 {
		s.PromptRate = promptRate
	}
	h.settings = s
	h.tuning = tune(s.Weights)
	h.tuning.leaveOut(s.Without)
	h.z = h.tuning.calmZ
	h.queue.slack, h.queue.perCost = h.tuning.slack, h.tuning.perCost
	h.readAhead = readAheadNow(s.Without)
	h.queue.byDue = s.Predict && !s.Without.Has(mechanism.DueOrder)
}

// Report records an upstream's load as of the time it was asked. The queue is served as of
// now: to a home that was frozen in between, every report would look fresh otherwise,
// including those of leaving upstreams.
func (h *Home) Report(now, asked time.Time, r Report) []Decision {
	u := h.byName[r.Upstream]
	if u == nil {
		u = h.addUpstream(r.Upstream)
	}
	if r.Boot != u.report.Boot && u.report.Boot != "" {
		u.spt = 0
	}
	leaves := r.Leaving != u.report.Leaving
	u.report, u.reported, u.starts.Limit = r, asked, r.MaxStarts
	u.cordoned = h.cordons.Has(r.DataCentre)
	if leaves {
		h.reserveForMoves(now)
	}
	h.warm = true
	h.reconcile(now, u)
	h.refresh(now, u)
	return h.drainQueue(now)
}

// SetCordons sets the cordoned data centres. Their upstreams get no new work and keep what
// runs.
func (h *Home) SetCordons(now time.Time, s cordon.Set) []Decision {
	if s.Same(h.cordons) {
		return nil
	}
	h.cordons = s
	for _, u := range h.upstreams {
		u.cordoned = s.Has(u.report.DataCentre)
		h.summarize(u)
	}
	return append(h.drainQueue(now), h.refuseHopeless(now)...)
}

// Remove removes an upstream and returns the asks that ran there.
func (h *Home) Remove(name string) []Ask {
	u := h.byName[name]
	if u == nil {
		return nil
	}
	var ran []Ask
	for _, g := range append([]*grant(nil), u.grants...) {
		ran = append(ran, g.ask)
		h.release(g)
	}
	h.dropUpstream(u)
	return ran
}

// Ask answers a request for placement. It is idempotent per attempt.
func (h *Home) Ask(now time.Time, ask Ask) []Decision {
	if g := h.granted[ask.Attempt]; g != nil && g.upstream.takesWork(now) {
		g.seen = now
		return []Decision{g.decision()}
	} else if g != nil {
		h.release(g) // the first answer was lost, and the upstream leaves by now
	}
	if q := h.queue.byID[ask.Attempt]; q != nil {
		return []Decision{h.position(q)}
	}
	if h.warming(now) {
		h.queue.push(ask, now, h.cost(&ask)).asked = now
		return []Decision{{Attempt: ask.Attempt, Kind: Queued, Position: 1}}
	}
	if !h.anyFresh(now, &ask) {
		return []Decision{h.noUpstream(&ask)}
	}
	cost := h.cost(&ask)
	h.measure(now)
	h.meter.came[classOf(cost)] += cost
	if h.queue.len() == 0 {
		if u := h.choose(now, &ask); u != nil {
			return []Decision{h.grant(now, ask, u, cost)}
		}
	}
	return h.enqueue(now, ask, cost)
}

// enqueue queues an ask, or refuses it if the predicted wait is too long.
func (h *Home) enqueue(now time.Time, ask Ask, cost float64) []Decision {
	since := h.promises.redeem(now, &ask)
	if h.tooLong(h.predictWait(now, since, &ask, cost), ask.MaxWait) {
		return []Decision{h.refuse(now, since, &ask, cost)}
	}
	q := h.queue.push(ask, since, cost)
	q.asked = now
	out := h.drainQueue(now)
	if h.queue.byID[ask.Attempt] != nil {
		out = append(out, h.position(q))
	}
	return out
}

// position returns an ask's place in its organisation's queue.
func (h *Home) position(q *queued) Decision {
	return Decision{Attempt: q.ask.Attempt, Kind: Queued, Position: q.index + 1}
}

// End releases a grant or a place in the queue and learns from the answer's length. whole is
// false for an answer that was cut off.
func (h *Home) End(now time.Time, attempt string, tokens int, whole bool) []Decision {
	if g := h.granted[attempt]; g != nil {
		h.release(g)
		h.ended.add(now, attempt)
		if h.settings.Engine && tokens > 0 && !h.settings.Without.Has(mechanism.Lengths) {
			h.lengths.Observe(h.settings.Service, &g.ask, tokens, whole && tokens < g.ask.MaxOutput)
		}
	}
	if q := h.queue.byID[attempt]; q != nil {
		h.queue.remove(q)
	}
	return h.drainQueue(now)
}

// Tick grants queued asks that fit by now and refuses those that have waited too long.
func (h *Home) Tick(now time.Time) []Decision {
	h.reserveForMoves(now)
	out := append(h.drainQueue(now), h.refuseHopeless(now)...)
	for _, q := range h.queue.overdue(now) {
		h.queue.remove(q)
		if !q.late {
			h.meter.missed()
		}
		out = append(out, h.refuse(now, q.since, &q.ask, q.cost))
	}
	h.queue.forget()
	h.ended.forget(now)
	h.promises.forget(now)
	return out
}

// maxBypass is the number of asks that may be passed over in one round.
const maxBypass = 4

// drainQueue grants queued asks in order. An ask that does not fit is passed over until
// bypassTimeout.
func (h *Home) drainQueue(now time.Time) []Decision {
	h.measure(now)
	h.setHeadroom(now)
	out := h.demote(now)
	var passed map[*queued]bool
	for len(passed) < maxBypass {
		q := h.queue.best(passed)
		if q == nil {
			break
		}
		u := h.choose(now, &q.ask)
		if u != nil {
			h.queue.remove(q)
			h.meter.served(q.cost, q.late)
			out = append(out, h.grant(now, q.ask, u, q.cost))
			continue
		}
		if now.Sub(q.since) > bypassTimeout {
			break
		}
		if passed == nil {
			passed = map[*queued]bool{}
		}
		passed[q] = true
	}
	return out
}

// measure updates the drain meter.
func (h *Home) measure(now time.Time) {
	h.meter.advance(now, h.queue.len() > 0, h.queue.lates > 0)
}

// demote moves late asks behind the others and refuses those that would exceed their patience
// there.
func (h *Home) demote(now time.Time) []Decision {
	if !h.settings.Predict || h.settings.Without.Has(mechanism.LateBehind) {
		return nil
	}
	var out []Decision
	for _, q := range h.queue.demote(func(q *queued) bool { return h.misses(now, q.since, &q.ask) }) {
		if h.tooLong(h.lateWait(now, q), q.ask.MaxWait-now.Sub(q.asked)) {
			h.queue.remove(q)
			out = append(out, h.refuse(now, q.since, &q.ask, q.cost))
		}
	}
	return out
}

// setHeadroom sets z from the length of the queue.
func (h *Home) setHeadroom(now time.Time) {
	h.z = h.tuning.calmZ
	if h.queue.len() > 0 {
		h.z = h.tuning.headroom(seconds(h.queue.cost / h.drainRate(now)))
	}
}

// bypassTimeout is how long later asks may overtake one that does not fit.
const bypassTimeout = 10 * time.Second

func (h *Home) grant(now time.Time, ask Ask, u *upstream, cost float64) Decision {
	g := &grant{ask: ask, upstream: u, at: now, seen: now, known: now}
	g.priority = h.priority(&ask)
	u.addPrompt(now, ask.Prompt, h.settings.PromptRate)
	u.starts.Note(now)
	forecast := h.forecastGrant(now, &ask, u)
	h.hold(g)
	h.queue.charge(ask.Org, cost)
	d := g.decision()
	d.Forecast = forecast
	return d
}

// forecastGrant predicts an ask's course on an upstream.
func (h *Home) forecastGrant(now time.Time, ask *Ask, u *upstream) Forecast {
	if !h.settings.Predict {
		return Forecast{}
	}
	s, p := &h.summaries[u.index], h.prospect(ask)
	unread := s.unreadAt(now.UnixNano())
	return Forecast{
		Unread: int(unread), First: seconds((unread + p.prompt) / s.rate), Pace: seconds(s.pace), Output: int(p.output), Free: s.free,
	}
}

func (g *grant) decision() Decision {
	return Decision{
		Attempt: g.ask.Attempt, Kind: Granted, Upstream: g.upstream.name, Priority: g.priority,
	}
}

// warming reports whether a new home still expects its first report. Without this grace a pool
// would refuse its first callers after an idle time.
func (h *Home) warming(now time.Time) bool {
	if h.begun.IsZero() {
		h.begun = now
	}
	return !h.warm && now.Sub(h.begun) < reportMaxAge
}

// refuseHopeless refuses asks that wait for a first report that did not come, or for upstreams
// that are all cordoned.
func (h *Home) refuseHopeless(now time.Time) []Decision {
	if h.queue.len() == 0 {
		return nil
	}
	cold := !h.warm && now.Sub(h.begun) >= reportMaxAge
	var out []Decision
	for _, q := range h.queue.all() {
		if cold || h.warm && h.hopeless(&q.ask) {
			h.queue.remove(q)
			out = append(out, h.noUpstream(&q.ask))
		}
	}
	return out
}

// hopeless reports whether no upstream can take an ask: all that it may run on are cordoned,
// or there are none. Leaving upstreams are likely to be replaced.
func (h *Home) hopeless(ask *Ask) bool {
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

// cordonedRetry is the Retry-After when every upstream is cordoned. The end of a cordon is up
// to the operators.
const cordonedRetry = 2 * time.Second

// noUpstream returns the refusal of an ask that no upstream can take.
func (h *Home) noUpstream(ask *Ask) Decision {
	d := Decision{Attempt: ask.Attempt, Kind: Refused, Reason: ReasonNoUpstream, RetryAfter: reportMaxAge}
	for _, u := range h.upstreams {
		if u.cordoned && !u.report.Leaving && ask.mayRunIn(u.report.DataCentre) {
			d.Reason, d.RetryAfter = ReasonCordoned, cordonedRetry
		}
	}
	return d
}

// anyFresh reports whether any upstream accepts an ask.
func (h *Home) anyFresh(now time.Time, ask *Ask) bool {
	for _, u := range h.upstreams {
		if u.takesWork(now) && ask.mayRunIn(u.report.DataCentre) {
			return true
		}
	}
	return false
}

// cost is the expected work of an ask: the memory that it holds times the number of tokens for
// which it holds it.
func (h *Home) cost(ask *Ask) float64 {
	if !h.settings.Engine {
		return 1
	}
	c := h.lengths.curve(h.settings.Service, ask)
	length := c.remaining(0, ask.MaxOutput)
	return length * (float64(ask.Prompt) + length/2)
}

// priorityTies is the number of priorities within one class of expected length.
const priorityTies = 100

// priority tells the engine which generation to preempt first: the one expected to get
// longest, as that frees the most memory. Ties are broken strictly, so that the same
// generation is preempted again rather than a second one.
func (h *Home) priority(ask *Ask) int {
	if !h.settings.Engine {
		return 0
	}
	c := h.lengths.curve(h.settings.Service, ask)
	class := bucketOf(int(c.remaining(0, ask.MaxOutput)))
	return class*priorityTies + int(ask.Fingerprint%priorityTies)
}
