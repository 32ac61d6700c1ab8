package balance

// prefillRate estimates how many prompt tokens per second an engine computes, as a
// quantile of the rates that first tokens show.
type prefillRate struct{ perSecond float64 }

func newPrefillRate() prefillRate { return prefillRate{perSecond: initialPrefillRate} }

// observe adds the time to the first token, in seconds, of a prompt of which some
// tokens had to be computed.
func (r *prefillRate) observe(tokens int, seconds float64) {
	if tokens < minSampleTokens || seconds <= 0 {
		return
	}
	if float64(tokens)/seconds > r.perSecond {
		r.perSecond *= 1 + rateStep*rateQuantile
	} else {
		r.perSecond *= 1 - rateStep*(1-rateQuantile)
	}
	r.perSecond = min(max(r.perSecond, minPrefillRate), maxPrefillRate)
}
