package request

import "time"

// Candidate is a request that a daemon may have to hand over before it shuts
// down.
type Candidate struct {
	Ref       Ref
	Cost      int           // tokens that would be recomputed without a hand-over
	Remaining time.Duration // estimated time until its answer is complete
}
