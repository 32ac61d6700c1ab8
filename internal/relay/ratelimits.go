package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// noteStated records what an attempt's answer states, and reports whether the endpoint's rate
// limit changed, whether its service became brittle or ceased to be, and whether the endpoint
// leaves and that is new.
func (s *State) noteStated(now time.Time, t *trackedAttempt, stated backpressure.Stated) (rate, brittle, leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stated.Rest > 0 {
		s.balancer.Rest(now, t.choice, stated.Rest)
	}
	if stated.Leaving {
		return false, false, s.balancer.ObserveLeaving(now, &t.choice.Endpoint)
	}
	rate = s.balancer.ObserveRateLimit(now, t.sent, &t.choice.Endpoint, stated.RateLimit)
	brittle = s.balancer.ObserveRejectionLimit(now, t.choice.Endpoint.Service, stated.RejectionLimit)
	return rate, brittle, false
}

// Leaving returns the endpoints that have said that they leave and aren't listed as draining.
func (s *State) Leaving() []roster.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Leaving()
}

// SetFleet sets the running daemons, with which the endpoints' rate limits are shared.
func (s *State) SetFleet(now time.Time, self fleet.DaemonID, running []fleet.DaemonID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetFleet(now, self, running)
}

// RefreshRateLimits updates this daemon's shares of rate limits that weren't stated for a
// while.
func (s *State) RefreshRateLimits(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RefreshRateLimits(now)
}

// MergeRateLimits takes other daemons' statements about the endpoints' rate limits.
func (s *State) MergeRateLimits(now time.Time, all []backpressure.Statement) {
	if len(all) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.MergeRateLimits(now, all)
}

// RateLimitsSince returns the statements about rate limits that a daemon at a position
// lacks, and its position with them.
func (s *State) RateLimitsSince(p backpressure.Position) ([]backpressure.Statement, backpressure.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RateLimitsSince(p)
}

// RateLimits returns the rate limits in force of a service's endpoints, by endpoint.
func (s *State) RateLimits(service string) map[fleet.EndpointID]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RateLimits(service)
}

// RateLimitedEndpoints returns the number of endpoints with a rate limit in force.
func (s *State) RateLimitedEndpoints() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RateLimited()
}
