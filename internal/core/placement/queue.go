package placement

import (
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"
)

// queuedRequest is a queued request.
type queuedRequest struct {
	req Request
	// firstSent is when the caller first sent the request. arrived is when the request that is now
	// in the queue arrived. They differ if the caller was refused and returned.
	firstSent time.Time
	arrived   time.Time
	// cost is the expected work: memory held times tokens produced; see Home.cost.
	cost float64
	// key orders the requests of an organisation. For a request with a first-token target it is
	// the deadline of the first token; once that can no longer be met, it is delayed by
	// lateKeyDelay. Otherwise it is the time of the first request, delayed in proportion to the
	// cost up to maxCost, which bounds the wait.
	key time.Time
	// maxWait is the longest time in the queue, from arrived.
	maxWait time.Duration
	// caller is the record of a caller that has returned, nil for a newcomer.
	caller *refusedCaller
	// late is set once the deadline can no longer be met and the key was delayed.
	late bool
	// rank is the urgency by which the request is served; 0 is the most urgent.
	rank int
	// index is the position in the heap of its line.
	index int
}

// hasTurn reports whether the caller has returned for a turn that it was given. Such a request is the
// first among the late ones.
func (q *queuedRequest) hasTurn() bool { return q.caller != nil && q.caller.hasTurn }

// lateDelay returns the delay of a request's key once it is late.
func (q *queuedRequest) lateDelay() time.Duration {
	if q.hasTurn() {
		return lateKeyDelay / 2 // behind all timely requests and before the other late ones
	}
	return lateKeyDelay
}

// lateKeyDelay is the delay added to the key of a request that can no longer meet its deadline.
// Served in order of deadlines, late requests would make the following ones late as well.
const lateKeyDelay = time.Minute

// orgQueue holds the state of one organisation.
type orgQueue struct {
	name string
	// queued is the number of queued requests.
	queued int
	// served is the cost granted so far, measured on the queue's virtual clock.
	served float64
}

// line holds the queued requests of one rank of an organisation.
type line struct {
	org      *orgQueue
	rank     int
	requests requestHeap
}

// lineKey identifies a line.
type lineKey struct {
	org  string
	rank int
	// software is that of a stream that goes on. Such requests have lines of their own, as they may wait for
	// room while there is room for others.
	software string
}

// requestHeap implements heap.Interface; the first request is the next one.
type requestHeap []*queuedRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(a, b int) bool { return h[a].before(h[b]) }

