package speed

const (
	// decodeEvidencePerSecond is the most evidence about an endpoint that a second adds, that of
	// one stream: more streams show the same slow period.
	decodeEvidencePerSecond = 1 / RunSeconds
	// prefillEvidencePerSecond is the same for first events.
	prefillEvidencePerSecond = 2.0
	// maxDecodeEvidence and maxPrefillEvidence bound the evidence, so that a recovered endpoint
	// without requests is back within the band in about 14 s. The weight of all streams would keep
	// it slow for half a minute.
	maxDecodeEvidence  = 30.0
	maxPrefillEvidence = 8.0
	// maxCreditSeconds is the time for which evidence may arrive at once after frequent updates.
	maxCreditSeconds = 1.0
	// decodePrior and prefillPrior are the evidence at which an estimate is shrunk by half: 1.2 s
	// of a stream, longer than a short slow period, and four first events.
	decodePrior  = 6.0
	prefillPrior = 4.0
)

// evidence is the capped weight of what is known of an endpoint. Since sums arrive whole, new
// samples are what the weight has grown compared to the decayed earlier one.
type evidence struct {
	weight, total float64
	credit        float64 // what may be added
}

// update takes the total weight after some seconds in which a share of the earlier one remains,
// and of which each adds at most perSecond.
func (e *evidence) update(total, share, seconds, perSecond, limit float64) {
	e.credit = min(e.credit+perSecond*seconds, perSecond*max(maxCreditSeconds, seconds))
	added := min(max(total-e.total*share, 0), e.credit)
	e.credit -= added
	e.weight = min(e.weight*share+added, total, limit)
	e.total = total
}

// trust returns the part of an estimate that remains after shrinking. It is quadratic in the
// evidence, so that one or two samples count little and full evidence counts almost wholly.
func (e *evidence) trust(prior float64) float64 {
	return e.weight * e.weight / (e.weight*e.weight + prior*prior)
}
