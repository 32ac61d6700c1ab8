package admission

import "time"

// retryBacklog is a virtual queue of refused callers: each gets a RetryAfter
// behind those refused before it. If all got the same RetryAfter, a burst of
// refused callers would come back as a burst.
type retryBacklog struct {
	outstanding float64 // of refused callers whose turn has not come, in the rate's unit
	last        time.Duration
}

// add appends amount, which is served at rate a second, and returns how long the
// amount ahead of it takes.
func (b *retryBacklog) add(now time.Duration, rate, amount float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	b.outstanding = max(0, b.outstanding-rate*(now-b.last).Seconds())
	b.last = now
	before := b.outstanding
	b.outstanding += amount
	return seconds(before / rate)
}
