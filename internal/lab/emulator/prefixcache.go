package emulator

import (
	"container/list"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// prefixCache is an LRU set of prompt blocks in the KV memory that running
// sequences leave free. It is guarded by the scheduler's lock.
type prefixCache struct {
	order  *list.List
	blocks map[uint64]*list.Element
	// changed is told of every block stored or removed.
	changed func(stored, removed []uint64)
}

func newPrefixCache(changed func(stored, removed []uint64)) *prefixCache {
	return &prefixCache{order: list.New(), blocks: map[uint64]*list.Element{}, changed: changed}
}

// match returns how many leading tokens of the blocks are cached, and marks
// them as recently used.
func (c *prefixCache) match(blocks []uint64) int {
	matched := 0
	for _, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		matched++
	}
	return matched * engine.PrefixBlockWords
}

// store adds blocks and evicts the least recently used beyond capacity tokens.
func (c *prefixCache) store(blocks []uint64, capacityTokens int) {
	var stored []uint64
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		stored = append(stored, block)
	}
	removed := c.shrink(capacityTokens)
	if len(stored)+len(removed) > 0 {
		c.changed(stored, removed)
	}
}

// shrink evicts down to capacity tokens and returns the evicted blocks.
func (c *prefixCache) shrink(capacityTokens int) []uint64 {
	limit := max(0, capacityTokens/engine.PrefixBlockWords)
	var removed []uint64
	for c.order.Len() > limit {
		oldest := c.order.Back()
		block := oldest.Value.(uint64)
		c.order.Remove(oldest)
		delete(c.blocks, block)
		removed = append(removed, block)
	}
	return removed
}

func (c *prefixCache) clear() {
	removed := c.shrink(0)
	if len(removed) > 0 {
		c.changed(nil, removed)
	}
}
