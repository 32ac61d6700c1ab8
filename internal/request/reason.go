package request

// Reason says why a request was given up.
type Reason uint8

// The reasons.
const (
	// DeadlinePassed: the request's deadline came first.
	DeadlinePassed Reason = iota
	// AttemptsSpent: all attempts that a request may have failed.
	AttemptsSpent
	// BudgetSpent: the retry budget has no token.
	BudgetSpent
	// NotRepeatable: the one dispatch of a non-idempotent request failed.
	NotRepeatable
	// NoEndpointFound: routing found no endpoint.
	NoEndpointFound
	// CrashesEngines: the request crashes the engines that run it.
	CrashesEngines
	// Cancelled: the caller asked for it.
	Cancelled
	// TooLarge: the answer exceeds MaxAnswerBytes.
	TooLarge
	// HandoverUnanswered: the successor's answer never came.
	HandoverUnanswered
)

// String returns the reason as callers see it.
func (r Reason) String() string {
	names := [...]string{
		"deadline passed", "all attempts failed", "retry budget spent",
		"not repeatable", "no endpoint", "crashes the engines that run it", "cancelled", "answer too large",
		"hand-over unanswered",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
