package engine

// cacheEvents returns the events of one cache change: the stored blocks first,
// then the evicted ones.
func cacheEvents(stored, evicted []uint64) []CacheEvent {
	var events []CacheEvent
	for _, b := range stored {
		events = append(events, CacheEvent{Block: b, Stored: true})
	}
	for _, b := range evicted {
		events = append(events, CacheEvent{Block: b})
	}
	return events
}

// CacheEvent reports that a prompt block was stored in the cache or evicted.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  uint64 `json:"block"`  // hash of the block
	Stored bool   `json:"stored"` // false for an eviction
}

const (
	// maxEvents limits the number of events in the log.
	maxEvents = 1000
	// eventDropInterval is the number n for which every n-th event is missing from
	// the log, because real engines publish their events with gaps.
	eventDropInterval = 17
	// unpublishedEvents is the number of newest events that are not returned,
	// because real engines publish their events late.
	unpublishedEvents = 8
)

// eventLog holds the latest cache events.
type eventLog struct {
	seq  int64
	list []CacheEvent
}

// add numbers the events and appends them, without every n-th one; see
// eventDropInterval.
func (l *eventLog) add(events []CacheEvent) {
	for _, ev := range events {
		l.seq++
		ev.Seq = l.seq
		if l.seq%eventDropInterval != 0 {
			l.list = append(l.list, ev)
		}
	}
	if len(l.list) > maxEvents {
		l.list = l.list[len(l.list)-maxEvents:]
	}
}

// after returns the published events whose number is greater than seq.
func (l *eventLog) after(seq int64) []CacheEvent {
	out := []CacheEvent{}
	for _, ev := range l.list {
		if ev.Seq > seq && ev.Seq <= l.seq-unpublishedEvents {
			out = append(out, ev)
		}
	}
	return out
}
