// Package scorer computes the cost of serving a request at a candidate engine.
// Each scorer expresses one drawback as a cost in prompt tokens: the amount of
// prefill that is as bad as the drawback. The candidate with the least sum wins.
package scorer

// Weights are the factors of the scorers, in tokens unless stated otherwise. A
// higher Recompute favours prefix affinity over the other scorers.
type Weights struct {
	Recompute    float64 // for each prompt token to compute
	AgreedCached float64 // fraction of the uncached tokens assumed to be cached at the agreed engine
	Wait         float64 // for each second to the first token
	Load         float64 // for an engine at its limit
	Price        float64 // for each token of the request, at a saving of 100%
	DialFailure  float64 // for an endpoint whose latest new connection failed
}

// Input describes one candidate for one request.
type Input struct {
	FirstToken   float64 // predicted, in seconds, round trip included
	Target       float64 // for FirstToken, in seconds
	Uncached     float64 // predicted prompt tokens to compute
	MaxTokens    int     // bound on the answer's length
	Utilisation  float64 // used fraction of the engine's limit, this request included
	Saving       float64 // fraction by which a token is cheaper than at the most expensive engine of the set
	Agreed       bool    // the rendezvous choice on which all daemons agree
	DialsFailing bool    // the latest new connection failed
}

// Cost returns the sum of all scorers in tokens. It may be negative.
func Cost(w *Weights, in *Input) float64 {
	return recompute(w, in) + wait(w, in) + load(w, in) + price(w, in) + dialFailure(w, in)
}

// recompute is the prefix affinity: the cost of the prompt tokens that are not
// cached. At the agreed engine it is lower by AgreedCached, since other daemons
// sent prompts there that no cache event has reported yet.
func recompute(w *Weights, in *Input) float64 {
	uncached := in.Uncached
	if in.Agreed {
		uncached *= 1 - w.AgreedCached
	}
	return w.Recompute * uncached
}

// wait is the cost of queueing, prefill and round trip. The target bounds it:
// if all engines are late, preferring a shorter queue would only add recomputed
// tokens to the load.
func wait(w *Weights, in *Input) float64 {
	return w.Wait * min(in.FirstToken, in.Target)
}

// load keeps an engine's batch below the size at which the time between tokens
// exceeds its target for all answers. It grows with the square of the
// utilisation, so that it seldom moves a conversation away from a lightly loaded
// engine, and is bounded at the limit for the same reason as wait.
func load(w *Weights, in *Input) float64 {
	utilisation := min(in.Utilisation, 1)
	return w.Load * utilisation * utilisation
}

// price prefers the engine whose tokens are cheaper. The preference falls to
// zero at half of the engine's limit; with more of it, the cheap engines would
// fill up and miss the latency targets.
func price(w *Weights, in *Input) float64 {
	room := max(0, 1-2*in.Utilisation)
	return -w.Price * in.Saving * room * (in.Uncached + float64(in.MaxTokens))
}

// dialFailure avoids an endpoint whose latest new connection failed.
func dialFailure(w *Weights, in *Input) float64 {
	if in.DialsFailing {
		return w.DialFailure
	}
	return 0
}
