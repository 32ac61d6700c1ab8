package request

import "time"

// Budget limits retries. Many requests share one, so an implementation that is
// used from several goroutines has to wrap a RetryBudget in a lock.
type Budget interface {
	// Take reports whether a retry may be made now and charges it.
	Take(now time.Time) bool
	// Success counts a request whose answer was complete.
	Success(now time.Time)
}
