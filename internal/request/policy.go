package request

import "time"

// Policy sets the limits and timeouts of a Lifecycle.
type Policy struct {
	// MaxAttempts limits the dispatches of a request, not counting those made
	// because its endpoint or daemon leaves.
	MaxAttempts int
	// MaxResumes limits consecutive resumes without a new piece.
	MaxResumes int
	// DispatchTimeout is how long a dispatch may be unanswered.
	DispatchTimeout time.Duration
	// ProgressTimeout is the longest time without a new piece.
	ProgressTimeout time.Duration
	// MoveTimeout is how long an export of KV cache may take.
	MoveTimeout time.Duration
	// DeadlineMargin is the time before the deadline in which no new attempt
	// starts.
	DeadlineMargin time.Duration
	// MinPause and MaxPause limit the exponential backoff while no endpoint is
	// available.
	MinPause, MaxPause time.Duration
}

// DefaultPolicy suits engines that send the first token within 1.5 s and further
// tokens every 34 ms.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttempts:     4, // after four endpoints, the fault is more likely the request's
		MaxResumes:      2, // one for the lost connection, one if the new connection fails as well
		DispatchTimeout: 20 * time.Second,
		ProgressTimeout: 2 * time.Second, // about sixty tokens
		MoveTimeout:     5 * time.Second,
		DeadlineMargin:  50 * time.Millisecond, // shorter than any attempt
		MinPause:        50 * time.Millisecond,
		MaxPause:        time.Second,
	}
}
