package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Reason says why a request has no answer of an endpoint's.
type Reason string

// The reasons.
const (
	NoConfiguration Reason = "no-configuration" // this daemon knows none yet
	NoRoute         Reason = "no-route"
	UnknownKey      Reason = "unknown-key"
	OverLimit       Reason = "over-limit"  // of the workspace
	NoEndpoint      Reason = "no-endpoint" // none is listed, or none could be reached
	Overloaded      Reason = "overloaded"  // it would miss its target everywhere
	Stopping        Reason = "stopping"    // this daemon leaves
	Shed            Reason = "shed"        // by the endpoints
	TimedOut        Reason = "timed-out"
	Broken          Reason = "broken"      // an endpoint's answer broke off
	Quarantined     Reason = "quarantined" // it crashes the endpoints that run it
	CallerLeft      Reason = "caller-left"
)

// Refusal is this daemon's own answer.
type Refusal struct {
	Reason  Reason
	Verdict verdict.Verdict
	// RetryAfter is when a repeat may be served; 0 is not said.
	RetryAfter time.Duration
}
