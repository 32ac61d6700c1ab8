package quota

import "time"

// unreported is the longest time for which a fleet's spending is in nothing that was
// kept: a report's interval, a relay between hubs, and the pause between two writes of
// a limit that falls.
const unreported = 600 * time.Millisecond

// presumed is what a fleet that was killed is taken to have let in unreported: as much
// as callers ask for in as long a time after the start.
type presumed struct {
	until time.Time // zero: nothing is presumed
	share float64   // of what is asked for until then
	asked float64
}

// presume begins at a start. share is how much of its demand the fleet may have let in:
// all of it where much was left of the limit, nothing where the limit was in force.
func presume(now time.Time, share float64) presumed {
	if share <= 0 {
		return presumed{}
	}
	return presumed{until: now.Add(unreported), share: min(share, 1)}
}

// ask counts a request of a cost, and returns the debt once it is due.
func (p *presumed) ask(now time.Time, cost float64) float64 {
	if now.Before(p.until) {
		p.asked += cost
		return 0
	}
	debt := p.share * p.asked
	*p = presumed{}
	return debt
}
