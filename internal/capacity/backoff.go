package capacity

import (
	"math/rand/v2"
	"time"
)

// backoff delays launches of one kind after refusals: doubling, with jitter
// so that shards do not ask the market in step.
type backoff struct {
	delay time.Duration
	until time.Time
}

func (b *backoff) refused(now time.Time, cfg *Config, rng *rand.Rand) {
	b.delay = min(max(2*b.delay, cfg.MinBackoff), cfg.MaxBackoff)
	jitter := 0.5 + rng.Float64()
	b.until = now.Add(time.Duration(jitter * float64(b.delay)))
}
