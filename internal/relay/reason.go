package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Reason is why a request has no answer of an endpoint.
type Reason string

// The reasons.
const (
	NoConfiguration Reason = "no-configuration" // this daemon has received none yet
	NoRoute         Reason = "no-route"
	UnknownKey      Reason = "unknown-key"
	OverLimit       Reason = "over-limit"  // the workspace's limit is used up
	NoEndpoint      Reason = "no-endpoint" // none is listed, or none could be reached
	Overloaded      Reason = "overloaded"  // the answer would miss its target at every endpoint
	Stopping        Reason = "stopping"    // this daemon is shutting down
	Shed            Reason = "shed"        // endpoints refused it without running it
	NoMemory        Reason = "no-memory"   // the bodies in progress leave no memory for the request's
	TimedOut        Reason = "timed-out"
	Broken          Reason = "broken"      // an endpoint's answer broke off
	Quarantined     Reason = "quarantined" // the request crashes the endpoints that run it
	CallerLeft      Reason = "caller-left"
	CutOff          Reason = "cut-off" // in progress when this daemon ended
	// UnknownVersion means that the version that began a stream isn't known, so that it can't
	// go on.
	UnknownVersion Reason = "unknown-version"
)

// Refusal is an answer of this daemon itself.
type Refusal struct {
	Reason  Reason
	Verdict verdict.Verdict
	// RetryAfter is the delay after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
}

// confirmed returns the refusal with the verdict that a request's deliveries prove.
func (r Refusal) confirmed(l *delivery.Log) Refusal {
	if r.Verdict == verdict.NotRun && !l.Prove() {
		return Refusal{Reason: Broken, Verdict: verdict.MayHaveRun}
	}
	return r
}
