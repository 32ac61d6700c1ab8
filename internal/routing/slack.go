package routing

// Range of the refusal slack, a factor on the limits.
const (
	minRefusalSlack = 0.65
	maxRefusalSlack = 1.15
)

// refusalSlack returns a random factor on the limits of an overload. Reports
// lag, so daemons that compare the same stale load with the same limit would all
// refuse at once, let the engine drain, and all return to it: its batch
// oscillates between empty and overfull, and every answer of a full batch is
// late. With a new factor for each request, the share of refusals grows with the
// load instead of jumping from none to all, which damps the oscillation
// (measurements in docs/adr/0006-routing.md).
func (r *Router) refusalSlack() float64 {
	return minRefusalSlack + (maxRefusalSlack-minRefusalSlack)*r.rng.Float64()
}
