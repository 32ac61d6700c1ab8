package capacity

import (
	"math/rand/v2"
	"time"
)

// backoff delays launches of one kind after refusals. The delay doubles with each
// refusal; jitter keeps shards from retrying at the same time.
type backoff struct {
	delay time.Duration
	until time.Time
}

func (b *backoff) refused(now time.Time, cfg *Config, rng *rand.Rand) {
	b.delay = min(max(2*b.delay, cfg.MinBackoff), cfg.MaxBackoff)
	jitter := 0.5 + rng.Float64()
	b.until = now.Add(time.Duration(jitter * float64(b.delay)))
}
