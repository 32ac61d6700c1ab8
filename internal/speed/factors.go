package speed

import "math"

// Factors is how much longer an endpoint takes than the median one of its service: 1 is as long,
// 2 twice as long.
type Factors struct{ Decode, Prefill float64 }

// Usual are the factors of an endpoint of which nothing is known.
var Usual = Factors{Decode: 1, Prefill: 1}

var (
	// bandStart and bandEnd are the deviations, in the logarithm, up to which a factor is 1 and
	// from which it has its full value.
	bandStart = math.Log(Band)
	bandEnd   = math.Log(1.6)
)

// Band is the factor up to which, in ModeAuto, an endpoint's speed counts as usual.
const Band = 1.3

// banded returns a logarithm without what lies within the band.
func banded(log float64) float64 {
	size := math.Abs(log)
	switch {
	case size <= bandStart:
		return 0
	case size >= bandEnd:
		return log
	default:
		return log * (size - bandStart) / (bandEnd - bandStart)
	}
}
