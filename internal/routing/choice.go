package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Reason says what led to a choice, for metrics and traces.
type Reason uint8

// The reasons.
const (
	ByPolicy Reason = iota // a baseline's rule
	ByOwner                // the prompt's first rendezvous choice
	BySpill                // a later rendezvous choice: those before are overloaded
	ByCache                // believed to hold the prompt's leading blocks
	ByLoad                 // drawn at random and cheapest
)

var reasonNames = [...]string{"policy", "owner", "spill", "cache", "load"}

// String returns the reason's name, usable as a metric label.
func (r Reason) String() string { return reasonNames[r] }

// Choice is where an attempt goes.
type Choice struct {
	Endpoint              fleet.EndpointID
	Address               string // host:port
	DataCentre            fleet.DataCentre
	PredictedFirstToken   time.Duration
	PredictedCachedTokens int // of the prompt
	// Overloaded says that the answer would likely miss a latency target
	// there, and nowhere was better: the time to refuse or to queue.
	Overloaded bool
	Reason     Reason
}
