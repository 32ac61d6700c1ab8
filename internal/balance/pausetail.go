package balance

import "math"

const (
	// pauseBuckets of a quarter of an octave each cover 16 ms to 14 s.
	pauseBuckets     = 40
	bucketsPerOctave = 4
	shortestPause    = 0.016
	// tailDecay is the part of its weight that a pause keeps with each newer one: about the
	// last 200 count, which a daemon of 77 sees in 40 s.
	tailDecay = 0.995
)

// pauseTail estimates which share of the streams have a pause longer than a time, from the
// longest pauses of recent streams.
type pauseTail struct {
	weight float64
	// atLeast is the decayed number of pauses in the bucket or in a later one.
	atLeast [pauseBuckets]float64
}

// quarters are the starts of an octave's buckets.
var quarters = [bucketsPerOctave]float64{1, math.Exp2(0.25), math.Exp2(0.5), math.Exp2(0.75)}

// pauseBucket returns the bucket of a pause. A logarithm would take most of the time of a
// choice among 60 endpoints.
func pauseBucket(seconds float64) int {
	x := seconds / shortestPause
	if !(x > 1) {
		return 0
	}
	if x > 1<<(pauseBuckets/bucketsPerOctave) {
		return pauseBuckets - 1
	}
	mantissa, exponent := math.Frexp(x) // mantissa in [0.5, 1)
	bucket := 1 + bucketsPerOctave*(exponent-1)
	for _, q := range quarters[1:] {
		if 2*mantissa >= q {
			bucket++
		}
	}
	return min(bucket, pauseBuckets-1)
}

// add records a pause.
func (t *pauseTail) add(seconds float64) {
	t.weight = t.weight*tailDecay + 1
	bucket := pauseBucket(seconds)
	for i := range t.atLeast {
		t.atLeast[i] *= tailDecay
		if i <= bucket {
			t.atLeast[i]++
		}
	}
}

// above returns the share of pauses that were longer, by a bucket at least; 0 without any.
func (t *pauseTail) above(seconds float64) float64 {
	bucket := pauseBucket(seconds) + 1
	if t.weight == 0 || bucket >= pauseBuckets {
		return 0
	}
	return t.atLeast[bucket] / t.weight
}
