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
func (l *TokenLatency) Add(running int, seconds float64) {
	if running <= 0 || seconds <= 0 {
		return
	}
	x := float64(running)
	keep := 1 - fitGain
	l.n = l.n*keep + fitGain
	l.x = l.x*keep + fitGain*x
	l.y = l.y*keep + fitGain*seconds
	l.xx = l.xx*keep + fitGain*x*x
	l.xy = l.xy*keep + fitGain*x*seconds
}

// Limit returns the requests that may run at once on an engine before the
// time between tokens passes target seconds, between 1 and slots. With too
// little known it is slots.
func (l *TokenLatency) Limit(target, slots float64) float64 {
	if l.n == 0 {
		return slots
	}
	x, y := l.x/l.n, l.y/l.n
	variance := l.xx/l.n - x*x
	if variance < minVariance {
		return slots
	}
	slope := (l.xy/l.n - x*y) / variance
	if slope <= 0 {
		return slots
	}
	limit := x + (target-y)/slope
	return min(max(1, limit), slots)
}
