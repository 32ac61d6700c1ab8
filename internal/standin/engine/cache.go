package engine

import "container/list"

// prefixCache is an LRU set of block hashes. The caller guards it.
type prefixCache struct {
	limit int
	order *list.List // of uint64, most recent first
	at    map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), at: make(map[uint64]*list.Element)}
}

func (c *prefixCache) used() int { return len(c.at) }

// touch reports whether the block is there and makes it the most recent.
func (c *prefixCache) touch(hash uint64) bool {
	el, ok := c.at[hash]
	if ok {
		c.order.MoveToFront(el)
	}
	return ok
}

// leading returns how many of the leading blocks are there.
func (c *prefixCache) leading(hashes []uint64) int {
	for i, h := range hashes {
		if !c.touch(h) {
			return i
		}
	}
	return len(hashes)
}

// put stores a block. It returns whether the block is new and which one was
// evicted, if any.
func (c *prefixCache) put(hash uint64) (stored bool, evicted uint64, full bool) {
	if c.touch(hash) {
		return false, 0, false
	}
	c.at[hash] = c.order.PushFront(hash)
	if len(c.at) <= c.limit {
		return true, 0, false
	}
	oldest := c.order.Back()
	evicted = c.order.Remove(oldest).(uint64)
	delete(c.at, evicted)
	return true, evicted, true
}
