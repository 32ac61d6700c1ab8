package route

import "time"

// Route says where requests of a host and path prefix go and what may be done
// with them.
type Route struct {
	Name   string
	Host   string // without a port, in lower case
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest that a caller may be kept without the final
	// answer; 0 leaves it to the caller's deadline.
	Timeout time.Duration
	// Target is the time to the whole answer, or to a stream's first event,
	// within which it is worth most; 0 is none.
	Target time.Duration
	// PauseTarget is the longest pause between a stream's events with which it
	// is still in time; 0: none is stated.
	PauseTarget time.Duration
	// Priority is 0 for the most important.
	Priority int
	Backends []Backend
	// MaxAttempts is how many endpoints one request may be sent to.
	MaxAttempts int
	// Public routes need no credential.
	Public bool
	// Resumable streams may be continued after an event at another endpoint.
	Resumable bool
}

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Backend returns the service for a draw from [0, 1).
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
