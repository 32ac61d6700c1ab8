package speed

import (
	"math"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// prefillPart is the part of an engine's time that the prompts take while there are any to compute:
// a step with a thousand prompt tokens takes about 4 times as long as one without. Engines with more
// prompts seem slower otherwise, and the fast ones have more.
const prefillPart = 0.75

// Estimator estimates the speeds of the endpoints of one service. It is not safe for concurrent
// use.
type Estimator struct {
	effect    LoadEffect
	changes   changes
	known     map[rendezvous.ShortKey]*endpointState
	updatedAt time.Time
	usual     float64 // seconds per event at the median endpoint, 0: unknown
	order     []*endpointState
	scratch   []float64
	factors   []float64
}

// endpointState is what an estimator knows of one endpoint.
type endpointState struct {
	observed Observation
	evidence evidence
	seenAt   time.Time
	// deviation is the logarithm of the factor by the current observations, before shrinking.
	deviation float64
	recent    float64 // deviation, smoothed over changesSeconds
	steady    steadyMean
	unusual   bool // the factor left the band and isn't back
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{known: map[rendezvous.ShortKey]*endpointState{}}
}

// ObserveDeviation takes the deviation of a run at one of the service's endpoints.
func (e *Estimator) ObserveDeviation(now time.Time, d Deviation) { e.effect.Observe(now, d) }

// Forget drops what is known of an endpoint.
func (e *Estimator) Forget(endpoint rendezvous.ShortKey) { delete(e.known, endpoint) }

// UsualEventSeconds returns the seconds between two events at the median endpoint, 0 if they
// aren't known.
func (e *Estimator) UsualEventSeconds() float64 { return e.usual }

// Estimate returns by which factor each of the service's endpoints takes longer than the median
// one, in their order, by all daemons' observations. hold means that newer sums of these are due:
// until they arrive, the evidence neither decays nor grows. The result is valid until the next
// call.
func (e *Estimator) Estimate(now time.Time, endpoints []rendezvous.ShortKey, observed func(rendezvous.ShortKey) Observation, hold bool, mode Mode) []float64 {
	e.update(now, endpoints, observed)
	if !hold {
		e.updateEvidence(now)
	}
	elapsed := e.changes.elapsed(now)
	perLoad := e.effect.PerLoad()
	median, known := e.median(perLoad)
	e.usual = 0
	if known {
		e.usual = math.Exp(median + e.meanEffect(perLoad))
	}
	for _, s := range e.order {
		s.deviation = 0
		if s.evidence.weight > 0 && known {
			s.deviation = s.logAtIdle(perLoad) - median
		}
	}
	e.updateChanges(elapsed)
	e.factors = e.factors[:0]
	for _, s := range e.order {
		deviation := s.evidence.trust() * s.deviation
		if mode == ModeAuto {
			deviation = s.steadyDeviation(elapsed, e.changes.size)
		}
		e.factors = append(e.factors, mode.factorOf(deviation, s.unusual))
	}
	return e.factors
}

// logAtIdle returns the logarithm of the time of an event without the effect of the load and of
// the prompts that are computed in between.
func (s *endpointState) logAtIdle(perLoad float64) float64 {
	return s.observed.LogEventSeconds - s.effect(perLoad)
}

// effect returns the effect of the load and of the prompts on the logarithm of the time of an event.
func (s *endpointState) effect(perLoad float64) float64 {
	return perLoad*s.observed.Load - math.Log(1-prefillPart*min(max(s.observed.Prefilling, 0), 1))
}

// update takes the observations of the endpoints and drops the state of those that are gone.
func (e *Estimator) update(now time.Time, endpoints []rendezvous.ShortKey, observed func(rendezvous.ShortKey) Observation) {
	e.order = e.order[:0]
	for _, key := range endpoints {
		s := e.known[key]
		if s == nil {
			s = &endpointState{}
			e.known[key] = s
		}
		s.seenAt = now
		if o := observed(key); o.finite() {
			s.observed = o
		}
		e.order = append(e.order, s)
	}
	if len(e.known) == len(endpoints) {
		return
	}
	for key, s := range e.known {
		if !s.seenAt.Equal(now) {
			delete(e.known, key)
		}
	}
}

// updateEvidence takes the weights of the observations as evidence.
func (e *Estimator) updateEvidence(now time.Time) {
	elapsed := max(now.Sub(e.updatedAt), 0)
	if e.updatedAt.IsZero() {
		elapsed = 0
	}
	e.updatedAt = now
	for _, s := range e.order {
		s.evidence.update(s.observed.Weight, Decay(elapsed), elapsed.Seconds())
	}
}

// median returns the median logarithm of the time of an event at an idle endpoint; ok is false if
// no endpoint has events.
func (e *Estimator) median(perLoad float64) (median float64, ok bool) {
	e.scratch = e.scratch[:0]
	for _, s := range e.order {
		if s.evidence.weight >= 1 {
			e.scratch = append(e.scratch, s.logAtIdle(perLoad))
		}
	}
	n := len(e.scratch)
	if n == 0 {
		return 0, false
	}
	slices.Sort(e.scratch)
	return (e.scratch[(n-1)/2] + e.scratch[n/2]) / 2, true
}

// meanEffect returns the mean effect of load and prompts at the endpoints with events.
func (e *Estimator) meanEffect(perLoad float64) float64 {
	sum, n := 0.0, 0
	for _, s := range e.order {
		if s.evidence.weight >= 1 {
			sum += s.effect(perLoad)
			n++
		}
	}
	return sum / float64(max(n, 1))
}
