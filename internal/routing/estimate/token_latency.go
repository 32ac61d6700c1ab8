package estimate

// fitGain is the weight of the newest report in a class's line; at one
// report a second from each of a few engines it follows within a minute.
const fitGain = 0.02

// minVariance is the variance of the running requests below which the reports
// lie too close together to draw a line through.
const minVariance = 0.5

// TokenLatency learns for one machine class how the time between tokens grows with
// the requests that run at once: a line fitted by least squares to the
// engines' reports, older ones fading. The zero value knows nothing.
type TokenLatency struct {
	n, x, y, xx, xy float64 // faded means; n in 0..1 is the weight so far
}

// Add takes in one report: requests running and seconds between tokens.
func (p *TokenLatency) Add(running int, seconds float64) {
	if running <= 0 || seconds <= 0 {
		return
	}
	x := float64(running)
	keep := 1 - fitGain
	p.n = p.n*keep + fitGain
	p.x = p.x*keep + fitGain*x
	p.y = p.y*keep + fitGain*seconds
	p.xx = p.xx*keep + fitGain*x*x
	p.xy = p.xy*keep + fitGain*x*seconds
}

// Limit returns the requests that may run at once on an engine before the
// time between tokens passes target seconds, between 1 and slots. With too
// little known it is slots.
func (p *TokenLatency) Limit(target, slots float64) float64 {
	if p.n == 0 {
		return slots
	}
	x, y := p.x/p.n, p.y/p.n
	variance := p.xx/p.n - x*x
	if variance < minVariance {
		return slots
	}
	slope := (p.xy/p.n - x*y) / variance
	if slope <= 0 {
		return slots
	}
	limit := x + (target-y)/slope
	return min(max(1, limit), slots)
}
