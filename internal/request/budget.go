package request

import "time"

// Budget allows retries. It is shared by many lives; an implementation used
// from several goroutines wraps a RetryBudget in a lock.
type Budget interface {
	// Take reports whether a retry may be made now and charges it.
	Take(now time.Time) bool
	// Success counts a request that got its whole answer.
	Success(now time.Time)
}
