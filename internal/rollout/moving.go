package rollout

import "time"

const (
	// marginShare of the duration is kept before the deadline for the last write and
	// its answer.
	marginShare = 0.02
	minMargin   = 250 * time.Millisecond
	maxMargin   = 2 * time.Second
	// maxMovingShare of the duration bounds how long requests at the old version get
	// to end, and mostAgain how long those that can be sent again.
	maxMovingShare   = 0.35
	maxRetryableWait = 300 * time.Millisecond
	// prepareTime is how long before its first route moves a service is said to move:
	// reports come often from then on.
	prepareTime = 600 * time.Millisecond
	// lateSlack is for requests that take longer than nearly all before them, and for
	// the way of a word and of what follows it.
	lateSlack = 100 * time.Millisecond
	// staleReportAge is how long what runs at a daemon counts that is not heard any more.
	staleReportAge = 2 * time.Second
	// slowShare is the part of the answers that may take longer than the others.
	slowShare = 0.003
)

// margin is kept before the deadline.
func (d *Decider) margin() time.Duration {
	m := time.Duration(marginShare * float64(d.record.Order.Duration))
	return min(max(m, minMargin), maxMargin)
}

// stopAt is when the old version's endpoints may be stopped.
func (d *Decider) stopAt() time.Time { return d.record.Deadline().Add(-d.margin()) }

// leadTime is how long before that a route moves: for as long as its requests take that
// must not be cut off, and for the word's way to all daemons and back.
func (d *Decider) leadTime(route string) time.Duration {
	expected := d.oldTimes[route].tailTime()
	if d.view.Routes[route] {
		expected = min(expected, maxRetryableWait)
	}
	limit := time.Duration(maxMovingShare * float64(d.record.Order.Duration))
	return min(expected+2*d.view.ReportInterval+lateSlack, limit)
}

// moveAt is when the first route moves, as late as possible: what the new version
// gets from then on is not bounded.
func (d *Decider) moveAt() time.Time {
	first := d.routeMoveAt("")
	for route := range d.view.Routes {
		if at := d.routeMoveAt(route); at.Before(first) {
			first = at
		}
	}
	return first.Add(-prepareTime)
}

// routeMoveAt returns when a route has moved, of the empty name a route that is not known.
func (d *Decider) routeMoveAt(route string) time.Time { return d.stopAt().Add(-d.leadTime(route)) }

// allMoved reports whether no daemon sends to the old version any more, and nothing
// that must not be sent again runs there, also at daemons that leave.
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

// daemonsWithRunning returns the daemons at which something runs that would be lost.
func (d *Decider) daemonsWithRunning() []string {
	var out []string
	for _, name := range d.view.Daemons {
		if r := d.reports[name]; r != nil && r.running > 0 {
			out = append(out, name)
		}
	}
	return out
}
