package template

import (
	"math/rand/v2"
	"time"
)

// backoff is an exponential backoff with jitter: each failure doubles the mean
// wait, and the wait is drawn from 0.5 to 1.5 times the mean, so that daemons
// whose calls failed at the same time don't retry at the same time.
type backoff struct {
	failures int
	until    time.Time
}

// maxDoublings prevents an overflow of the shifted duration.
const maxDoublings = 20

func (b *backoff) fail(now time.Time, first, most time.Duration, random *rand.Rand) {
	wait := min(first<<min(b.failures, maxDoublings), most)
	b.failures++
	b.until = now.Add(wait/2 + jitter(random, wait))
}

func (b *backoff) succeed() { *b = backoff{} }

func (b *backoff) allows(now time.Time) bool { return !now.Before(b.until) }

// jitter returns a random duration from 0 to span.
func jitter(random *rand.Rand, span time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(span))
}
