package speed

import (
	"math"
	"time"
)

// Observation is what was seen of the speed of one endpoint, with older samples decayed. The
// zero value is no observation.
type Observation struct {
	// DecodeWeight is the decayed number of samples of decoding. LogEventSeconds is the mean
	// natural logarithm of the seconds between two events of a stream, and Load the mean share
	// of the endpoint's slots in use during them.
	DecodeWeight    float64
	LogEventSeconds float64
	Load            float64
	// PrefillWeight is the decayed number of samples of prefill. LogPrefillRate is the mean
	// natural logarithm of the prompt tokens computed per second.
	PrefillWeight  float64
	LogPrefillRate float64
}

// Add returns the observation of both.
func (o Observation) Add(p Observation) Observation {
	return Observation{
		DecodeWeight:    o.DecodeWeight + p.DecodeWeight,
		LogEventSeconds: mean(o.DecodeWeight, o.LogEventSeconds, p.DecodeWeight, p.LogEventSeconds),
		Load:            mean(o.DecodeWeight, o.Load, p.DecodeWeight, p.Load),
		PrefillWeight:   o.PrefillWeight + p.PrefillWeight,
		LogPrefillRate:  mean(o.PrefillWeight, o.LogPrefillRate, p.PrefillWeight, p.LogPrefillRate),
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
	// decodeHalfLife is the half-life of decoding samples. A period of 600 ms at 2.5 times the
	// usual time moves the mean by a tenth, one of 5 s by half.
	decodeHalfLife = 4 * time.Second
	// prefillHalfLife is longer, since there is one sample of prefill per stream.
	prefillHalfLife = 8 * time.Second
	// maxLog bounds logarithms: e^20 is a half billion seconds or tokens.
	maxLog = 20.0
	// minRemaining is the least weight that remains after a part is subtracted. Below it the
	// rounding of both would dominate the mean.
	minRemaining = 0.5
)

// Without returns the observation without a part of it.
func (o Observation) Without(part Observation) Observation {
	var out Observation
	out.DecodeWeight, out.LogEventSeconds = subtract(o.DecodeWeight, o.LogEventSeconds, part.DecodeWeight, part.LogEventSeconds)
	_, out.Load = subtract(o.DecodeWeight, o.Load, part.DecodeWeight, part.Load)
	out.PrefillWeight, out.LogPrefillRate = subtract(o.PrefillWeight, o.LogPrefillRate, part.PrefillWeight, part.LogPrefillRate)
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
	return o.Remaining(Remainder(age))
}

// Share is the part of each weight that remains after a time.
type Share struct{ decode, prefill float64 }

// Remainder returns what remains after a time without samples.
func Remainder(age time.Duration) Share {
	age = max(age, 0)
	return Share{decode: decay(age, decodeHalfLife), prefill: decay(age, prefillHalfLife)}
}

// Remaining returns the observation with a share of its weights.
func (o Observation) Remaining(s Share) Observation {
	o.DecodeWeight *= s.decode
	o.PrefillWeight *= s.prefill
	return o
}

// decay returns the share that remains after a time.
func decay(age, halfLife time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// finite reports whether all numbers are finite and the weights not negative.
func (o *Observation) finite() bool {
	sum := o.DecodeWeight + o.LogEventSeconds + o.Load + o.PrefillWeight + o.LogPrefillRate
	return !math.IsNaN(sum) && !math.IsInf(sum, 0) && o.DecodeWeight >= 0 && o.PrefillWeight >= 0
}
