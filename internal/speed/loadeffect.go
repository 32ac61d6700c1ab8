package speed

import "time"

const (
	// loadEffectHalfLife is the half-life of the samples from which the effect of the load is
	// learned. It is longer than that of speeds, since the effect is a property of the engines.
	loadEffectHalfLife = 30 * time.Second
	// loadEffectPrior is the variance, in weight times squared load, up to which the effect is
	// shrunk: 10 s of a stream at an endpoint whose load varies by a tenth of its slots.
	loadEffectPrior = 0.5
	// maxLoadEffect bounds the effect: engines with all slots in use take less than 4.5 times as
	// long as idle ones. Load also rises because an endpoint is slow, which looks like an effect.
	maxLoadEffect = 1.5
)

// LoadEffect learns how the logarithm of an event's time at the endpoints of a service grows with
// the share of slots in use. It learns from deviations at the same endpoint alone, so that
// differences between endpoints don't enter.
type LoadEffect struct {
	at                   time.Time
	covariance, variance float64
}

// Observe adds a deviation.
func (e *LoadEffect) Observe(now time.Time, d Deviation) {
	if d.Weight == 0 {
		return
	}
	if age := now.Sub(e.at); age > 0 {
		e.covariance *= decay(age, loadEffectHalfLife)
		e.variance *= decay(age, loadEffectHalfLife)
		e.at = now
	}
	e.covariance += d.Weight * d.LogEventSeconds * d.Load
	e.variance += d.Weight * d.Load * d.Load
}

// PerLoad returns the increase of the logarithm from no slot in use to all; never below 0.
func (e *LoadEffect) PerLoad() float64 {
	return min(max(e.covariance/(e.variance+loadEffectPrior), 0), maxLoadEffect)
}
