package estimate

// fitGain is the weight of the newest report in the fit. With one report a second
// from each of a few engines, the fit follows a change within a minute.
const fitGain = 0.02

// minVariance is the variance of the running requests below which the reports are
// too similar for a fit.
const minVariance = 0.5

// TokenLatency models, for one machine class, the time between tokens as a linear
// function of the requests that run at once. It is a least-squares fit to the
// engines' reports, weighted exponentially by their age. The zero value is a
// model without reports.
type TokenLatency struct {
	n, x, y, xx, xy float64 // sums weighted by age: of the weights (at most 1), x, y, x*x and x*y
}

// Add records a report of the requests running and the seconds between tokens. It
// ignores one in which either is not positive.
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

// Limit returns how many requests can run at once on an engine with a time between
// tokens of at most target seconds, from 1 to slots. It returns slots while the
// reports don't suffice for a fit.
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
