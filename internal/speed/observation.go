package speed

import "github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"

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

// Observations is observations by endpoint.
type Observations map[rendezvous.ShortKey]Observation

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
