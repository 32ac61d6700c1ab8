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
func (s *partCache) prefixTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		if _, ok := s.byID[p.ID]; !ok {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// add records the use of parts.
func (s *partCache) add(parts []Part) {
	if s.byID == nil {
		s.byID = map[uint64]*list.Element{}
	}
	for _, p := range parts {
		if e, ok := s.byID[p.ID]; ok {
			s.order.MoveToFront(e)
			continue
		}
		s.byID[p.ID] = s.order.PushFront(p)
		s.tokens += p.Tokens
	}
	for s.order.Len() > maxParts || s.tokens > s.capacity && s.order.Len() > 0 {
		e := s.order.Back()
		p := s.order.Remove(e).(Part)
		delete(s.byID, p.ID)
		s.tokens -= p.Tokens
	}
}
