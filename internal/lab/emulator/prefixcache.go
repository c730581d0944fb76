package emulator

import (
	"container/list"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// prefixCache is an LRU set of prompt blocks. It uses the KV memory that running sequences leave
// free. The scheduler's mu guards it.
type prefixCache struct {
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading tokens that are cached and marks their blocks as recently used.
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

// store adds blocks and evicts the least recently used ones above capacityTokens.
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

// shrink evicts the least recently used blocks until the cache fits in capacityTokens.
func (c *prefixCache) shrink(capacityTokens int) {
	limit := max(0, capacityTokens/engine.PrefixBlockWords)
	for c.order.Len() > limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}

func (c *prefixCache) clear() { c.shrink(0) }
