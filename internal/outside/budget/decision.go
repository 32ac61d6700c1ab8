package budget

import "time"

// Action says what to do with a call.
type Action uint8

// The actions.
const (
	// Refused: the API seems to be down. Don't call, and don't wait here.
	Refused Action = iota
	// Allowed: call now, and report the outcome.
	Allowed
	// WaitUntil: call Admit again at the decision's time.
	WaitUntil
)

// Reason says why a call isn't allowed now.
type Reason uint8

// The reasons.
const (
	NoReason    Reason = iota
	BreakerOpen        // the API failed repeatedly
	OverBudget         // this daemon's share is used up for now
	Spreading          // the call waits for a random moment
	RateLimited        // the API asked to wait
)

// String returns the reason's name in metrics and logs.
func (r Reason) String() string {
	switch r {
	case BreakerOpen:
		return "breaker-open"
	case OverBudget:
		return "over-budget"
	case Spreading:
		return "spreading"
	case RateLimited:
		return "rate-limited"
	default:
		return "none"
	}
}

// Decision is the answer to Admit.
type Decision struct {
	Action Action
	Reason Reason
	At     time.Time // when to call Admit again; zero when Allowed
}

func waitUntil(at time.Time, why Reason) Decision {
	return Decision{Action: WaitUntil, Reason: why, At: at}
}
