package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// FailureKind says how an attempt failed.
type FailureKind uint8

// The kinds of failure.
const (
	// Reset: the connection broke, or the stream ended without its end marker.
	Reset FailureKind = iota
	// Dial: no connection could be made; nothing was written.
	Dial
	// Silent: no piece arrived within the timeouts of Policy.
	Silent
	// NotFound: the engine has no such stream.
	NotFound
	// Unavailable: the endpoint answered that it can't serve the request now.
	Unavailable
	// EngineLeaving: the endpoint ended the attempt because it is shutting down.
	EngineLeaving
	// NoEndpoint: routing found no endpoint; nothing was written.
	NoEndpoint
	// Quarantined: the request crashes the engines that run it; nothing was
	// written. Logs and metrics call it held.
	Quarantined
	// Contradiction: the attempt's pieces contradict the answer so far.
	Contradiction
)

// String returns the kind's name for logs.
func (k FailureKind) String() string {
	names := [...]string{"reset", "dial", "silent", "not-found", "unavailable", "engine-leaving", "no-endpoint", "held", "contradiction"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// nothingSent reports whether the kind alone proves that nothing of the request
// was sent.
func (k FailureKind) nothingSent() bool { return k == Dial || k == NoEndpoint || k == Quarantined }

// Failure is the end of an attempt without a complete answer.
type Failure struct {
	Attempt    uint32
	Kind       FailureKind
	Verdict    verdict.Verdict // of this attempt alone
	RetryAfter time.Duration   // from the endpoint's answer, 0 if absent
}
