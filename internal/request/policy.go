package request

import "time"

// Policy bounds what a Life does.
type Policy struct {
	// MaxAttempts bounds dispatches that the request is charged for.
	MaxAttempts int
	// MaxResumes bounds resumes in a row without a new piece between them.
	MaxResumes int
	// DispatchTimeout is how long a dispatch may stay without its first piece.
	DispatchTimeout time.Duration
	// ProgressTimeout is the longest silence between pieces.
	ProgressTimeout time.Duration
	// MoveTimeout is how long an export may take.
	MoveTimeout time.Duration
	// DeadlineMargin before the deadline within which no new attempt starts.
	DeadlineMargin time.Duration
	// MinPause and MaxPause bound the doubling wait between tries that wait for
	// an endpoint.
	MinPause, MaxPause time.Duration
}

// DefaultPolicy suits engines that give the first token within 1.5 s and a
// token every 34 ms.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttempts:     4, // a request that failed on four endpoints is more likely at fault than they
		MaxResumes:      2, // one for the lost connection, one in case the new one met the same fault
		DispatchTimeout: 20 * time.Second,
		ProgressTimeout: 2 * time.Second, // sixty missed tokens
		MoveTimeout:     5 * time.Second,
		DeadlineMargin:  50 * time.Millisecond, // less than any attempt needs
		MinPause:        50 * time.Millisecond,
		MaxPause:        time.Second,
	}
}
