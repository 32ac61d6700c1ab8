package estimate

// Request is what a request adds to an engine.
type Request struct {
	Uncached int     // prompt tokens to compute
	Decode   float64 // seconds that an answer takes after its first token
}

// FirstToken foretells the seconds until an engine in the given state would
// produce the first token: the wait for a place, the prompts ahead, its own.
func (v View) FirstToken(r Request) float64 {
	return v.Wait(r.Decode) + float64(r.Uncached)/v.PrefillRate + v.TokenSeconds
}

// Wait foretells the seconds before the engine starts on the prompt.
func (v View) Wait(decode float64) float64 {
	wait := v.WaitingTokens / v.PrefillRate
	if excess := v.Requests + 1 - v.Slots; excess > 0 {
		// Places come free at slots per answer time.
		wait += excess * decode / v.Slots
	}
	return wait
}
