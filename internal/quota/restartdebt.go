package quota

import "time"

// unreportedTime is the longest time whose spending is in no checkpoint while a limit
// is used up: a report's interval, a relay between hubs, and the pause between two
// early checkpoints.
const unreportedTime = 600 * time.Millisecond

// restartDebt estimates what a fleet admitted unreported before it was killed: as much
// as callers ask for in an equally long time after the restart.
type restartDebt struct {
	until  time.Time // zero: no debt
	share  float64   // of the demand that counts as a debt
	demand float64
}

// newRestartDebt begins an estimate at a restart. share is how much of its demand the
// fleet may have admitted: all of it if much was left of the limit, nothing if the
// limit was being enforced.
func newRestartDebt(now time.Time, share float64) restartDebt {
	if share <= 0 {
		return restartDebt{}
	}
	return restartDebt{until: now.Add(unreportedTime), share: min(share, 1)}
}

// add counts a request's cost, and returns the debt once, on the first request after
// the estimate's time.
func (d *restartDebt) add(now time.Time, cost float64) float64 {
	if now.Before(d.until) {
		d.demand += cost
		return 0
	}
	debt := d.share * d.demand
	*d = restartDebt{}
	return debt
}
