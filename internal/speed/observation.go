package speed

import (
	"math"
	"time"
)

// Observation is what was seen of the speed of one endpoint, with older samples decayed. The
// zero value is no observation.
type Observation struct {
	// Weight is the decayed number of samples. LogEventSeconds is the mean natural logarithm of
	// the seconds between two events of a stream, and Load the mean share of the endpoint's slots
	// in use during them.
	Weight          float64
	LogEventSeconds float64
	Load            float64
	// Prefilling is the share of recent load reports in which the endpoint had prompts to compute.
	// Each daemon knows it from the loads; it is neither summed nor sent.
	Prefilling float64
}

// Add returns the observation of both.
func (o Observation) Add(p Observation) Observation {
	return Observation{
		Weight:          o.Weight + p.Weight,
		LogEventSeconds: mean(o.Weight, o.LogEventSeconds, p.Weight, p.LogEventSeconds),
		Load:            mean(o.Weight, o.Load, p.Weight, p.Load),
	}
}

// mean returns the mean of two values with their weights; 0 without any weight.
func mean(weight1, value1, weight2, value2 float64) float64 {
	if weight1+weight2 == 0 {
		return 0
	}
	return (weight1*value1 + weight2*value2) / (weight1 + weight2)
}

const (
	// halfLife is that of samples. A period of 600 ms at 2.5 times the usual time moves the mean
	// by a tenth, one of 5 s by half.
	halfLife = 4 * time.Second
	// maxLog bounds logarithms: e^20 is a half billion seconds.
	maxLog = 20.0
	// minRemaining is the least weight that remains after a part is subtracted. Below it the
	// rounding of both would dominate the mean.
	minRemaining = 0.5
)

// Without returns the observation without a part of it.
func (o Observation) Without(part Observation) Observation {
	var out Observation
	out.Weight, out.LogEventSeconds = subtract(o.Weight, o.LogEventSeconds, part.Weight, part.LogEventSeconds)
	_, out.Load = subtract(o.Weight, o.Load, part.Weight, part.Load)
	return out
}

// subtract returns the weight and the mean that remain without a part; 0 where little does.
func subtract(weight, value, partWeight, partValue float64) (remaining, mean float64) {
	remaining = weight - partWeight
	if remaining < minRemaining {
		return 0, 0
	}
	return remaining, min(max((weight*value-partWeight*partValue)/remaining, -maxLog), maxLog)
}

// Aged returns the observation as it counts after a time without samples.
func (o Observation) Aged(age time.Duration) Observation {
	return o.Scaled(Decay(age))
}

// Decay returns the part of a weight that remains after a time without samples.
func Decay(age time.Duration) float64 { return decay(max(age, 0), halfLife) }

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Scaled returns the observation with a part of its weight.
func (o Observation) Scaled(part float64) Observation {
	o.Weight *= part
	return o
}

// finite reports whether all numbers are finite and the weight not negative.
func (o *Observation) finite() bool {
	sum := o.Weight + o.LogEventSeconds + o.Load + o.Prefilling
	return !math.IsNaN(sum) && !math.IsInf(sum, 0) && o.Weight >= 0
}
