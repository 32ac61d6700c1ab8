package speed

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

const (
	// MinRunEvents is the least number of events of a run.
	MinRunEvents = 4
	// RunSeconds is the time that weighs 1. Weighing by time counts a slow period by how long it
	// lasts, though it has fewer events.
	RunSeconds = 0.2
	// maxRunWeight bounds the weight of a run, so that a single long pause counts little.
	maxRunWeight = 4.0
	// maxStallWeight bounds the weight of a stream that waits for an event.
	maxStallWeight = 8.0
	// minKeptWeight is the weight below which observations are dropped.
	minKeptWeight = 0.05
)

// Meter holds what one daemon has observed. It is not safe for concurrent use.
type Meter struct{ endpoints map[rendezvous.ShortKey]entry }

// entry is an observation as of a time.
type entry struct {
	Observation
	at time.Time
}

// NewMeter returns a meter without observations.
func NewMeter() *Meter { return &Meter{endpoints: map[rendezvous.ShortKey]entry{}} }

// ObserveEvents records the seconds that a run of a stream's events took while a share of the
// endpoint's slots was in use. It returns how the run deviates from earlier ones at the endpoint.
func (m *Meter) ObserveEvents(now time.Time, endpoint rendezvous.ShortKey, seconds float64, events int, load float64) Deviation {
	if events < MinRunEvents || !positive(seconds) || math.IsNaN(load) {
		return Deviation{}
	}
	sample := Observation{
		Weight:          min(max(seconds/RunSeconds, 1), maxRunWeight),
		LogEventSeconds: logOf(seconds / float64(events)),
		Load:            min(max(load, 0), 1),
	}
	before := m.add(now, endpoint, sample)
	return deviationOf(before, sample)
}

// add adds a sample and returns what was there before.
func (m *Meter) add(now time.Time, endpoint rendezvous.ShortKey, sample Observation) Observation {
	e := m.endpoints[endpoint]
	before := e.Aged(now.Sub(e.at))
	m.endpoints[endpoint] = entry{Observation: before.Add(sample), at: now}
	return before
}

// Forget drops what was observed of an endpoint.
func (m *Meter) Forget(endpoint rendezvous.ShortKey) { delete(m.endpoints, endpoint) }

// At returns what was observed of an endpoint, as it counts now.
func (m *Meter) At(now time.Time, endpoint rendezvous.ShortKey) Observation {
	e, ok := m.endpoints[endpoint]
	if !ok {
		return Observation{}
	}
	return e.Aged(now.Sub(e.at))
}

// Own returns the observations as they count now.
func (m *Meter) Own(now time.Time) Observations {
	out := make(Observations, len(m.endpoints))
	for key, e := range m.endpoints {
		o := e.Aged(now.Sub(e.at))
		if o.Weight < minKeptWeight {
			delete(m.endpoints, key)
			continue
		}
		out[key] = o
	}
	return out
}

// Stall returns the observation of a stream that waits for its next event for longer than
// 4 times the usual time of one; ok is false for a shorter wait.
func Stall(seconds, usual, load float64) (o Observation, ok bool) {
	if !positive(seconds) || !positive(usual) || math.IsNaN(load) || seconds <= MinRunEvents*usual {
		return Observation{}, false
	}
	return Observation{
		Weight:          min(seconds/max(RunSeconds, MinRunEvents*usual), maxStallWeight),
		LogEventSeconds: logOf(seconds),
		Load:            min(max(load, 0), 1),
	}, true
}

// positive reports whether a number is above 0 and finite.
func positive(v float64) bool { return v > 0 && !math.IsInf(v, 1) }

// logOf returns the bounded natural logarithm of a positive number.
func logOf(v float64) float64 { return min(max(math.Log(v), -maxLog), maxLog) }
