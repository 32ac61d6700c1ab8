package lease

import (
	"math/rand/v2"
	"time"
)

// jitter draws a duration evenly from mean*(1-share) to mean*(1+share), so that
// daemons that acted at the same time don't stay in step.
func jitter(random *rand.Rand, mean time.Duration, share float64) time.Duration {
	factor := 1 - share + 2*share*random.Float64()
	return time.Duration(factor * float64(mean))
}
