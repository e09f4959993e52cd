package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRetryAfter bounds the Retry-After of refusals. Callers that would have to wait longer
	// share the time up to it.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * time.Millisecond
)

// Request asks for permission to send one request to the upstream.
type Request struct {
	// ID identifies the request, Instance the instance that would send it.
	ID       string
	Instance string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// MaxWait is how long the request may wait and be served in time. MaxLateWait is how long it
	// may wait at all; waits beyond MaxWait are accepted only if the upstream keeps up with the
	// demand. Both are 0 if the request can be sent elsewhere.
	MaxWait, MaxLateWait time.Duration
	// Spare is set for a probe, which is granted only from the rate that nothing else uses.
	Spare bool
}

// elsewhere reports whether the request can be sent to another upstream.
func (r *Request) elsewhere() bool { return r.MaxWait <= 0 && r.MaxLateWait <= 0 }

// Outcome is a decision on a request.
type Outcome uint8

// Outcomes.
const (
	// Granted: the request may be sent now.
	Granted Outcome = iota + 1
	// Queued: the decision follows later.
	Queued
	// Refused: the request must not be sent to the upstream.
	Refused
)

// String returns the name for metrics and logs.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Queued:
		return "queued"
	default:
		return "refused"
	}
}

// Decision is the decision on a request.
type Decision struct {
	Request
	Outcome Outcome
	// Wait is the expected wait of a queued request, or the time after which a refused one should
	// be sent again.
	Wait time.Duration
	// Ahead is the number of queued requests before this one.
	Ahead int
}

// waiting is a queued request.
type waiting struct {
	Request
	arrived time.Time
	// maxWait is the accepted wait at its arrival.
	maxWait time.Duration
}

// Queue grants the requests to one upstream at its rate: the most urgent first, the instances in
// turn. The zero value has no limit and grants everything.
type Queue struct {
	bucket Bucket
	queued []*waiting
	// turn holds, by instance, the number of the last grant; grants counts them.
	turn   map[string]int
	grants int
	// demand counts the requests that cannot be sent elsewhere.
	demand Counter
	// nextReturn is the time at which the last refused caller was asked to return.
	nextReturn time.Time
}

// SetLimit changes the limit. Tick then decides the queued requests.
func (q *Queue) SetLimit(now time.Time, l Limit) { q.bucket.SetLimit(now, l) }

// CountBefore counts requests that an instance sent before it learned of the limit.
func (q *Queue) CountBefore(now time.Time, n int) { q.bucket.CountBefore(now, n) }

// Limit returns the limit.
func (q *Queue) Limit() Limit { return q.bucket.Limit() }

// Add decides a request. A request that is already queued is only repeated.
func (q *Queue) Add(now time.Time, r Request) []Decision {
	if k := slices.IndexFunc(q.queued, func(w *waiting) bool { return w.ID == r.ID }); k >= 0 {
		ahead, wait := q.expect(now, q.queued[k])
		return []Decision{{Request: r, Outcome: Queued, Wait: wait, Ahead: ahead}}
	}
	w := &waiting{Request: r, arrived: now}
	if r.Spare && !q.hasSpare(now) {
		return []Decision{q.refuse(now, w, len(q.queued), 0)}
	}
	if !r.elsewhere() {
		q.demand.Add(now)
	}
	ahead, wait := q.expect(now, w)
	if w.maxWait = q.acceptedWait(now, r); wait > w.maxWait {
		return []Decision{q.refuse(now, w, ahead, wait)}
	}
	q.queued = append(q.queued, w)
	out := q.Tick(now)
	if slices.Contains(q.queued, w) {
		out = append(out, Decision{Request: r, Outcome: Queued, Wait: wait, Ahead: ahead})
	}
	return out
}

// hasSpare reports whether one more request leaves room for another one at once.
func (q *Queue) hasSpare(now time.Time) bool {
	return len(q.queued) == 0 && !q.bucket.openAt(minBurst).After(now)
}

