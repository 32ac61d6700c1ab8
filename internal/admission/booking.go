package admission

import "time"

// booking spreads the callers that are refused: each is told to come back
// after those refused before it, as if they had queued. Telling all of them
// the end of the queue brings a burst of refused callers back as a burst.
type booking struct {
	amount float64 // promised to callers that have not come back, in the rate's unit
	last   time.Duration
}

// add books amount, which is served at rate a second, and returns how long
// what was booked before takes.
func (b *booking) add(now time.Duration, rate, amount float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	b.amount = max(0, b.amount-rate*(now-b.last).Seconds())
	b.last = now
	before := b.amount
	b.amount += amount
	return seconds(before / rate)
}
