package budget

import (
	"math/rand/v2"
	"time"
)

// Backoff gives growing waits between repeated attempts, each drawn evenly
// from the upper half of its bound, so that daemons whose calls failed at the same time don't
// repeat them at the same time.
type Backoff struct {
	First   time.Duration // bound of the first wait
	Longest time.Duration // bound of all waits
	bound   time.Duration
}

// Next returns how long to wait before the next attempt.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	if b.bound == 0 {
		b.bound = b.First
	}
	wait := b.bound/2 + time.Duration(random.Int64N(int64(b.bound/2)+1))
	b.bound = min(2*b.bound, b.Longest)
	return wait
}

// Reset starts again with the first wait.
func (b *Backoff) Reset() { b.bound = 0 }
