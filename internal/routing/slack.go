package routing

// Bounds of the slack of a refusal, as shares of a limit.
const (
	minRefusalSlack = 0.65
	maxRefusalSlack = 1.15
)

// refusalSlack spreads refusals. Reports lag, so all daemons that compare the
// same stale load with the same limit refuse together, let the engine drain,
// and come back together: its batch swings between empty and overfull, and
// every answer of a full batch is late. With the limit multiplied by a number
// drawn for each request, the share refused grows with the load instead of
// jumping from none to all, and the swing dies out (figures in
// docs/adr/0006-routing.md).
func (r *Router) refusalSlack() float64 {
	return minRefusalSlack + (maxRefusalSlack-minRefusalSlack)*r.rng.Float64()
}
