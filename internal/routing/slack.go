package routing

// Slack spreads decisions that depend on a limit. Reports lag, so all daemons
// that compare the same stale load with the same limit turn away from an
// engine together, let it drain, and come back together: batches swing
// between empty and twice the limit, and every answer of a full batch is late.
// With the limit multiplied by a number that differs from prompt to prompt,
// the share that turns away grows with the load instead of jumping from none
// to all, and the swing dies out (figures in docs/adr/0006-routing.md).
const (
	spillFrom, spillTo     = 0.3, 1.3
	refusalFrom, refusalTo = 0.75, 1.25
)

// spillSlack is the same in all daemons for prompts that belong together, so
// that they agree on the spill as well.
func spillSlack(key uint64) float64 {
	const unit = 1.0 / (1 << 53)
	return spillFrom + (spillTo-spillFrom)*float64(mix(key)>>11)*unit
}

// refusalSlack is drawn for each request, so that no conversation is always
// the one that is refused.
func (r *Router) refusalSlack() float64 {
	return refusalFrom + (refusalTo-refusalFrom)*r.rng.Float64()
}
