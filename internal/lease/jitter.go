package lease

import (
	"math/rand/v2"
	"time"
)

// jitter draws a duration within a share of a mean, evenly: daemons that did
// something together don't do the next thing together.
func jitter(random *rand.Rand, mean time.Duration, share float64) time.Duration {
	factor := 1 - share + 2*share*random.Float64()
	return time.Duration(factor * float64(mean))
}
