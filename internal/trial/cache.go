package trial

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/prefixcache"
)

const (
	// cacheDivisor sizes an engine's prefix cache: the engine's memory for generations divided
	// by cacheDivisor, in addition to that memory.
	cacheDivisor = 4
	// cacheEventDelay is the delay after which an engine publishes a cache event.
	cacheEventDelay = time.Second
	// eventDropInterval is the number n for which the event of every n-th stored block is
	// lost.
	eventDropInterval = 17
)

// cacheEvent records that an engine stored a block.
type cacheEvent struct {
	at    time.Duration
	block uint64
}

// prefixCache is an engine's prompt cache with a log of the stored blocks. The log is
// published late, and some events are missing from it.
type prefixCache struct {
	*prefixcache.Cache
	events []cacheEvent
	// stored counts the blocks stored since the start.
	stored int
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{Cache: prefixcache.New(tokens)}
}

func (c *prefixCache) store(now time.Duration, blocks []uint64) {
	added, _ := c.Store(blocks)
	for _, b := range added {
		c.stored++
		if c.stored%eventDropInterval != 0 {
			c.events = append(c.events, cacheEvent{at: now, block: b})
		}
	}
}

// takePublished removes and returns the events that are published by now.
func (c *prefixCache) takePublished(now time.Duration) []cacheEvent {
	n := 0
	for n < len(c.events) && now-c.events[n].at >= cacheEventDelay {
		n++
	}
	out := c.events[:n]
	c.events = c.events[n:]
	return out
}
