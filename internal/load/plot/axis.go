package plot

import (
	"math"
	"strconv"
)

// tick is a labelled value on an axis.
type tick struct {
	At    float64 // value
	Label string
}

// axis maps values to pixel coordinates.
type axis struct {
	low, high float64 // values at the ends
	from, to  float64 // pixels at the ends
	log       bool
	ticks     []tick
}

// Largest numbers of ticks whose labels don't overlap.
const (
	maxXTicks = 8
	maxYTicks = 7
)

// linearAxis returns an axis that covers low to high, with ticks at round values.
func linearAxis(low, high float64, maxTicks int, from, to float64) axis {
	if high <= low {
		high = low + 1
	}
	step := roundStep((high - low) / float64(maxTicks))
	first := math.Floor(low/step + 1e-9)
	last := math.Ceil(high/step - 1e-9)
	a := axis{low: first * step, high: last * step, from: from, to: to}
	for n := first; n <= last; n++ {
		a.ticks = append(a.ticks, tick{At: n * step, Label: label(n*step, step)})
	}
	return a
}

// logAxis returns a logarithmic axis that covers low to high. Its ticks are at 1,
// 2 and 5 times powers of ten or, where those would be too many, at the powers
// alone.
func logAxis(low, high, from, to float64) axis {
	steps := []float64{1, 2, 5}
	if math.Log10(high/low) > 2.5 {
		steps = steps[:1]
	}
	a := axis{from: from, to: to, log: true}
	for e := math.Floor(math.Log10(low)); e <= math.Ceil(math.Log10(high)); e++ {
		for _, m := range steps {
			v := m * math.Pow(10, e)
			a.ticks = append(a.ticks, tick{At: v, Label: label(v, v)})
		}
	}
	a.trim(low, high)
	return a
}

// trim removes the ticks that are not needed to cover low to high, and sets the
// ends of the axis.
func (a *axis) trim(low, high float64) {
	for len(a.ticks) > 2 && a.ticks[1].At <= low {
		a.ticks = a.ticks[1:]
	}
	for n := len(a.ticks); n > 2 && a.ticks[n-2].At >= high; n = len(a.ticks) {
		a.ticks = a.ticks[:n-1]
	}
	a.low, a.high = a.ticks[0].At, a.ticks[len(a.ticks)-1].At
}

// pixel returns the coordinate of a value.
func (a axis) pixel(v float64) float64 {
	share := (v - a.low) / (a.high - a.low)
	if a.log {
		share = math.Log(v/a.low) / math.Log(a.high/a.low)
	}
	return a.from + share*(a.to-a.from)
}

// roundStep returns the smallest of 1, 2, 2.5 or 5 times a power of ten that is
// at least raw.
func roundStep(raw float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(raw)))
	for _, m := range []float64{1, 2, 2.5, 5} {
		if raw <= m*power*(1+1e-9) {
			return m * power
		}
	}
	return 10 * power
}

// label formats a value with the decimals that the step of the axis needs.
func label(v, step float64) string {
	decimals := max(0, int(-math.Floor(math.Log10(step)+1e-9)))
	if scaled := step * math.Pow(10, float64(decimals)); math.Abs(scaled-math.Round(scaled)) > 1e-6 {
		decimals++
	}
	return group(strconv.FormatFloat(v, 'f', decimals, 64))
}

// group inserts a thin space between groups of thousands.
func group(s string) string {
	whole, rest := s, ""
	for i, r := range s {
		if r == '.' {
			whole, rest = s[:i], s[i:]
			break
		}
	}
	const thinSpace = "\u2009"
	for at := len(whole) - 3; at > 0 && whole[at-1] != '-'; at -= 3 {
		whole = whole[:at] + thinSpace + whole[at:]
	}
	return whole + rest
}
