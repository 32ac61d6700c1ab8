package template

import (
	"math/rand/v2"
	"time"
)

// backoff spaces out calls to something that doesn't answer: each failure
// doubles the time, of which a random share is waited, so that daemons that
// failed together don't come back together.
type backoff struct {
	failures int
	until    time.Time
}

// maxDoublings keeps the shift from running over.
const maxDoublings = 20

func (b *backoff) fail(now time.Time, first, most time.Duration, random *rand.Rand) {
	wait := min(first<<min(b.failures, maxDoublings), most)
	b.failures++
	b.until = now.Add(wait/2 + jitter(random, wait))
}

func (b *backoff) succeed() { *b = backoff{} }

func (b *backoff) allows(now time.Time) bool { return !now.Before(b.until) }

// jitter returns a random duration below span.
func jitter(random *rand.Rand, span time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(span))
}
