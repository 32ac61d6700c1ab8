package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

const (
	// maxSeen bounds the refused requests that are remembered: some seconds of
	// refusals at many times a daemon's share of the peak.
	maxSeen = 4096
	// seenFor is how long one is remembered; a caller that comes back later has
	// waited so long that it is a new request in all but name.
	seenFor = time.Minute
)

// Seen remembers when refused requests came first. A request that comes back
// under the same id has waited since then: without that memory it would be
// queued as if it were new, and under overload the slots would go to answers
// that are late already while new ones become late behind them. The caller's
// clock, which the id holds as well, is not trusted for it.
type Seen struct {
	first map[fleet.RequestID]time.Time
	order []fleet.RequestID // oldest first
}

// NewSeen returns an empty memory.
func NewSeen() *Seen { return &Seen{first: make(map[fleet.RequestID]time.Time)} }

// Refused notes that a request was refused, and returns how long ago it came first.
func (s *Seen) Refused(now time.Time, id fleet.RequestID) time.Duration {
	s.forget(now)
	if at, ok := s.first[id]; ok {
		return now.Sub(at)
	}
	s.first[id] = now
	s.order = append(s.order, id)
	return 0
}

// First returns when a request came first: now for one that is not remembered.
func (s *Seen) First(now time.Time, id fleet.RequestID) time.Time {
	if at, ok := s.first[id]; ok {
		return at
	}
	return now
}

func (s *Seen) forget(now time.Time) {
	n := 0
	for n < len(s.order) && (len(s.order)-n >= maxSeen || now.Sub(s.first[s.order[n]]) > seenFor) {
		delete(s.first, s.order[n])
		n++
	}
	s.order = append(s.order[:0], s.order[n:]...)
}
