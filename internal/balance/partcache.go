package balance

import "container/list"

// partCache remembers the prompt parts that were sent to an endpoint, up to a number
// of tokens, and evicts the least recently used, as the endpoint's own cache does. The
// zero value is empty and has no capacity.
type partCache struct {
	capacity int // tokens
	tokens   int
	byID     map[uint64]*list.Element
	order    list.List // of Part, most recently used first
}

// prefixTokens returns the tokens of the longest remembered prefix of parts.
func (c *partCache) prefixTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		if _, ok := c.byID[p.ID]; !ok {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// add records the use of parts.
func (c *partCache) add(parts []Part) {
	if c.byID == nil {
		c.byID = map[uint64]*list.Element{}
	}
	for _, p := range parts {
		if e, ok := c.byID[p.ID]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.byID[p.ID] = c.order.PushFront(p)
		c.tokens += p.Tokens
	}
	for c.order.Len() > maxParts || c.tokens > c.capacity && c.order.Len() > 0 {
		e := c.order.Back()
		p := c.order.Remove(e).(Part)
		delete(c.byID, p.ID)
		c.tokens -= p.Tokens
	}
}
