package routing

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// attemptKey identifies an attempt: a retried request has one at each endpoint.
type attemptKey struct {
	endpoint fleet.EndpointID
	request  fleet.RequestID
}

// attempt is an unfinished attempt, or a reservation for one.
type attempt struct {
	started    int64 // ns
	firstToken int64 // ns; 0 before the first token
	uncached   int   // prompt tokens that still count as waiting for prefill
	expires    int64 // ns, of a reservation; 0 for a dispatched attempt
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Answered Outcome = iota
	Failed
	Cancelled // by the caller, or moved to another endpoint
)
