package request

// Reason says why a request was given up.
type Reason uint8

// The reasons.
const (
	// DeadlinePassed: the request's deadline passed.
	DeadlinePassed Reason = iota
	// AttemptsSpent: Policy.MaxAttempts attempts failed.
	AttemptsSpent
	// BudgetSpent: the retry budget allows no retry.
	BudgetSpent
	// NotRepeatable: the one dispatch of a non-idempotent request failed.
	NotRepeatable
	// NoEndpointFound: routing found no endpoint.
	NoEndpointFound
	// CrashesEngines: the request is quarantined because it crashes the engines
	// that run it.
	CrashesEngines
	// Cancelled: the caller cancelled the request.
	Cancelled
	// TooLarge: the answer exceeds MaxAnswerBytes.
	TooLarge
	// HandoverUnanswered: the successor did not reply to the offer.
	HandoverUnanswered
)

// String returns the reason in answers to callers.
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
