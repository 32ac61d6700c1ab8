package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// changesSeconds is the time over which the changes of estimates are measured.
	changesSeconds = 2.0
	// unusualChanges is the number of typical changes from which a deviation counts. In the first
	// seconds, while caches are empty, estimates change by a third every two seconds; factors taken
	// from them move prompts away from where they are cached.
	unusualChanges = 6.0
	// maxSteadySeconds bounds the time over which a deviation is averaged, and steadyGap is the
	// difference, in the logarithm, from which the average begins anew: the endpoint has changed.
	maxSteadySeconds = 20.0
	steadyGap        = 0.5
	// firstSteadySeconds is the age of an average that begins anew, and firstUnusualSeconds that of
	// one that begins as the endpoint becomes unusual.
	firstSteadySeconds  = 0.5
	firstUnusualSeconds = 1.0
)

// changes is how much the estimates of a service's endpoints change within changesSeconds.
type changes struct {
	at   time.Time
	size float64 // median over the endpoints, smoothed, in the logarithm
}

// elapsed returns the seconds since the last call.
func (c *changes) elapsed(now time.Time) float64 {
	elapsed := max(now.Sub(c.at).Seconds(), 0)
	if c.at.IsZero() {
		elapsed = 0
	}
	c.at = now
	return elapsed
}

// updateChanges measures the changes of the deviations.
func (e *Estimator) updateChanges(elapsed float64) {
	part := min(elapsed/changesSeconds, 1)
	e.scratch = e.scratch[:0]
	for _, s := range e.order {
		if s.evidence.weight >= 1 {
			e.scratch = append(e.scratch, math.Abs(s.deviation-s.recent))
		}
		s.recent += part * (s.deviation - s.recent)
	}
	if n := len(e.scratch); n > 0 {
		slices.Sort(e.scratch)
		e.changes.size += part * (e.scratch[n/2] - e.changes.size)
	}
}

// steadyMean is the mean of an endpoint's deviation since it changed.
type steadyMean struct{ mean, seconds float64 }

func (m *steadyMean) add(deviation, elapsed float64) {
	m.seconds += elapsed
	if math.Abs(deviation-m.mean) > steadyGap {
		*m = steadyMean{deviation, firstSteadySeconds}
	}
	if m.seconds > 0 {
		m.mean += min(elapsed/min(m.seconds, maxSteadySeconds), 1) * (deviation - m.mean)
	}
}

// steadyDeviation returns the deviation for ModeAuto and updates whether the endpoint is unusual.
func (s *endpointState) steadyDeviation(elapsed, change float64) float64 {
	trust := s.evidence.trust()
	if s.evidence.weight < 1 {
		s.steady = steadyMean{s.deviation, firstSteadySeconds}
	} else {
		s.steady.add(s.deviation, elapsed)
	}
	if s.unusual {
		s.unusual = isUnusual(trust*s.steady.mean, true)
		return trust * s.steady.mean
	}
	deviation := trust * s.deviation
	s.unusual = isUnusual(deviation, false) && math.Abs(deviation) >= unusualChanges*change
	if s.unusual && !isUnusual(trust*s.steady.mean, true) {
		s.steady = steadyMean{s.deviation, firstUnusualSeconds}
	}
	return trust * s.steady.mean
}