// Drop removes a queued request whose caller has left.
func (q *Queue) Drop(id string) {
	q.queued = slices.DeleteFunc(q.queued, func(w *waiting) bool { return w.ID == id })
}

// Tick grants the requests whose time has come and refuses those that have to wait too long, for
// example because more urgent ones have arrived.
func (q *Queue) Tick(now time.Time) (out []Decision) {
	for len(q.queued) > 0 && !q.bucket.OpenAt().After(now) {
		w := slices.MinFunc(q.queued, q.compare)
		q.Drop(w.ID)
		q.bucket.Take(now)
		q.grants++
		if q.turn == nil {
			q.turn = map[string]int{}
		}
		q.turn[w.Instance] = q.grants
		out = append(out, Decision{Request: w.Request, Outcome: Granted})
	}
	if len(q.queued) == 0 {
		q.turn = nil
	}
	return append(out, q.refuseLate(now)...)
}

// refuseLate refuses the queued requests that would have to wait too long.
func (q *Queue) refuseLate(now time.Time) (out []Decision) {
	slices.SortFunc(q.queued, q.compare)
	kept := q.queued[:0]
	for _, w := range q.queued {
		wait := q.waitBehind(now, len(kept))
		if now.Sub(w.arrived)+wait > w.maxWait {
			out = append(out, q.refuse(now, w, len(kept), wait))
			continue
		}
		kept = append(kept, w)
	}
	clear(q.queued[len(kept):])
	q.queued = kept
	return out
}

// NextAt returns when the next queued request can be granted; zero if none is queued.
func (q *Queue) NextAt() time.Time {
	if len(q.queued) == 0 {
		return time.Time{}
	}
	return q.bucket.OpenAt()
}

// compare orders requests by urgency, then by the last grant of their instance, then by arrival.
func (q *Queue) compare(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(q.turn[a.Instance], q.turn[b.Instance]), a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID))
}

// expect returns the number of requests that are expected to be granted before w, and the time
// until w is granted after them.
func (q *Queue) expect(now time.Time, w *waiting) (ahead int, wait time.Duration) {
	for _, o := range q.queued {
		if o != w && (o.Rank < w.Rank || o.Rank == w.Rank && !o.arrived.After(w.arrived)) {
			ahead++
		}
	}
	return ahead, q.waitBehind(now, ahead)
}

// waitBehind returns the time until a request is granted that has a number of others before it.
func (q *Queue) waitBehind(now time.Time, ahead int) time.Duration {
	if at := q.bucket.openAt(ahead + 1); at.After(now) {
		return at.Sub(now)
	}
	return 0
}

// acceptedWait returns the longest wait that is accepted for a request. While callers send more
// than the upstream accepts, a request that waits beyond MaxWait is late and makes the following
// ones late, too.
func (q *Queue) acceptedWait(now time.Time, r Request) time.Duration {
	if float64(q.demand.Total(now)) > q.bucket.limit.Rate()*Window.Seconds() {
		return r.MaxWait
	}
	return max(r.MaxWait, r.MaxLateWait)
}

// refuse returns a refusal. Callers that cannot go elsewhere are asked to return one after the
// other, at the rate of the upstream, from the time on at which the queue has room.
func (q *Queue) refuse(now time.Time, w *waiting, ahead int, wait time.Duration) Decision {
	d := Decision{Request: w.Request, Outcome: Refused, Ahead: ahead, Wait: max(wait, minRetryAfter)}
	if w.elsewhere() {
		return d
	}
	interval := seconds(1 / q.bucket.limit.Rate())
	earliest := now.Add(d.Wait)
	q.nextReturn = q.nextReturn.Add(interval)
	if q.nextReturn.Before(earliest) || q.nextReturn.Sub(now) > maxRetryAfter {
		q.nextReturn = earliest
	}
	d.Wait = q.nextReturn.Sub(now)
	return d
}
