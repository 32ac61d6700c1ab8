package request

import "time"

// Spec is what a Life must know of its request.
type Spec struct {
	Ref           Ref
	NonIdempotent bool
	Deadline      time.Time // the answer must be whole by then
	PromptTokens  int
}
