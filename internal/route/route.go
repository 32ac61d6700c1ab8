package route

import (
	"slices"
	"time"
)

// Route says which services get the requests of a host and path prefix, and how
// these requests are handled.
type Route struct {
	Name   string
	Host   string // without a port, in lower case
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout limits the time to the final answer; 0 leaves it to the caller's
	// deadline.
	Timeout time.Duration
	// Target is the latency target of the complete answer, or of a stream's first
	// event; 0 is none.
	Target time.Duration
	// PauseTarget is the target for the longest pause between a stream's events; 0
	// is none.
	PauseTarget time.Duration
	// Priority is 0 for the highest.
	Priority int
	Backends []Backend
	// MaxAttempts limits the endpoints that one request is sent to.
	MaxAttempts int
	// Public routes need no credential.
	Public bool
	// Resumable streams can be continued at another endpoint, after the last
	// received event.
	Resumable bool
}

// Backend is a service that gets a share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Backend returns the service for a random number in [0, 1), by weight; empty if
// there is none.
func (r *Route) Backend(draw float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	left := draw * total
	for _, b := range r.Backends {
		if left < b.Weight {
			return b.Service
		}
		left -= b.Weight
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Serves reports whether a service gets requests of the route.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service && b.Weight > 0 })
}

// SameServices reports whether the same services get requests of both routes.
func (r *Route) SameServices(o *Route) bool {
	return r.servedBy(o) && o.servedBy(r)
}

// servedBy reports whether all services of r get requests of another route.
func (r *Route) servedBy(o *Route) bool {
	for _, b := range r.Backends {
		if b.Weight > 0 && !o.Serves(b.Service) {
			return false
		}
	}
	return true
}
