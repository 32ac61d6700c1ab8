package balance

// rate learns how many prompt tokens an engine reads a second, as a quantile
// of what first tokens show.
type rate struct{ perSecond float64 }

func newRate() rate { return rate{perSecond: readRate} }

// observe takes the time to the first token, in seconds, of a prompt of which
// some tokens had to be read.
func (r *rate) observe(tokens int, seconds float64) {
	if tokens < learnTokens || seconds <= 0 {
		return
	}
	if float64(tokens)/seconds > r.perSecond {
		r.perSecond *= 1 + learnStep*learnQuantile
	} else {
		r.perSecond *= 1 - learnStep*(1-learnQuantile)
	}
	r.perSecond = min(max(r.perSecond, leastRate), mostRate)
}
