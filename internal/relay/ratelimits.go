package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// noteStated records the limits that an attempt's answer states, and reports whether the
// endpoint's rate limit changed.
func (s *State) noteStated(now time.Time, t *trackedAttempt, stated backpressure.Stated) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &t.choice.Endpoint
	return s.rateLimits.Observe(now, t.sent, rendezvous.ShortKeyOf(string(e.ID)), e.StartedAt, stated.RateLimit)
}

// RateLimitedEndpoints returns the number of endpoints with a rate limit in force.
func (s *State) RateLimitedEndpoints() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	s.rateLimits.InForce(func(*backpressure.Statement) { n++ })
	return n
}
