package watch

import "time"

const (
	// staleBackoff is the delay before the next query after a response that confirms too old a state.
	// It keeps hundreds of instances that query each other from overloading their machines.
	staleBackoff = 150 * time.Millisecond
	// lateTTL is how long the response to a query is accepted. An instance that is suspended for longer
	// is forgotten by the others.
	lateTTL = 30 * time.Second
	// rareProbes is how many times less often instances probe the store that are not among the first to
	// become readers, so that hundreds of them do not overload a store that has an outage.
	rareProbes = 8
)

// Query is a query that is to be sent to a source.
type Query struct {
	// Source is Store, or the name of an instance.
	Source string
	// Number identifies the query. It is unique among the process runs of an instance.
	Number int64
	// Hold is the maximum time for which an instance may hold the query while it has nothing new; 0
	// leaves that to the instance.
	Hold time.Duration
	// Further is set if the query is sent because the last confirmation is overdue. List is then set
	// for a query of the store if the list must be read too: whoever reads it for this instance has
	// probably failed.
	Further, List bool
}

// State is what the decisions of a Follower depend on.
type State struct {
	Choice
	// IsHome is set if the instance is home of a pool.
	IsHome bool
	// Confirmed is the time as of which the configuration was last confirmed to be the newest; zero if
	// it was not.
	Confirmed time.Time
}

// Follower decides which sources an instance queries, and when. One query is open at the preferred
// source at any time. Once the last confirmation is overdue, one further source is queried in each
// step until a source confirms a newer state. It is not safe for concurrent use.
type Follower struct {
	timing Timing
	// started is the time of the first call of Due; zero before.
	started     time.Time
	preferences preferences
	// open holds the queries without a response, by number. queriedAt holds the time of the last query
	// of each source.
	open       map[int64]*openQuery
	queriedAt  map[string]time.Time
	lastNumber int64
	// nextAt is the earliest time of the next query of an instance that is the preferred source, and
	// furtherAt that of the next query of a further source.
	nextAt, furtherAt time.Time
	// storeFailed is set from a failed query of the store until a successful one.
	storeFailed bool
}

// openQuery is a query without a response.
type openQuery struct {
	source string
	sentAt time.Time
	// timeoutAt is when the source counts as unresponsive. A later response is used nevertheless.
	timeoutAt time.Time
	// ended is set once the source counts as unresponsive, or if another query replaces this one.
	ended bool
	// further is set if the query was sent because the last confirmation was overdue.
	further bool
}

// NewFollower returns a follower that starts with the first call of Due. firstNumber precedes the number
// of the first query. It must differ between the process runs of an instance, so that no response to an
// earlier run is taken for one to this run.
func NewFollower(t Timing, firstNumber int64) *Follower {
	return &Follower{
		timing: t, preferences: preferences{skipUntil: map[string]time.Time{}}, open: map[int64]*openQuery{},
		queriedAt: map[string]time.Time{}, lastNumber: firstNumber,
	}
}

// SetTiming replaces the intervals and time limits.
func (f *Follower) SetTiming(t Timing) { f.timing = t }

// Preferred returns the preferred source.
func (f *Follower) Preferred(now time.Time, c Choice) string { return f.preferences.preferred(now, c) }

// ReachesStore reports whether the last query of the store succeeded, or there was none.
func (f *Follower) ReachesStore() bool { return !f.storeFailed }

// Unresponsive is a source that did not respond to a query, and how long the query had been open.
type Unresponsive struct {
	Source string
	After  time.Duration
}

// Due returns the queries that are to be sent now, and the sources that have become unresponsive.
func (f *Follower) Due(now time.Time, s State) (queries []Query, unresponsive []Unresponsive) {
	if f.started.IsZero() {
		f.started = now
	}
	unresponsive = f.expire(now)
	if q, ok := f.mainQuery(now, s); ok {
		queries = append(queries, q)
	}
	if q, ok := f.furtherQuery(now, s); ok {
		queries = append(queries, q)
	}
	if f.probeDue(now, s.Choice) {
		queries = append(queries, f.send(now, Store, 0, f.timing.StoreTimeout))
	}
	return queries, unresponsive
}

// expire ends the queries of instances that did not respond in time, and forgets old ones. A query of
// the store ends with OnFailure.
func (f *Follower) expire(now time.Time) (out []Unresponsive) {
	for number, q := range f.open {
		switch {
		case now.Sub(q.sentAt) > lateTTL:
			delete(f.open, number)
		case q.source != Store && !q.ended && !now.Before(q.timeoutAt):
			q.ended = true
			if q.further {
				continue // its time limit is too short to tell a slow source from one that has failed
			}
			f.preferences.skip(now, q.source, f.timing.Backoff)
			out = append(out, Unresponsive{Source: q.source, After: now.Sub(q.sentAt)})
		}
	}
	return out
}

// mainQuery returns the next query of the preferred source if it is due.
func (f *Follower) mainQuery(now time.Time, s State) (Query, bool) {
	source := f.Preferred(now, s.Choice)
	if f.isOpen(source) {
		return Query{}, false
	}
	if source == Store {
		if now.Sub(f.queriedAt[Store]) < f.timing.ReadInterval {
			return Query{}, false
		}
		return f.send(now, Store, 0, f.timing.StoreTimeout), true
	}
	if now.Before(f.nextAt) {
		return Query{}, false
	}
	hold := time.Duration(0)
	if s.IsHome {
		hold = f.timing.HomeHold
	}
	return f.send(now, source, hold, f.timing.ResponseTimeout), true
}

