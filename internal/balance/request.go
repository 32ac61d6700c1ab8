package balance

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Part is a section of a prompt. Requests with equal leading parts share their cached
// tokens.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what the choice of an endpoint depends on.
type Request struct {
	Service string
	// Parts of the prompt in order; the last belongs to this request or its session alone.
	// Empty for requests without a prompt.
	Parts []Part
	// Prompt and Output are numbers of tokens; Output may be an estimate.
	Prompt, Output int
	// Side selects the service's endpoints that may be chosen during a roll-out, by
	// version.
	Side rollout.Side
	// Pinned requests go to endpoints of Version only, whichever the side.
	Pinned  bool
	Version string
	// PauseTarget is the target for the longest pause between the events of a stream; 0 is
	// none.
	PauseTarget time.Duration
	// Tried endpoints are not chosen again.
	Tried []fleet.EndpointID
}

// tried reports whether a member was tried before.
func (r *Request) tried(m *member) bool { return slices.Contains(r.Tried, m.ID) }

// affinityKey returns the ID of the last shared part, which identifies the shared
// prefix; 0 if there is none.
func (r *Request) affinityKey() uint64 {
	if len(r.Parts) < 2 {
		return 0
	}
	return r.Parts[len(r.Parts)-2].ID
}

// Choice is an endpoint with the predictions for it.
type Choice struct {
	Endpoint roster.Endpoint
	// Cached is the number of the prompt's tokens that the endpoint is expected to have
	// cached, including those that it is to fetch.
	Cached int
	// Wait is the predicted time to the first token, in seconds.
	Wait float64
	// Home says that the endpoint is the home of the request's affinity key.
	Home bool
	// FetchFrom is the address of the endpoint from which the chosen one should fetch
	// cached tokens of the prompt that it lacks; empty: none.
	FetchFrom string
}

// Outcome says how an attempt ended.
type Outcome uint8

// The possible outcomes.
const (
	Answered    Outcome = iota // completely, by the endpoint
	Refused                    // not run, as the endpoint reported
	Failed                     // an error of the endpoint, or a broken answer
	Unreachable                // no connection to the endpoint
	Abandoned                  // the caller disconnected
	Silent                     // no answer, or no more of one, in time
)
