package speed

import "math"

const (
	// Band is the factor up to which, in ModeAuto, an endpoint's speed is usual again, and
	// UnusualFrom that from which it no longer is. The differences between alike endpoints in load
	// and in prompts move estimates by up to a half. Without the gap, estimates near one threshold
	// would move prompts between endpoints back and forth, away from where their prefixes are cached.
	Band        = 1.4
	UnusualFrom = 1.6
	// MaxFactor and its inverse bound factors. Where most endpoints of a service hang, the median
	// is one of them, and those that serve would seem many times as fast as they are.
	MaxFactor = 4.0
)

// isUnusual reports whether an endpoint's deviation, in the logarithm, is outside the band.
func isUnusual(deviation float64, before bool) bool {
	if before {
		return math.Abs(deviation) > math.Log(Band)
	}
	return math.Abs(deviation) >= math.Log(UnusualFrom)
}

// factorOf returns the factor for a deviation, in the logarithm, from the median endpoint.
func (m Mode) factorOf(deviation float64, unusual bool) float64 {
	if m == ModeOff || m == ModeAuto && !unusual {
		return 1
	}
	return min(max(math.Exp(deviation), 1/MaxFactor), MaxFactor)
}
