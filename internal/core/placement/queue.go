package placement

import (
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"
)

// queued is a waiting ask.
type queued struct {
	ask Ask
	// since is when the caller first asked, asked when this ask arrived.
	since time.Time
	asked time.Time
	// cost is the expected work: memory held times tokens produced.
	cost float64
	// key orders an organisation's asks. With a target it is the deadline of the first token,
	// moved behind the others once it can no longer be met. Otherwise it is the arrival time,
	// delayed in proportion to the cost up to maxCost, which bounds the wait.
	key time.Time
	// late is set once the ask was moved behind the others.
	late  bool
	index int
}

// lateBehind is the delay added to the key of an ask that can no longer meet its deadline.
// Served in order, late asks would make the following ones late as well.
const lateBehind = time.Minute

// waitingOrg holds the queue of one organisation.
type waitingOrg struct {
	name string
	asks askHeap
	// served is the cost granted so far, on the queue's virtual clock.
	served float64
}

type askHeap []*queued

func (h askHeap) Len() int           { return len(h) }
func (h askHeap) Less(a, b int) bool { return h[a].before(h[b]) }

func (h askHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

func (h *askHeap) Push(x any) {
	q := x.(*queued)
	q.index = len(*h)
	*h = append(*h, q)
}

func (h *askHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return q
}

// queue orders asks fairly among organisations, then cheapest first with ageing. An
// organisation may lead the least served one by slack, so that two waiting organisations
// differ by at most slack and the cost of one ask.
type queue struct {
	slack   float64
	perCost float64
	// byDue orders asks by the deadline of their first token.
	byDue bool
	byID  map[string]*queued
	// lates counts the late asks; lateCost is the sum of their cost.
	lates    int
	lateCost float64
	// cost sums the cost of all asks.
	cost float64
	orgs map[string]*waitingOrg
	// waiting lists the organisations with asks.
	waiting []*waitingOrg
	// clock is the minimum served over waiting organisations. One that returns after a pause
	// starts there, without credit.
	clock float64
}

func newQueue(t tuning) *queue {
	return &queue{
		slack: t.slack, perCost: t.perCost,
		byID: map[string]*queued{}, orgs: map[string]*waitingOrg{},
	}
}

func (q *queue) len() int { return len(q.byID) }

// all lists the asks ordered by attempt.
func (q *queue) all() []*queued {
	out := make([]*queued, 0, len(q.byID))
	for _, attempt := range slices.Sorted(maps.Keys(q.byID)) {
		out = append(out, q.byID[attempt])
	}
	return out
}

func (q *queue) push(ask Ask, since time.Time, cost float64) *queued {
	item := &queued{ask: ask, since: since, cost: cost}
	item.key = q.keyOf(&ask, since, cost)
	q.cost += cost
	q.byID[ask.Attempt] = item
	o := q.org(ask.Org)
	if len(o.asks) == 0 {
		q.waiting = append(q.waiting, o)
		o.served = max(o.served, q.clock)
	}
	heap.Push(&o.asks, item)
	return item
}

func (q *queue) keyOf(ask *Ask, since time.Time, cost float64) time.Time {
	if q.byDue && ask.FirstTarget > 0 {
		return since.Add(ask.FirstTarget)
	}
	return since.Add(time.Duration(min(cost, maxCost) * q.perCost))
}

// ahead returns the sum of the cost of asks before a key.
func (q *queue) ahead(key time.Time) float64 {
	sum := 0.0
	for _, item := range q.byID {
		if item.key.Before(key) {
			sum += item.cost
		}
	}
	return sum
}

// demote moves asks that can no longer meet their deadline behind the others and returns them
// in order.
func (q *queue) demote(missed func(item *queued) bool) []*queued {
	var out []*queued
	for _, o := range q.waiting {
		for _, item := range slices.Clone(o.asks) {
			if item.late || !missed(item) {
				continue
			}
			item.late = true
			q.lates++
			q.lateCost += item.cost
			item.key = item.key.Add(lateBehind)
			heap.Fix(&o.asks, item.index)
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b *queued) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return out
}

// before orders the asks of one organisation.
func (q *queued) before(o *queued) bool {
	if q.key.Equal(o.key) {
		return q.ask.Attempt < o.ask.Attempt
	}
	return q.key.Before(o.key)
}

// lateAhead sums the cost and prompts of the late asks before another.
func (q *queue) lateAhead(of *queued) (cost, prompts float64) {
	for _, item := range q.byID {
		if item.late && item.before(of) {
			cost += item.cost
			prompts += float64(item.ask.Prompt)
		}
	}
	return cost, prompts
}

// overdue returns the asks that have reached their longest wait, in order.
func (q *queue) overdue(now time.Time) []*queued {
	var out []*queued
	for _, o := range q.waiting {
		for _, item := range o.asks {
			if now.Sub(item.asked) >= item.ask.MaxWait {
				out = append(out, item)
			}
		}
	}
	return out
}

func (q *queue) org(name string) *waitingOrg {
	o := q.orgs[name]
	if o == nil {
		o = &waitingOrg{name: name, served: q.clock}
		q.orgs[name] = o
	}
	return o
}

func (q *queue) remove(item *queued) {
	delete(q.byID, item.ask.Attempt)
	q.cost = max(q.cost-item.cost, 0)
	if item.late {
		q.lates--
		q.lateCost = max(q.lateCost-item.cost, 0)
	}
	o := q.orgs[item.ask.Org]
	heap.Remove(&o.asks, item.index)
	if len(o.asks) > 0 {
		return
	}
	for i, w := range q.waiting {
		if w == o {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// charge adds a granted ask to its organisation's served cost.
func (q *queue) charge(org string, cost float64) {
	q.org(org).served += cost
}

// best returns the next ask not passed over in this round, late asks last. An organisation
// with late asks only does not hold back others.
func (q *queue) best(passed map[*queued]bool) *queued {
	q.tick()
	if b := q.bestOf(passed, false); b != nil {
		return b
	}
	return q.bestOf(passed, true)
}

// bestOf returns the next late or timely ask among the organisations within slack.
func (q *queue) bestOf(passed map[*queued]bool, late bool) *queued {
	least := math.Inf(1)
	for _, o := range q.waiting {
		if o.asks[0].late == late {
			least = min(least, o.served)
		}
	}
	var best *queued
	for _, o := range q.waiting {
		head := o.asks[0]
		if head.late != late || o.served > least+q.slack || passed[head] {
			continue
		}
		if best == nil || head.before(best) {
			best = head
		}
	}
	return best
}

// tick advances the clock to the minimum served.
func (q *queue) tick() {
	if len(q.waiting) == 0 {
		return
	}
	least := q.waiting[0].served
	for _, o := range q.waiting {
		least = min(least, o.served)
	}
	q.clock = max(q.clock, least)
}

// forget drops idle organisations that the clock has passed; they would restart in the same
// state.
func (q *queue) forget() {
	if len(q.waiting) == 0 {
		q.clock = q.mostServed()
	}
	for name, o := range q.orgs {
		if len(o.asks) == 0 && o.served <= q.clock {
			delete(q.orgs, name)
		}
	}
}

func (q *queue) mostServed() float64 {
	most := q.clock
	for _, o := range q.orgs {
		most = max(most, o.served)
	}
	return most
}
