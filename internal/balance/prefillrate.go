package balance

// prefillRate learns how many prompt tokens an engine reads a second, as a quantile
// of what first tokens show.
type prefillRate struct{ perSecond float64 }

func newPrefillRate() prefillRate { return prefillRate{perSecond: initialPrefillRate} }

// observe takes the time to the first token, in seconds, of a prompt of which
// some tokens had to be read.
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
