package estimate

// Request is the work that a request adds to an engine.
type Request struct {
	Uncached int     // prompt tokens to compute
	Decode   float64 // expected seconds from the first token to the last
}

// FirstToken predicts the seconds until the engine produces the request's first
// token: the wait for a slot and for the prompts ahead, then its own prefill.
func (v View) FirstToken(r Request) float64 {
	return v.Wait(r.Decode) + float64(r.Uncached)/v.PrefillRate + v.TokenSeconds
}

// Wait predicts the seconds until the engine starts on a new prompt, when requests
// take decode seconds each.
func (v View) Wait(decode float64) float64 {
	wait := v.WaitingTokens / v.PrefillRate
	if excess := v.Requests + 1 - v.Slots; excess > 0 {
		// Slots are freed at a rate of v.Slots per decode time.
		wait += excess * decode / v.Slots
	}
	return wait
}
