// Package prefixcache is the prompt cache of an engine, as the stand-in and the
// trials in virtual time have it.
package prefixcache

// BlockTokens is the number of prompt tokens in one cached block.
const BlockTokens = 64

// Cache holds the hashes of cached prompt blocks, oldest out first.
type Cache struct {
	max    int
	blocks map[uint64]bool
	order  []uint64
}

// New returns a cache for so many tokens, of one block at least.
func New(tokens int) *Cache {
	return &Cache{max: max(1, tokens/BlockTokens), blocks: map[uint64]bool{}}
}

// Hit returns how many tokens of a prompt with these blocks are cached.
func (c *Cache) Hit(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		if !c.blocks[b] {
			break
		}
		n++
	}
	return n * BlockTokens
}

// Store adds blocks and returns those that are new, and those that went.
func (c *Cache) Store(blocks []uint64) (stored, evicted []uint64) {
	for _, b := range blocks {
		if c.blocks[b] {
			continue
		}
		c.blocks[b] = true
		c.order = append(c.order, b)
		stored = append(stored, b)
	}
	for len(c.order) > c.max {
		delete(c.blocks, c.order[0])
		evicted = append(evicted, c.order[0])
		c.order = c.order[1:]
	}
	return stored, evicted
}
