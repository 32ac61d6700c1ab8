package estimate

// Request is what a request adds to an engine.
type Request struct {
	Uncached int     // prompt tokens to compute
	Answer   float64 // seconds that an answer takes after its first token
}

// FirstToken foretells the seconds until an engine in the given state would
// produce the first token: the wait for a place, the prompts ahead, its own.
func (v View) FirstToken(r Request) float64 {
	return v.Wait(r.Answer) + float64(r.Uncached)/v.Prefill + v.TokenSeconds
}

// Wait foretells the seconds before the engine starts on the prompt.
func (v View) Wait(answer float64) float64 {
	wait := v.WaitingTokens / v.Prefill
	if excess := v.Requests + 1 - v.Slots; excess > 0 {
		// Places come free at slots per answer time.
		wait += excess * answer / v.Slots
	}
	return wait
}
