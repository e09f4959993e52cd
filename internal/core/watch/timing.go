package watch

import "time"

// DefaultBound is the time within which a change must be in force everywhere if the settings name none.
const DefaultBound = 2 * time.Second

// Shares of the bound, in percent. An instance that reaches the store learns of a change within
// overduePercent, one step for each source that is queried before the store, one step until the
// next query is due, and storeTimeoutPercent for the store's response.
const (
	readPercent          = 30
	storeTimeoutPercent  = 25
	listWaitPercent      = 50
	overduePercent       = 50
	sourceOverduePercent = 40
	stepPercent          = 5
	maxAgePercent        = 70
	homeHoldPercent      = 7
	sendPercent          = 5
)

// Timing holds the intervals and time limits by which an instance follows the configuration, the
// cordons and the list of upstreams. All are shares of one bound, so that a shorter bound shortens all
// of them.
type Timing struct {
	// Bound is the time within which a change must be in force at every instance that reaches the
	// store.
	Bound time.Duration
	// ReadInterval is the interval between reads of the configuration by the reader.
	ReadInterval time.Duration
	// StoreTimeout is the time limit of a read of the store, beyond the time for which the store may
	// delay its response.
	StoreTimeout time.Duration
	// ListWait is the maximum time for which the store may hold a query for changes of the list. Each read of the
	// configuration checks that the list is not behind; if it is after one Step, the held query is ended and the
	// changes are queried immediately.
	ListWait time.Duration
	// Hold is the maximum time for which an instance holds a query while it has nothing new. A
	// confirmation by the reader ends the hold earlier.
	Hold time.Duration
	// HomeHold is used instead for the queries of homes of pools, which must detect an outage of the
	// store before other instances do.
	HomeHold time.Duration
	// ResponseTimeout is how long an instance waits for the response to a query that may be held for
	// Hold.
	ResponseTimeout time.Duration
	// Overdue is the age of the last confirmation from which further sources are queried, one each
	// Step, while the earlier queries are open. SourceOverdue is used instead by instances that are
	// sources of others, so that these get a confirmation from them and need not read the store.
	Overdue       time.Duration
	SourceOverdue time.Duration
	// Step is the interval between queries of further sources.
	Step time.Duration
	// MaxAge is the maximum age of a source's confirmation before another source is preferred. The bound
	// does not rest on it: an instance whose last confirmation is older than Overdue queries further
	// sources whichever it prefers. It saves those queries while the preferred source lags. It is less than the
	// bound, so that no state counts as recent that may lack a change that must be in force.
	MaxAge time.Duration
	// SendWithin is the time from the last check of the list to the sending of a request, in which no network is
	// waited for.
	SendWithin time.Duration
	// Backoff is how long an unresponsive or outdated source is not preferred.
	Backoff time.Duration
}

// NewTiming derives the intervals and limits from a bound; 0 means DefaultBound.
func NewTiming(bound time.Duration) Timing {
	if bound <= 0 {
		bound = DefaultBound
	}
	share := func(percent time.Duration) time.Duration { return bound * percent / 100 }
	read, step := share(readPercent), share(stepPercent)
	return Timing{
		Bound: bound, ReadInterval: read, StoreTimeout: share(storeTimeoutPercent), ListWait: share(listWaitPercent),
		Hold: read + step, HomeHold: share(homeHoldPercent), ResponseTimeout: read + 3*step,
		Overdue: share(overduePercent), SourceOverdue: share(sourceOverduePercent),
		Step: step, MaxAge: share(maxAgePercent), SendWithin: share(sendPercent), Backoff: bound,
	}
}

// ShortestBound returns the shortest of several bounds, of which 0 means none; 0 if there is none.
func ShortestBound(bounds ...time.Duration) (shortest time.Duration) {
	for _, b := range bounds {
		if b > 0 && (shortest == 0 || b < shortest) {
			shortest = b
		}
	}
	return shortest
}
