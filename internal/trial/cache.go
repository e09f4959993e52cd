package trial

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/prefixcache"
)

const (
	// cacheShare is the part of an engine's memory that its prefix cache
	// holds beside the generations, as one in cacheShare.
	cacheShare = 4
	// eventsLate is how late cache events come out.
	eventsLate = time.Second
	// eventGap drops each such event.
	eventGap = 17
)

// cacheEvent tells that an engine stored a block.
type cacheEvent struct {
	at    time.Duration
	block uint64
}

// prefixCache is an engine's prompt cache with the late and gappy log of what it
// stored.
type prefixCache struct {
	*prefixcache.Cache
	events []cacheEvent
	count  int
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{Cache: prefixcache.New(tokens)}
}

func (c *prefixCache) store(now time.Duration, blocks []uint64) {
	stored, _ := c.Store(blocks)
	for _, b := range stored {
		c.count++
		if c.count%eventGap != 0 {
			c.events = append(c.events, cacheEvent{at: now, block: b})
		}
	}
}

// published takes the events that have come out by now.
func (c *prefixCache) published(now time.Duration) []cacheEvent {
	n := 0
	for n < len(c.events) && now-c.events[n].at >= eventsLate {
		n++
	}
	out := c.events[:n]
	c.events = c.events[n:]
	return out
}
