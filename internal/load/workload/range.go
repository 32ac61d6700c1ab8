package workload

import "math/rand/v2"

// Range is an inclusive range of token counts.
type Range struct {
	Min int `yaml:"min" json:"min"`
	Max int `yaml:"max" json:"max"`
}

// draw returns a uniformly distributed count.
func (r Range) draw(src *rand.Rand) int {
	return r.Min + src.IntN(r.Max-r.Min+1)
}

// scaled returns the range with both ends multiplied by by. Positive counts stay
// positive.
func (r Range) scaled(by float64) Range {
	return Range{Min: scaleTokens(r.Min, by), Max: scaleTokens(r.Max, by)}
}

func (r Range) valid() bool { return 0 <= r.Min && r.Min <= r.Max }

func scaleTokens(n int, by float64) int {
	if n == 0 {
		return 0
	}
	return max(1, int(float64(n)*by))
}