// furtherQuery returns a query of a further source if the last confirmation is overdue.
func (f *Follower) furtherQuery(now time.Time, s State) (Query, bool) {
	overdueAt := f.overdueAt(s)
	if now.Before(overdueAt) || now.Before(f.furtherAt) {
		return Query{}, false
	}
	source, ok := f.furtherSource(now, overdueAt, s.Choice)
	if !ok {
		return Query{}, false
	}
	f.furtherAt = now.Add(f.timing.Step)
	q := f.send(now, source, f.timing.Step, 3*f.timing.Step)
	q.Further, f.open[q.Number].further = true, true
	// In a large fleet the list is too long for each instance to read it.
	q.List = source == Store && (s.IsSource || !s.Large)
	return q, true
}

// furtherSource returns the first source that has not been queried since the confirmation became overdue.
// Once all have been queried it returns the first one whose last query is a read interval ago: if those
// that do not respond were queried again earlier, the store would be reached too late.
func (f *Follower) furtherSource(now, overdueAt time.Time, c Choice) (source string, ok bool) {
	again := ""
	for _, next := range overdueOrder(c) {
		if f.isOpen(next) || f.preferences.skipped(now, next) {
			continue
		}
		if f.queriedAt[next].Before(overdueAt) {
			return next, true
		}
		if !ok && now.Sub(f.queriedAt[next]) >= f.timing.ReadInterval {
			again, ok = next, true
		}
	}
	return again, ok
}

// overdueAt returns the time at which the last confirmation becomes overdue. Before the first one the
// time counts from the start.
func (f *Follower) overdueAt(s State) time.Time {
	confirmed, limit := s.Confirmed, f.timing.Overdue
	if confirmed.Before(f.started) {
		confirmed = f.started
	}
	if s.IsSource {
		limit = f.timing.SourceOverdue
	}
	return confirmed.Add(limit)
}

// probeDue reports whether the store must be queried to find out whether it responds again. An instance
// that has failed to read it must not become the reader before, as all others would wait for it.
func (f *Follower) probeDue(now time.Time, c Choice) bool {
	interval := f.timing.Backoff
	if !c.Candidate {
		interval *= rareProbes
	}
	return f.storeFailed && !f.isOpen(Store) && now.Sub(f.queriedAt[Store]) >= interval
}

// isOpen reports whether a query of a source is open whose time limit has not passed.
func (f *Follower) isOpen(source string) bool {
	for _, q := range f.open {
		if q.source == source && !q.ended {
			return true
		}
	}
	return false
}

// send records a query.
func (f *Follower) send(now time.Time, source string, hold, timeout time.Duration) Query {
	f.lastNumber++
	f.open[f.lastNumber] = &openQuery{source: source, sentAt: now, timeoutAt: now.Add(timeout)}
	f.queriedAt[source] = now
	return Query{Source: source, Number: f.lastNumber, Hold: hold}
}

// Restart makes the next query of the preferred source due immediately, because the instance needs
// something else than the open query has requested.
func (f *Follower) Restart() {
	for _, q := range f.open {
		if q.source != Store {
			q.ended = true
		}
	}
	f.nextAt = time.Time{}
}

// Sent returns the time at which a query was sent to a source, and whether its response has not been
// processed yet. late is set if the source has counted as unresponsive since, or another query
// has replaced this one; the response is as good as any other, because it counts from that time.
func (f *Follower) Sent(source string, number int64) (sentAt time.Time, late, ok bool) {
	q := f.open[number]
	if q == nil || q.source != source {
		return time.Time{}, false, false
	}
	return q.sentAt, q.ended, true
}

// OnResponse records the response to a query. asOf is the time as of which the source's state was
// confirmed, zero if the source has no data. OnResponse reports whether the confirmation is recent.
func (f *Follower) OnResponse(now time.Time, number int64, asOf time.Time) bool {
	q := f.open[number]
	if q == nil {
		return false
	}
	delete(f.open, number)
	if q.source == Store {
		f.storeFailed = false
	}
	switch {
	case asOf.IsZero():
		f.preferences.skip(now, q.source, startBackoff)
	case now.Sub(asOf) > f.timing.MaxAge:
		f.preferences.skip(now, q.source, f.timing.Backoff)
	default:
		if !q.ended {
			f.preferences.clear(q.source)
		}
		return true
	}
	f.nextAt = now.Add(staleBackoff)
	return false
}

// OnFailure records that a query has failed, or that its response was unusable, and returns for how long
// it was open.
func (f *Follower) OnFailure(now time.Time, number int64) (took time.Duration) {
	q := f.open[number]
	if q == nil {
		return 0
	}
	delete(f.open, number)
	if q.source == Store {
		f.storeFailed = true
	}
	f.preferences.skip(now, q.source, f.timing.Backoff)
	return now.Sub(q.sentAt)
}

// NextAt returns the latest time of the next call of Due, provided that nothing else happens.
func (f *Follower) NextAt(now time.Time, s State) time.Time {
	next := now.Add(f.timing.Step)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	earlier(f.nextAt)
	earlier(f.queriedAt[Store].Add(f.timing.ReadInterval))
	earlier(f.overdueAt(s))
	earlier(f.furtherAt)
	return next
}
