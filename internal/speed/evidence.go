package speed

import "time"

const (
	// maxDecodeEvidence and maxPrefillEvidence cap the evidence about an endpoint, which thousands
	// of events would raise so far that a recovered endpoint without requests stayed slow for half
	// a minute. From the cap, estimates are back within the band in about 16 s.
	maxDecodeEvidence  = 48.0
	maxPrefillEvidence = 8.0
	// decodePrior and prefillPrior are the evidence at which an estimate is shrunk by half: 1.2 s
	// of a stream, longer than a short slow period, and three first events.
	decodePrior  = 6.0
	prefillPrior = 3.0
)

// evidence is the capped weight of what is known of an endpoint. Since sums arrive whole, new
// samples are what the weight has grown compared to the decayed earlier one.
type evidence struct{ weight, total float64 }

// update takes the total weight after a time.
func (e *evidence) update(total float64, elapsed, halfLife time.Duration, limit float64) {
	share := 1.0
	if elapsed > 0 {
		share = decay(elapsed, halfLife)
	}
	added := max(total-e.total*share, 0)
	e.weight = min(e.weight*share+added, limit, total)
	e.total = total
}

// trust returns the part of an estimate that remains after shrinking. It is quadratic in the
// evidence, so that one or two samples count little and full evidence counts almost wholly.
func (e *evidence) trust(prior float64) float64 {
	return e.weight * e.weight / (e.weight*e.weight + prior*prior)
}
