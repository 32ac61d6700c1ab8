package speed

import (
	"math"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Estimator estimates the speeds of the endpoints of one service. It is not safe for concurrent
// use.
type Estimator struct {
	effect    LoadEffect
	known     map[rendezvous.ShortKey]*endpointState
	updatedAt time.Time
	usual     float64 // seconds per event at the median endpoint, 0: unknown
	order     []*endpointState
	scratch   []float64
	factors   []Factors
}

// endpointState is what an estimator knows of one endpoint.
type endpointState struct {
	observed        Observation
	decode, prefill evidence
	seenAt          time.Time
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

// Estimate returns the factors of the service's endpoints, in their order, by all daemons'
// observations. hold means that newer sums of these are due: until they arrive, the evidence
// neither decays nor grows. The result is valid until the next call.
func (e *Estimator) Estimate(now time.Time, endpoints []rendezvous.ShortKey, observed func(rendezvous.ShortKey) Observation, hold bool, mode Mode) []Factors {
	e.update(now, endpoints, observed)
	if !hold {
		e.updateEvidence(now)
	}
	perLoad := e.effect.PerLoad()
	decodeMedian, loads := e.median(func(s *endpointState) (float64, bool) {
		return s.logAtNoLoad(perLoad), s.decode.weight >= 1
	}), e.meanLoad()
	prefillMedian := e.median(func(s *endpointState) (float64, bool) {
		return s.observed.LogPrefillRate, s.prefill.weight >= 1
	})
	e.usual = 0
	if !math.IsNaN(decodeMedian) {
		e.usual = math.Exp(decodeMedian + perLoad*loads)
	}
	e.factors = e.factors[:0]
	for _, s := range e.order {
		decode, prefill := 0.0, 0.0
		if s.decode.weight > 0 && !math.IsNaN(decodeMedian) {
			decode = s.decode.trust(decodePrior) * (s.logAtNoLoad(perLoad) - decodeMedian)
		}
		prefill = decode
		if s.prefill.weight > 0 && !math.IsNaN(prefillMedian) {
			prefill += s.prefill.trust(prefillPrior) * (prefillMedian - s.observed.LogPrefillRate - decode)
		}
		e.factors = append(e.factors, factorsOf(decode, prefill, mode))
	}
	return e.factors
}

// factorsOf returns the factors of deviations from the median, in the logarithm.
func factorsOf(decode, prefill float64, mode Mode) Factors {
	if mode == ModeOff {
		return Usual
	}
	if mode == ModeAuto {
		decode, prefill = banded(decode), banded(prefill)
	}
	return Factors{Decode: math.Exp(decode), Prefill: math.Exp(prefill)}
}

// logAtNoLoad returns the logarithm of the time of an event without the effect of the load.
func (s *endpointState) logAtNoLoad(perLoad float64) float64 {
	return s.observed.LogEventSeconds - perLoad*s.observed.Load
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
	share, seconds := Remainder(elapsed), elapsed.Seconds()
	for _, s := range e.order {
		s.decode.update(s.observed.DecodeWeight, share.decode, seconds, decodeEvidencePerSecond, maxDecodeEvidence)
		s.prefill.update(s.observed.PrefillWeight, share.prefill, seconds, prefillEvidencePerSecond, maxPrefillEvidence)
	}
}

// median returns the median of a value over the endpoints that have it, NaN if none has.
func (e *Estimator) median(value func(*endpointState) (float64, bool)) float64 {
	e.scratch = e.scratch[:0]
	for _, s := range e.order {
		if v, ok := value(s); ok {
			e.scratch = append(e.scratch, v)
		}
	}
	n := len(e.scratch)
	if n == 0 {
		return math.NaN()
	}
	slices.Sort(e.scratch)
	return (e.scratch[(n-1)/2] + e.scratch[n/2]) / 2
}

// meanLoad returns the mean load of the endpoints with events.
func (e *Estimator) meanLoad() float64 {
	sum, n := 0.0, 0
	for _, s := range e.order {
		if s.decode.weight >= 1 {
			sum += s.observed.Load
			n++
		}
	}
	return sum / float64(max(n, 1))
}
