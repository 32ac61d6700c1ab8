package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Reason is why an endpoint was chosen, for metrics and traces.
type Reason uint8

// Reasons for a choice.
const (
	ByPolicy Reason = iota // by a baseline policy
	ByOwner                // first rendezvous choice for the prompt
	BySpill                // later rendezvous choice, as those before it are overloaded
	ByCache                // probably has leading blocks of the prompt cached
	ByLoad                 // random draw, and the cheapest candidate
)

var reasonNames = [...]string{"policy", "owner", "spill", "cache", "load"}

// String returns the reason's name, usable as a metric label.
func (r Reason) String() string { return reasonNames[r] }

// Choice is the endpoint chosen for an attempt.
type Choice struct {
	Endpoint              fleet.EndpointID
	Address               string // host:port
	DataCentre            fleet.DataCentre
	PredictedFirstToken   time.Duration
	PredictedCachedTokens int // of the prompt
	// Overloaded says that the answer would probably miss a latency target at
	// this endpoint, although no candidate was better. The request should then
	// be refused or queued.
	Overloaded bool
	Reason     Reason
}
