package admission

import "time"

// Outcome is what Offer decides on a Request.
type Outcome uint8

// The outcomes of Offer.
const (
	Refuse Outcome = iota // nothing was charged; the request has not run
	Queue                 // a later Tick starts or refuses the request
	Admit                 // the request holds a lease and may be dispatched
)

// Reason is the limit that refused or delayed a request.
type Reason uint8

// The limits by which a request is refused or queued.
const (
	NoReason    Reason = iota
	RequestRate        // the workspace's requests a second
	TokenRate          // the workspace's tokens a second
	Concurrency        // the workspace's running requests
	Overload           // the pool is predicted to start the request after its deadline
	QueueFull          // the pool's queue, or the workspace's part of it, is full
	TooLarge           // max_tokens is above the workspace's limit; a retry does not help
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

// String returns the name used in metrics and problem documents.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Decision is the result of Offer.
type Decision struct {
	Outcome    Outcome
	Reason     Reason        // of Refuse and Queue
	RetryAfter time.Duration // of Refuse; 0 if a retry does not help
}
