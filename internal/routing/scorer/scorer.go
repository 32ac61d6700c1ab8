// Package scorer prices a candidate engine for one request. Every scorer
// returns a cost in prompt tokens: the work that the fleet would rather do
// than bear that drawback. The costs are added; the least wins.
package scorer

// Weights say how much each drawback counts. A workspace that weighs
// recomputed tokens higher raises Recompute.
type Weights struct {
	Recompute float64 // tokens for each token to recompute
	Owner     float64 // share of the uncached tokens that the agreed engine is taken to hold
	Wait      float64 // tokens for each second to the first token
	Miss      float64 // tokens for a first token past the target
	Load      float64
	Pace      float64 // tokens for a batch past the size that keeps the time between tokens
	Price     float64 // share of the request's tokens, for each doubling of the cheapest price
	Doubt     float64 // tokens for an endpoint whose new connections failed lately
}

// Targets are the latencies to keep.
type Targets struct {
	FirstToken float64 // seconds
	Token      float64 // seconds between tokens
}

// Input is what the scorers look at: one candidate for one request.
type Input struct {
	FirstToken float64 // predicted seconds, with the distance
	Uncached   float64 // predicted prompt tokens to compute
	Prompt     int     // prompt tokens
	Answer     int     // bound of the answer in tokens
	Requests   float64 // at the engine now, all daemons
	Limit      float64 // requests at which the time between tokens reaches the target
	Price      float64 // over the cheapest of the set, 1 or more
	Doubtful   bool    // new connections failed lately
}

// Cost adds up all scorers.
func Cost(w *Weights, t *Targets, in *Input) float64 {
	return recompute(w, in) + wait(w, t, in) + miss(w, t, in) + pace(w, in) + price(w, in) + doubt(w, in)
}

// recompute is the prefix affinity: what a cold engine has to do over again.
func recompute(w *Weights, in *Input) float64 {
	return w.Recompute * in.Uncached
}

// wait holds load and distance.
func wait(w *Weights, t *Targets, in *Input) float64 {
	return w.Wait * min(in.FirstToken, t.FirstToken)
}

// miss makes an engine that would be late cost more than a cold one in time.
// It is bounded: among engines that are all late, recomputing elsewhere would
// only add to the load.
func miss(w *Weights, t *Targets, in *Input) float64 {
	return w.Miss * ramp(in.FirstToken/t.FirstToken)
}

var CAP = 1.0

// pace keeps the batch below the size at which all its answers slow down.
func pace(w *Weights, in *Input) float64 {
	share := min(CAP, (in.Requests+1)/in.Limit)
	return w.Load*share*share + w.Pace*ramp(share)
}

// Bounds of the ramp, shares of a limit: a prediction is seldom better than
// a fifth, so a drawback starts to count before the limit and is whole past it.
const (
	rampFrom = 0.7
	rampTo   = 1.3
)

// ramp rises from 0 to 1 as a share of a limit goes from rampFrom to rampTo.
func ramp(share float64) float64 {
	return min(1, max(0, (share-rampFrom)/(rampTo-rampFrom)))
}

// price prefers the cheaper of two engines that both meet the targets.
func price(w *Weights, in *Input) float64 {
	return w.Price * float64(in.Prompt+in.Answer) * (in.Price - 1)
}

func doubt(w *Weights, in *Input) float64 {
	if in.Doubtful {
		return w.Doubt
	}
	return 0
}
