package rollout

import (
	"math"
	"time"
)

const (
	// trialExposureShare is the part of the bound on requests to a bad version that a
	// trial may use up. The rest is for requests sent before daemons receive a new
	// split, and for the end of the roll-out.
	trialExposureShare = 0.5
	// maxWarmUp limits the time at the start in which only answers of the old version are
	// gathered.
	maxWarmUp = 2 * time.Second
	// rotationTime is how long the same endpoints of the new version get requests.
	rotationTime = 1500 * time.Millisecond
)

// share returns the new version's share of the requests, and the shares of routes with
// their own. It is zero until the rate of requests has been measured: with few requests,
// the trial would take up to half of them.
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

// warmingUp reports whether only answers of the old version are gathered yet. The first
// answers to arrive are the fast ones: without the wait, the old version would seem
// faster than it is, and a good new one would be rolled back as slow.
func (d *Decider) warmingUp(now time.Time) bool {
	return now.Sub(d.record.Started) < min(maxWarmUp, d.record.Order.Duration/10)
}

// exposureUsedUp reports whether the new version got as many requests as a trial may
// send to it.
func (d *Decider) exposureUsedUp() bool {
	return float64(d.record.Exposed) >= trialExposureShare*(d.bounds.Share*float64(d.record.Asked)+d.bounds.Slack)
}

// boost returns the factor on the share of a route: above 1 for a route with fewer
// answers than the mean, so that a version that is bad on this route alone is detected.
func (d *Decider) boost(route string) float64 {
	all, routes := 0, 0
	for name := range d.view.Routes {
		if c := d.oldCounts[name]; c != nil {
			all += c.answers()
			routes++
		}
	}
	c := d.oldCounts[route]
	if c == nil || all == 0 {
		return 1
	}
	mean := float64(all) / float64(routes)
	return min(max(mean/float64(max(c.answers(), 1)), 1), maxBoost)
}

// Split returns the split for all daemons.
func (d *Decider) Split(now time.Time) Split {
	s := Split{
		Service: d.record.Order.Service, Key: d.record.Key(), Phase: d.record.Phase, Share: d.record.Share,
		Routes: d.routeShares, Rotation: uint64(now.UnixNano() / int64(rotationTime)),
	}
	s.Spread = max(int(s.Share*float64(max(d.view.Old, d.view.New))+0.999), minSpread)
	if s.Phase >= Moving {
		s.Spread = math.MaxInt32 // all endpoints
	}
	return s
}

const (
	// minSpread is how many endpoints of the new version get requests at least, so that
	// one broken endpoint isn't taken for a bad version.
	minSpread = 4
	maxBoost  = 5
)
