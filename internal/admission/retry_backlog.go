package admission

import "time"

// retryBacklog spreads the callers that are refused: each is told to come back
// after those refused before it, as if they had queued. Telling all of them
// the end of the queue brings a burst of refused callers back as a burst.
type retryBacklog struct {
	outstanding float64 // promised to callers that have not come back, in the rate's unit
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
