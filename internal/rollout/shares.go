package rollout

import (
	"math"
	"time"
)

const (
	// trialExposureShare is the part of the bound on requests to a bad version that a trial may
	// use up: the rest is for what is under way, and for the end of the roll-out.
	trialExposureShare = 0.5
	// maxWarmUp is how long the old version's answers are gathered at first.
	maxWarmUp = 2 * time.Second
	// rotationTime is how long the same endpoints are tried.
	rotationTime = 1500 * time.Millisecond
)

// share returns the new version's share of the requests, and of each route's where it
// differs. There is none until it is known how many requests come: of a few half would
// be tried.
func (d *Decider) share(now time.Time) (share float64, routes map[string]float64) {
	switch d.record.Phase {
	case Completed:
		return 1, nil
	case RolledBack:
		return 0, nil
	}
	if d.view.New == 0 || d.record.Phase == Trial && (d.rateRequests == 0 || d.exposureUsedUp() || d.warmingUp(now)) {
		return 0, nil
	}
	trial := d.moveAt().Sub(d.record.Started)
	part := now.Sub(d.record.Started).Seconds() / max(trial.Seconds(), 0.001)
	share = plannedShare(part, d.rate, trial)
	routes = map[string]float64{}
	all := d.record.Phase == Moving && !now.Before(d.routeMoveAt(""))
	for route := range d.view.Routes {
		hasMoved := d.record.Phase == Moving && !now.Before(d.routeMoveAt(route))
		all = all && hasMoved
		routes[route] = min(share*d.boost(route), maxTrialShare)
		if hasMoved {
			routes[route] = 1
		}
	}
	if all {
		return 1, nil
	}
	return share, routes
}

// warmingUp reports whether the old version's answers are still gathered. Failure: the
// first answers that come in are the fast ones. Symptom: the old version seems to be
// faster than it is, and a good new one is rolled back for its slow answers.
func (d *Decider) warmingUp(now time.Time) bool {
	return now.Sub(d.record.Started) < min(maxWarmUp, d.record.Order.Duration/10)
}

// exposureUsedUp reports whether a trial has used up what it may.
func (d *Decider) exposureUsedUp() bool {
	return float64(d.record.Exposed) >= trialExposureShare*(d.bounds.Share*float64(d.record.Asked)+d.bounds.Slack)
}

// boost returns how many times the share a route gets that is asked for seldom: one
// that is bad alone must be found as well.
func (d *Decider) boost(route string) float64 {
	all, routes := 0, 0
	for name := range d.view.Routes {
		if c := d.oldTimes[name]; c != nil {
			all += c.answers()
			routes++
		}
	}
	c := d.oldTimes[route]
	if c == nil || all == 0 {
		return 1
	}
	mean := float64(all) / float64(routes)
	return min(max(mean/float64(max(c.answers(), 1)), 1), maxBoost)
}

// Split returns what all daemons are to do.
func (d *Decider) Split(now time.Time) Split {
	s := Split{
		Service: d.record.Order.Service, Key: d.record.Key(), Phase: d.record.Phase, Share: d.record.Share,
		Routes: d.routeShares, Rotation: uint64(now.UnixNano() / int64(rotationTime)),
	}
	s.Spread = max(int(s.Share*float64(max(d.view.Old, d.view.New))+0.999), minSpread)
	if s.Phase >= Moving {
		s.Spread = math.MaxInt32 // all
	}
	return s
}

const (
	// minSpread is how many endpoints of the new version are tried at once: one
	// that is broken must not stand for its version.
	minSpread = 4
	maxBoost  = 5
)
