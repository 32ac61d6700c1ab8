// Package scorer prices a candidate engine for one request. Every scorer
// returns a cost in prompt tokens: the work that the fleet would rather do
// than bear that drawback. The costs are added; the least wins.
package scorer

// Weights say how much each drawback counts. A workspace that weighs
// recomputed tokens higher raises Recompute.
type Weights struct {
	Recompute    float64 // tokens for each token to recompute
	AgreedCached float64 // share of the uncached tokens that the agreed engine is taken to hold
	Wait         float64 // tokens for each second to the first token
	Load         float64 // tokens for an engine at its limit
	Price        float64 // tokens for each token that would be computed for nothing
	DialFailure  float64 // tokens for an endpoint whose new connections failed lately
}

// Input is what the scorers look at: one candidate for one request.
type Input struct {
	FirstToken   float64 // predicted seconds, with the distance
	Target       float64 // of the first token, in seconds
	Uncached     float64 // predicted prompt tokens to compute
	MaxTokens    int     // bound of the answer in tokens
	Utilisation  float64 // of the engine's limit in use, this request included
	Saving       float64 // share by which a token is computed more cheaply than on the dearest of the set
	Agreed       bool    // the rendezvous choice that other daemons make as well
	DialsFailing bool    // new connections failed lately
}

// Cost adds up all scorers.
func Cost(w *Weights, in *Input) float64 {
	return recompute(w, in) + wait(w, in) + load(w, in) + price(w, in) + dialFailure(w, in)
}

// recompute is the prefix affinity: what a cold engine has to do over again.
// Other daemons' prompts went to the agreed engine before any cache event
// says so, hence the share that is taken off there.
func recompute(w *Weights, in *Input) float64 {
	uncached := in.Uncached
	if in.Agreed {
		uncached *= 1 - w.AgreedCached
	}
	return w.Recompute * uncached
}

// wait holds the queue and the distance. It is bounded by the target: among
// engines that are all late, recomputing elsewhere would only add to the load.
func wait(w *Weights, in *Input) float64 {
	return w.Wait * min(in.FirstToken, in.Target)
}

// load keeps the batch below the size at which all its answers slow down. It
// rises with the square, so that it hardly moves a conversation from an idle
// engine, and stops at the limit for the reason given at wait.
func load(w *Weights, in *Input) float64 {
	utilisation := min(in.Utilisation, 1)
	return w.Load * utilisation * utilisation
}

// price prefers the engine that computes the request's tokens more cheaply,
// while it has room: the preference is gone when the engine is half full.
// Past that it would fill the cheap engines and break the targets there.
func price(w *Weights, in *Input) float64 {
	room := max(0, 1-2*in.Utilisation)
	return -w.Price * in.Saving * room * (in.Uncached + float64(in.MaxTokens))
}

func dialFailure(w *Weights, in *Input) float64 {
	if in.DialsFailing {
		return w.DialFailure
	}
	return 0
}
