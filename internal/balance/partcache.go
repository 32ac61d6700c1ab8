package balance

import "container/list"

// partCache remembers the parts of prompts that were sent to an endpoint, up to
// a number of tokens, the least recently used forgotten first, as the endpoint
// itself does. The zero value is empty and has no room for tokens.
type partCache struct {
	capacity int // tokens
	tokens   int
	byID     map[uint64]*list.Element
	order    list.List // of Part, the newest in front
}

// prefixTokens returns the tokens of the longest run of parts from the first that
// are remembered.
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

// add remembers parts as just used.
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
