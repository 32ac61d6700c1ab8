package rollout

import "time"

const (
	// marginShare of the duration is kept before the deadline for the last write to the
	// store and its answer.
	marginShare = 0.02
	minMargin   = 250 * time.Millisecond
	maxMargin   = 2 * time.Second
	// maxMovingShare of the duration limits how long requests at the old version get to
	// end, and maxRetryableWait limits it for those that may be sent again.
	maxMovingShare   = 0.35
	maxRetryableWait = 300 * time.Millisecond
	// prepareTime is how long the phase Moving begins before the first route moves:
	// daemons report at short intervals from then on.
	prepareTime = 600 * time.Millisecond
	// lateSlack is added for the requests that exceed the tail time, and for the
	// delivery of the split.
	lateSlack = 100 * time.Millisecond
	// staleReportAge is the age up to which the last report of a daemon that has left
	// counts as still having requests in progress.
	staleReportAge = 2 * time.Second
	// slowShare is the part of a route's answers that may take longer than its tail
	// time.
	slowShare = 0.003
)

// margin is the time kept before the deadline.
func (d *Decider) margin() time.Duration {
	m := time.Duration(marginShare * float64(d.record.Order.Duration))
	return min(max(m, minMargin), maxMargin)
}

// stopAt is when the old version's endpoints may be stopped.
func (d *Decider) stopAt() time.Time { return d.record.Deadline().Add(-d.margin()) }

// leadTime is how long before stopAt a route moves: the time for its requests that must
// not be cut off to end, for the split to reach all daemons and for their reports.
func (d *Decider) leadTime(route string) time.Duration {
	expected := d.oldCounts[route].tailTime()
	if d.view.Routes[route] {
		expected = min(expected, maxRetryableWait)
	}
	limit := time.Duration(maxMovingShare * float64(d.record.Order.Duration))
	return min(expected+2*d.view.ReportInterval+lateSlack, limit)
}

// moveAt is when the phase Moving begins, as late as possible: from then on, the
// requests to the new version are unbounded.
func (d *Decider) moveAt() time.Time {
	first := d.routeMoveAt("")
	for route := range d.view.Routes {
		if at := d.routeMoveAt(route); at.Before(first) {
			first = at
		}
	}
	return first.Add(-prepareTime)
}

// routeMoveAt returns when a route moves; the empty name stands for unknown routes.
func (d *Decider) routeMoveAt(route string) time.Time { return d.stopAt().Add(-d.leadTime(route)) }

// allMoved reports whether no daemon sends requests to the old version any more, and no
// request that must not be sent again runs there, including those of daemons that have
// left lately.
func (d *Decider) allMoved(now time.Time) bool {
	if len(d.view.Daemons) == 0 {
		return false
	}
	for _, r := range d.reports {
		if r.running > 0 && now.Sub(r.at) < staleReportAge {
			return false
		}
	}
	for _, name := range d.view.Daemons {
		if r := d.reports[name]; r == nil || !r.moved || r.running > 0 {
			return false
		}
	}
	return true
}

// daemonsWithRunning returns the daemons with requests in progress at the old version
// that must not be sent again.
func (d *Decider) daemonsWithRunning() []string {
	var out []string
	for _, name := range d.view.Daemons {
		if r := d.reports[name]; r != nil && r.running > 0 {
			out = append(out, name)
		}
	}
	return out
}
