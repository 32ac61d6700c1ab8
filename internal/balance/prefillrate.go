package balance

// prefillRate estimates how many prompt tokens per second the usual engine computes, as a
// quantile of the rates that first tokens show.
type prefillRate struct{ perSecond float64 }

func newPrefillRate() prefillRate { return prefillRate{perSecond: initialPrefillRate} }

// observe adds the time to the first token, in seconds, of a prompt of which some
// tokens had to be computed, at an engine that takes slow times as long as the usual one.
func (r *prefillRate) observe(tokens int, seconds, slow float64) {
	if tokens < minSampleTokens || seconds <= 0 {
		return
	}
	if slow*float64(tokens)/seconds > r.perSecond {
		r.perSecond *= 1 + rateStep*rateQuantile
	} else {
		r.perSecond *= 1 - rateStep*(1-rateQuantile)
	}
	r.perSecond = min(max(r.perSecond, minPrefillRate), maxPrefillRate)
}
