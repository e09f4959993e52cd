package engine

// cacheEvents tells what a change of the cache stored and evicted.
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

// CacheEvent tells that a block was stored or evicted.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

const (
	// eventsKept bounds the log of cache events.
	eventsKept = 1000
	// eventGap drops each such event: engines publish with gaps.
	eventGap = 17
	// eventsLate hides the newest events: engines publish late.
	eventsLate = 8
)

type eventLog struct {
	seq  int64
	list []CacheEvent
}

func (l *eventLog) add(events []CacheEvent) {
	for _, ev := range events {
		l.seq++
		ev.Seq = l.seq
		if l.seq%eventGap != 0 {
			l.list = append(l.list, ev)
		}
	}
	if len(l.list) > eventsKept {
		l.list = l.list[len(l.list)-eventsKept:]
	}
}

func (l *eventLog) after(seq int64) []CacheEvent {
	out := []CacheEvent{}
	for _, ev := range l.list {
		if ev.Seq > seq && ev.Seq <= l.seq-eventsLate {
			out = append(out, ev)
		}
	}
	return out
}
