package speed

// Deviation is how a run of events differs from the mean of the earlier ones at its endpoint.
type Deviation struct {
	LogEventSeconds float64
	Load            float64
	Weight          float64 // 0 without earlier runs
}

// deviationOf returns the deviation of a sample from what was observed before. The weight is that
// of the sample's term in the sum of squares around the common mean.
func deviationOf(before, sample Observation) Deviation {
	if before.Weight == 0 {
		return Deviation{}
	}
	return Deviation{
		LogEventSeconds: sample.LogEventSeconds - before.LogEventSeconds,
		Load:            sample.Load - before.Load,
		Weight:          before.Weight * sample.Weight / (before.Weight + sample.Weight),
	}
}
