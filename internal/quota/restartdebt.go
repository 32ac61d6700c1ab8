package quota

import "time"

// unreportedTime is the longest time for which a fleet's spending is in nothing that was
// kept: a report's interval, a relay between hubs, and the pause between two writes of
// a limit that falls.
const unreportedTime = 600 * time.Millisecond

// restartDebt is what a fleet that was killed is taken to have let in unreported: as much
// as callers ask for in as long a time after the start.
type restartDebt struct {
	until time.Time // zero: nothing is presumed
	share float64   // of what is asked for until then
	demand float64
}

// newRestartDebt begins at a start. share is how much of its demand the fleet may have let in:
// all of it where much was left of the limit, nothing where the limit was in force.
func newRestartDebt(now time.Time, share float64) restartDebt {
	if share <= 0 {
		return restartDebt{}
	}
	return restartDebt{until: now.Add(unreportedTime), share: min(share, 1)}
}

// add counts a request of a cost, and returns the debt once it is due.
func (p *restartDebt) add(now time.Time, cost float64) float64 {
	if now.Before(p.until) {
		p.demand += cost
		return 0
	}
	debt := p.share * p.demand
	*p = restartDebt{}
	return debt
}