func (h requestHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

func (h *requestHeap) Push(x any) {
	q := x.(*queuedRequest)
	q.index = len(*h)
	*h = append(*h, q)
}

func (h *requestHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return q
}

// queue orders requests by rank, fairly among organisations, and within an organisation by key: by
// deadline, or cheapest first with ageing. The cost served for an organisation may exceed that of
// the least served one by slack, so that two waiting organisations differ by at most slack and
// the cost of one request.
type queue struct {
	// slack is in units of cost.
	slack float64
	// delayPerCost is the delay of a request's key, in nanoseconds, for each unit of cost.
	delayPerCost float64
	// byDeadline orders requests by the deadline of their first token.
	byDeadline bool
	byAttempt  map[string]*queuedRequest
	// lateCount is the number of late requests, lateCost the sum of their costs.
	lateCount int
	lateCost  float64
	// cost is the sum of the costs of all requests.
	cost float64
	orgs map[string]*orgQueue
	// lines holds the lines that have queued requests, waiting lists them.
	lines   map[lineKey]*line
	waiting []*line
	// byRank orders requests by their rank, and shares divides the work among the ranks.
	byRank bool
	shares rankShares
	// clock is the virtual clock: the minimum of served over the waiting organisations. An
	// organisation that returns after an idle time starts there, without credit for that time.
	clock float64
}

func newQueue(t tuning) *queue {
	return &queue{
		slack: t.slack, delayPerCost: t.delayPerCost,
		byAttempt: map[string]*queuedRequest{}, orgs: map[string]*orgQueue{}, lines: map[lineKey]*line{},
	}
}

func (q *queue) len() int { return len(q.byAttempt) }

// all returns the requests sorted by attempt.
func (q *queue) all() []*queuedRequest {
	out := make([]*queuedRequest, 0, len(q.byAttempt))
	for _, attempt := range slices.Sorted(maps.Keys(q.byAttempt)) {
		out = append(out, q.byAttempt[attempt])
	}
	return out
}

func (q *queue) push(req Request, since time.Time, cost float64) *queuedRequest {
	item := &queuedRequest{req: req, firstSent: since, cost: cost, rank: q.rankOf(&req)}
	item.key = q.keyOf(&req, since, cost)
	q.cost += cost
	q.byAttempt[req.Attempt] = item
	l := q.line(&req, item.rank)
	if l.org.queued == 0 {
		l.org.served = max(l.org.served, q.clock)
	}
	l.org.queued++
	heap.Push(&l.requests, item)
	return item
}

// line returns the line of a rank of an organisation, which it adds if there is none.
func (q *queue) line(req *Request, rank int) *line {
	key := lineKey{org: req.Org, rank: rank, software: req.Software}
	l := q.lines[key]
	if l == nil {
		l = &line{org: q.org(req.Org), rank: rank}
		q.lines[key] = l
		q.waiting = append(q.waiting, l)
	}
	return l
}

func (q *queue) keyOf(req *Request, since time.Time, cost float64) time.Time {
	if q.byDeadline && req.FirstTarget > 0 {
		return since.Add(req.FirstTarget)
	}
	return since.Add(time.Duration(min(cost, maxCost) * q.delayPerCost))
}

// costAhead returns the sum of the costs of the requests before a key.
func (q *queue) costAhead(key time.Time) float64 {
	sum := 0.0
	for _, item := range q.byAttempt {
		if item.key.Before(key) {
			sum += item.cost
		}
	}
	return sum
}

// demote marks the requests for which missed returns true as late and moves them behind the
// others. It returns them in their new order.
func (q *queue) demote(missed func(item *queuedRequest) bool) []*queuedRequest {
	var out []*queuedRequest
	for _, l := range q.waiting {
		for _, item := range slices.Clone(l.requests) {
			if item.late || !missed(item) {
				continue
			}
			item.late = true
			q.lateCount++
			q.lateCost += item.cost
			item.key = item.key.Add(item.lateDelay())
			heap.Fix(&l.requests, item.index)
			out = append(out, item)
		}
	}
	slices.SortFunc(out, inOrder)
	return out
}

// late returns the late requests in their order.
func (q *queue) late() []*queuedRequest {
	var out []*queuedRequest
	for _, l := range q.waiting {
		for _, item := range l.requests {
			if item.late {
				out = append(out, item)
			}
		}
	}
	slices.SortFunc(out, inOrder)
	return out
}

// inOrder compares requests by the order in which they are served, apart from fairness.
func inOrder(a, b *queuedRequest) int {
	if a.precedes(b) {
		return -1
	}
	return 1
}

// precedes reports whether a request is served before another one that is late or timely like it,
// apart from fairness.
func (q *queuedRequest) precedes(o *queuedRequest) bool {
	if q.rank != o.rank {
		return q.rank < o.rank
	}
	return q.before(o)
}

// before reports whether a request is served before another one of the same line.
func (q *queuedRequest) before(o *queuedRequest) bool {
	if q.key.Equal(o.key) {
		return q.req.Attempt < o.req.Attempt
	}
	return q.key.Before(o.key)
}

// lateAhead returns the sums of the costs and of the prompt tokens of the late requests that are
// served before request.
func (q *queue) lateAhead(request *queuedRequest) (cost, prompts float64) {
	for _, item := range q.byAttempt {
		if item.late && item.precedes(request) {
			cost += item.cost
			prompts += float64(item.req.Prompt)
		}
	}
	return cost, prompts
}

// overdue returns the requests that have reached their maximum wait.
func (q *queue) overdue(now time.Time) []*queuedRequest {
	var out []*queuedRequest
	for _, l := range q.waiting {
		for _, item := range l.requests {
			if now.Sub(item.arrived) >= item.maxWait {
				out = append(out, item)
			}
		}
	}
	return out
}

func (q *queue) org(name string) *orgQueue {
	o := q.orgs[name]
	if o == nil {
		o = &orgQueue{name: name, served: q.clock}
		q.orgs[name] = o
	}
	return o
}

func (q *queue) remove(item *queuedRequest) {
	delete(q.byAttempt, item.req.Attempt)
	q.cost = max(q.cost-item.cost, 0)
	if item.late {
		q.lateCount--
		q.lateCost = max(q.lateCost-item.cost, 0)
	}
	key := lineKey{org: item.req.Org, rank: item.rank, software: item.req.Software}
	l := q.lines[key]
	heap.Remove(&l.requests, item.index)
	l.org.queued--
	if len(l.requests) > 0 {
		return
	}
	delete(q.lines, key)
	if i := slices.Index(q.waiting, l); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// charge adds the cost of a granted request to that served for its organisation.
func (q *queue) charge(org string, cost float64) {
	q.org(org).served += cost
}

// best returns the next request that is not in skipped: by rank, and late requests last within a rank.
// An organisation that has only late requests does not delay others of its rank.
func (q *queue) best(skipped map[*queuedRequest]bool) *queuedRequest {
	q.advanceClock()
	var waiting [rankCount]bool
	for _, l := range q.waiting {
		waiting[l.rank] = true
	}
	order, n := q.shares.order(&waiting)
	for _, rank := range order[:n] {
		for _, late := range [2]bool{false, true} {
			if b := q.bestAmong(skipped, late, rank); b != nil {
				return b
			}
		}
	}
	return nil
}

// bestAmong returns the next late request of a rank if late is set, otherwise the next timely one.
// It considers only organisations whose served cost exceeds the minimum by at most slack and whose
// first request is not in skipped.
func (q *queue) bestAmong(skipped map[*queuedRequest]bool, late bool, rank int) *queuedRequest {
	minServed := math.Inf(1)
	for _, l := range q.waiting {
		if l.rank == rank && l.requests[0].late == late {
			minServed = min(minServed, l.org.served)
		}
	}
	var best *queuedRequest
	for _, l := range q.waiting {
		head := l.requests[0]
		if l.rank != rank || head.late != late || l.org.served > minServed+q.slack || skipped[head] {
			continue
		}
		if best == nil || head.before(best) {
			best = head
		}
	}
	return best
}

// advanceClock advances the clock to the minimum of served over the waiting organisations.
func (q *queue) advanceClock() {
	if len(q.waiting) == 0 {
		return
	}
	minServed := q.waiting[0].org.served
	for _, l := range q.waiting {
		minServed = min(minServed, l.org.served)
	}
	q.clock = max(q.clock, minServed)
}

// dropIdleOrgs drops the organisations that have no requests and whose served cost is at most the
// queue's clock. An organisation that returns starts at the clock in any case, so dropping its
// served cost changes nothing.
func (q *queue) dropIdleOrgs() {
	if len(q.waiting) == 0 {
		q.clock = q.maxServed()
	}
	for name, o := range q.orgs {
		if o.queued == 0 && o.served <= q.clock {
			delete(q.orgs, name)
		}
	}
}

func (q *queue) maxServed() float64 {
	highest := q.clock
	for _, o := range q.orgs {
		highest = max(highest, o.served)
	}
	return highest
}
