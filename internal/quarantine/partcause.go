package quarantine

import "time"

// partCause is a part that crashes the endpoints that begin to write a response on it.
type partCause struct {
	// with are the parts that are left over in each prompt that has the part, itself included: what
	// crashes endpoints may be any of them, or all together.
	with          []Key
	crashes       int
	first, newest time.Time
	gap           time.Duration // between the last two crashes
	// narrowed says that other parts with the same scope were excluded, so that evidence about
	// this one would have arrived too.
	narrowed bool
}

// minTrialWait is the shortest time from the newest crash under a part to its trial, where no
// evidence about other parts has arrived, and trialBackoff the factor by which it grows with each
// crash: endpoints that are all down serve nothing that could exclude a part.
const (
	minTrialWait = 3 * time.Second
	trialBackoff = 4
)

// trialAt returns when a part may be tried.
func (c *partCause) trialAt() time.Time {
	if c.narrowed {
		return c.newest.Add(retention)
	}
	return c.newest.Add(min(max(minTrialWait, trialBackoff*c.gap), retention))
}
