// Package prefixcache is the prompt prefix cache of an engine, as used by the stand-in
// engine and by the experiments in virtual time.
package prefixcache

// BlockTokens is the number of prompt tokens in one cached block.
const BlockTokens = 64

// Cache holds the hashes of cached prompt blocks. It evicts the block that was stored
// first.
type Cache struct {
	maxBlocks int
	blocks    map[uint64]bool
	order     []uint64
}

// New returns a cache with room for a number of tokens, and for at least one block.
func New(tokens int) *Cache {
	return &Cache{maxBlocks: max(1, tokens/BlockTokens), blocks: map[uint64]bool{}}
}

// Hit returns the number of tokens in the longest cached prefix of a prompt with these
// blocks.
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

// Store adds blocks. It returns the blocks that were not cached before and the blocks
// that it evicted.
func (c *Cache) Store(blocks []uint64) (stored, evicted []uint64) {
	for _, b := range blocks {
		if c.blocks[b] {
			continue
		}
		c.blocks[b] = true
		c.order = append(c.order, b)
		stored = append(stored, b)
	}
	for len(c.order) > c.maxBlocks {
		delete(c.blocks, c.order[0])
		evicted = append(evicted, c.order[0])
		c.order = c.order[1:]
	}
	return stored, evicted
}
