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
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), blocks: map[uint64]*list.Element{}}
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
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
	}
	c.shrink(capacityTokens)
}

// shrink evicts down to capacity tokens.
func (c *prefixCache) shrink(capacityTokens int) {
	limit := max(0, capacityTokens/engine.PrefixBlockWords)
	for c.order.Len() > limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}

func (c *prefixCache) clear() { c.shrink(0) }
