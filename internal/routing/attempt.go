package routing

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// attemptKey names one attempt: a retried request has one for each endpoint.
type attemptKey struct {
	endpoint fleet.EndpointID
	request  fleet.RequestID
}

// attempt is an unfinished attempt, or a place reserved for one.
type attempt struct {
	started    int64 // ns
	firstToken int64 // ns of the first token; 0 is none yet
	uncached   int   // prompt tokens counted as waiting
	expires    int64 // of a reservation; 0 is a dispatched attempt
}

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota
	Failed
	Cancelled // by the caller, or moved elsewhere
)
