package request

import "time"

// Spec is the part of a request that its Lifecycle depends on.
type Spec struct {
	Ref           Ref
	NonIdempotent bool
	Deadline      time.Time // for the complete answer
	PromptTokens  int
}
