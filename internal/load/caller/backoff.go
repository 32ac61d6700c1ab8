package caller

import (
	"math/rand/v2"
	"time"
)

// Bounds of the wait between attempts.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// maxRetryAfter caps the Retry-After of a server: a caller with a waiting
	// user would not wait for longer.
	maxRetryAfter = 10 * time.Second
)

// backoff computes exponential waits with jitter, so that callers that failed
// together don't retry together.
type backoff struct {
	src *rand.Rand
	n   int
}

func newBackoff(seed uint64) backoff {
	return backoff{src: rand.New(rand.NewPCG(seed, 0))}
}

// next returns the wait before the next attempt: the hint, which is a server's
// Retry-After or 0, and the backoff.
func (b *backoff) next(hint time.Duration) time.Duration {
	ceiling := min(maxBackoff, firstBackoff<<min(b.n, 10))
	b.n++
	jitter := time.Duration(b.src.Float64() * float64(ceiling))
	return min(hint, maxRetryAfter) + ceiling/2 + jitter/2
}
