package admission

import "time"

// Outcome is the answer to an Ask.
type Outcome uint8

// The outcomes.
const (
	Refuse Outcome = iota // nothing was taken; the request has not run
	Queue                 // a later Tick starts or refuses it
	Admit                 // it holds a lease and may be dispatched
)

// Reason says which limit refused or delayed a request.
type Reason uint8

// The reasons.
const (
	NoReason    Reason = iota
	RequestRate        // requests a second of the workspace
	TokenRate          // tokens a second of the workspace
	Concurrency        // running requests of the workspace
	Overload           // the pool would not start it before its deadline
	QueueFull          // the bounded queue has no room
	TooLarge           // max_tokens is above the workspace's bound; waiting does not help
)

var reasonNames = [...]string{
	NoReason:    "none",
	RequestRate: "request-rate",
	TokenRate:   "token-rate",
	Concurrency: "concurrency",
	Overload:    "overload",
	QueueFull:   "queue-full",
	TooLarge:    "too-large",
}

// String returns the form used in metrics and problem documents.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Decision answers an Ask.
type Decision struct {
	Outcome    Outcome
	Reason     Reason        // of Refuse and Queue
	RetryAfter time.Duration // of Refuse; 0 where waiting does not help
}
