package caller

import (
	"math/rand/v2"
	"time"
)

// Waits between attempts without a hint from the server.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// maxRetryAfter bounds the hint that is followed; a caller with somebody
	// waiting gives up on longer ones.
	maxRetryAfter = 10 * time.Second
)

// backoff spreads attempts so that callers that failed together don't come
// back together.
type backoff struct {
	src *rand.Rand
	n   int
}

func newBackoff(seed uint64) backoff {
	return backoff{src: rand.New(rand.NewPCG(seed, 0))}
}

// next returns the wait before the next attempt, at least the hint.
func (b *backoff) next(hint time.Duration) time.Duration {
	ceiling := min(maxBackoff, firstBackoff<<min(b.n, 10))
	b.n++
	jitter := time.Duration(b.src.Float64() * float64(ceiling))
	return min(hint, maxRetryAfter) + ceiling/2 + jitter/2
}
