package balance

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	Service string
	// Parts of the prompt in order; the last belongs to this request or its
	// session. Empty for requests without a prompt.
	Parts []Part
	// Prompt and Output are tokens; Output may be an estimate.
	Prompt, Output int
	// Side is the part of a service's endpoints that may be chosen, by version.
	Side rollout.Side
	// Tried endpoints are not chosen again.
	Tried []fleet.EndpointID
}

// affinityKey returns the id of the deepest part that is shared, 0 without one.
func (a *Request) affinityKey() uint64 {
	if len(a.Parts) < 2 {
		return 0
	}
	return a.Parts[len(a.Parts)-2].ID
}

// Choice is an endpoint with what was predicted for it.
type Choice struct {
	Endpoint roster.Endpoint
	// Cached is the prompt's tokens that the endpoint is believed to hold.
	Cached int
	// Wait is the predicted time to the first token, in seconds.
	Wait float64
	// Home says that it is the subject's home.
	Home bool
	// FetchFrom is the address of an endpoint from which it should fetch what
	// that one has cached of the prompt beyond its own; empty: from none.
	FetchFrom string
}

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Answered    Outcome = iota // whole, by the endpoint
	Refused                    // not run, by the endpoint's word
	Failed                     // an error of the endpoint's, or a broken answer
	Unreachable                // no connection could be had
	Abandoned                  // the caller went, or its time was over
)
