package rollout

import "time"

const (
	// marginPart of the duration is kept before the deadline for the last write and
	// its answer.
	marginPart  = 0.02
	leastMargin = 250 * time.Millisecond
	mostMargin  = 2 * time.Second
	// mostMovingPart of the duration bounds how long requests at the old version get
	// to end, and mostAgain how long those that can be sent again.
	mostMovingPart = 0.35
	mostAgain      = 300 * time.Millisecond
	// prepare is how long before its first route moves a service is said to move:
	// reports come often from then on.
	prepare = 600 * time.Millisecond
	// lateSlack is for requests that take longer than nearly all before them, and for
	// the way of a word and of what follows it.
	lateSlack = 100 * time.Millisecond
	// lastWords is how long what runs at a daemon counts that is not heard any more.
	lastWords = 2 * time.Second
	// rare is the part of the answers that may take longer than the others.
	rare = 0.003
)

// margin is kept before the deadline.
func (d *Decider) margin() time.Duration {
	m := time.Duration(marginPart * float64(d.record.Order.Duration))
	return min(max(m, leastMargin), mostMargin)
}

// stopAt is when the old version's endpoints may be stopped.
func (d *Decider) stopAt() time.Time { return d.record.Deadline().Add(-d.margin()) }

// lead is how long before that a route moves: for as long as its requests take that
// must not be cut off, and for the word's way to all daemons and back.
func (d *Decider) lead(route string) time.Duration {
	longest := d.times[route].longest()
	if d.view.Routes[route] {
		longest = min(longest, mostAgain)
	}
	most := time.Duration(mostMovingPart * float64(d.record.Order.Duration))
	return min(longest+2*d.view.Interval+lateSlack, most)
}

// moveAt is when the first route moves, as late as possible: what the new version
// gets from then on is not bounded.
func (d *Decider) moveAt() time.Time {
	first := d.movedAt("")
	for route := range d.view.Routes {
		if at := d.movedAt(route); at.Before(first) {
			first = at
		}
	}
	return first.Add(-prepare)
}

// movedAt returns when a route has moved, of the empty name a route that is not known.
func (d *Decider) movedAt(route string) time.Time { return d.stopAt().Add(-d.lead(route)) }

// moved reports whether no daemon sends to the old version any more, and nothing
// that must not be sent again runs there, also at daemons that leave.
func (d *Decider) moved(now time.Time) bool {
	if len(d.view.Daemons) == 0 {
		return false
	}
	for _, r := range d.reports {
		if r.running > 0 && now.Sub(r.at) < lastWords {
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

// leftBehind returns the daemons at which something runs that would be lost.
func (d *Decider) leftBehind() []string {
	var out []string
	for _, name := range d.view.Daemons {
		if r := d.reports[name]; r != nil && r.running > 0 {
			out = append(out, name)
		}
	}
	return out
}
