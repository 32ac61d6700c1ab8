package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

const (
	// maxRefusals bounds the number of records: enough for some seconds of
	// refusals at many times a daemon's share of the peak load.
	maxRefusals = 4096
	// refusalRetention is how long a record is kept. A request that is retried
	// later is treated as a new one.
	refusalRetention = time.Minute
)

// Refusals records when requests were first refused. A request that is retried
// under the same id has waited since then. Without the record it would be queued
// as if it were new, and under overload the slots would go to requests that are
// already late while new ones become late behind them. The time within the id is
// not used, because it comes from the caller's clock.
type Refusals struct {
	first map[fleet.RequestID]time.Time
	order []fleet.RequestID // keys of first, oldest first
}

// NewRefusals returns an empty set of records.
func NewRefusals() *Refusals { return &Refusals{first: make(map[fleet.RequestID]time.Time)} }

// Record records that a request was refused at now, and returns the time since
// its first refusal, 0 if this is the first.
func (s *Refusals) Record(now time.Time, id fleet.RequestID) time.Duration {
	s.evict(now)
	if at, ok := s.first[id]; ok {
		return now.Sub(at)
	}
	s.first[id] = now
	s.order = append(s.order, id)
	return 0
}

// FirstRefusal returns when a request was first refused, or now if there is no
// record of it.
func (s *Refusals) FirstRefusal(now time.Time, id fleet.RequestID) time.Time {
	if at, ok := s.first[id]; ok {
		return at
	}
	return now
}

func (s *Refusals) evict(now time.Time) {
	n := 0
	for n < len(s.order) && (len(s.order)-n >= maxRefusals || now.Sub(s.first[s.order[n]]) > refusalRetention) {
		delete(s.first, s.order[n])
		n++
	}
	s.order = append(s.order[:0], s.order[n:]...)
}
