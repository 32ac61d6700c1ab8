package speed

const (
	// evidencePerSecond is the most evidence about an endpoint that a second adds, that of one
	// stream: more streams show the same slow period.
	evidencePerSecond = 1 / RunSeconds
	// maxEvidence bounds the evidence, so that a recovered endpoint without requests is back
	// within the band in about 14 s. The weight of all streams would keep it slow for half a
	// minute.
	maxEvidence = 30.0
	// maxAllowanceSeconds is the time for which evidence may arrive at once after frequent updates.
	maxAllowanceSeconds = 1.0
	// prior is the evidence at which an estimate is shrunk by half: 1.2 s of a stream, longer
	// than a short slow period.
	prior = 6.0
)

// evidence is the capped weight of what is known of an endpoint. Since sums arrive whole, new
// samples are what the weight has grown compared to the decayed earlier one.
type evidence struct {
	weight, total float64
	allowance     float64 // what may be added
}

// update takes the total weight after some seconds in which a part of the earlier one remains.
func (e *evidence) update(total, part, seconds float64) {
	e.allowance = min(e.allowance+evidencePerSecond*seconds, evidencePerSecond*max(maxAllowanceSeconds, seconds))
	added := min(max(total-e.total*part, 0), e.allowance)
	e.allowance -= added
	e.weight = min(e.weight*part+added, total, maxEvidence)
	e.total = total
}

// trust returns the part of an estimate that remains after shrinking. It is quadratic in the
// evidence, so that one or two samples count little and full evidence counts almost wholly.
func (e *evidence) trust() float64 {
	return e.weight * e.weight / (e.weight*e.weight + prior*prior)
}
