package request

import "time"

// Candidate is a request that a leaving daemon may have to hand over.
type Candidate struct {
	Ref       Ref
	Cost      int           // tokens that would be recomputed without a hand-over
	Remaining time.Duration // estimate until its answer is whole
}
