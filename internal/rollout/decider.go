package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// wrongly is about the probability that a good version is found to be bad. Each of
	// its answers is one more occasion for chance.
	wrongly = 0.001
	// leastBad is how many bad answers that takes at least.
	leastBad = 3
	// capPart is the part of the bound on requests to a bad version that a trial may
	// use up: the rest is for what is under way, and for the end of the roll-out.
	capPart = 0.5
	// marginPart of the duration is kept before the deadline for the last write and
	// its answer.
	marginPart  = 0.02
	leastMargin = 250 * time.Millisecond
	mostMargin  = 2 * time.Second
	// mostWarming is how long the old version's answers are gathered at first.
	mostWarming = 2 * time.Second
	// turnTime is how long the same endpoints are tried.
	turnTime = 1500 * time.Millisecond
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
	// rateTime is the time constant of the rate of requests.
	rateTime = 2 * time.Second
)

// View is what the decider sees of a service besides the reports.
type View struct {
	Old, New int // endpoints that take requests, by version
	// Routes lead to the service; those that are true may be sent again at another
	// endpoint when the old version's are stopped.
	Routes map[string]bool
	// Daemons serve, and report at an interval while a service moves.
	Daemons  []string
	Interval time.Duration
}

// Decider decides one roll-out. It is not safe for concurrent use.
type Decider struct {
	bounds   Bounds
	record   Record
	evidence *evidence
	reports  map[string]*lastReport // by daemon
	asked    int                    // heard from them
	exposed  int
	floor    Record // what a decider before this one knew
	rate     float64
	rateAt   time.Time
	rateOf   int
	times    map[string]*Counts // the old version's answer times, by route
	routes   map[string]float64
	view     View
}

// lastReport is a daemon's last report.
type lastReport struct {
	asked, exposed, running int
	moved                   bool
	at                      time.Time
	rows                    map[place]Counts
}

// NewDecider returns the decider of an order, or of what a decider before had recorded.
func NewDecider(bounds Bounds, r Record) *Decider {
	return &Decider{
		bounds: bounds, record: r, floor: r, evidence: newEvidence(), reports: map[string]*lastReport{}, rateAt: r.Started,
		times: map[string]*Counts{},
	}
}

// Record returns what must last.
func (d *Decider) Record() Record { return d.record }

// Hear takes a daemon's report.
func (d *Decider) Hear(now time.Time, daemon string, r *Report) {
	if r.Key != d.record.Key() || d.record.Phase.Final() {
		return
	}
	last := d.reports[daemon]
	if last == nil {
		last = &lastReport{rows: map[place]Counts{}}
		d.reports[daemon] = last
	}
	d.asked += max(r.Asked-last.asked, 0)
	d.exposed += max(r.Exposed-last.exposed, 0)
	last.asked, last.exposed = max(r.Asked, last.asked), max(r.Exposed, last.exposed)
	last.running, last.moved, last.at = r.Running, r.Moved, now
	d.hearRows(now, last, r.Rows)
}

// hearRows takes a report's answers, those of the old version first.
func (d *Decider) hearRows(now time.Time, last *lastReport, rows []Row) {
	for _, fromOld := range [...]bool{true, false} {
		for i := range rows {
			row := &rows[i]
			if (row.Endpoint == "") != fromOld {
				continue
			}
			p := place{row.Route, row.Endpoint}
			before := last.rows[p]
			gained := row.Counts.minus(&before)
			last.rows[p] = row.Counts
			d.add(now, row, &gained)
		}
	}
}

func (d *Decider) add(now time.Time, row *Row, gained *Counts) {
	if gained.answers() == 0 {
		return
	}
	if row.Endpoint == "" {
		if d.times[row.Route] == nil {
			d.times[row.Route] = &Counts{}
		}
		d.times[row.Route].plus(gained)
		d.evidence.addOld(now, row.Route, *gained)
		return
	}
	d.evidence.addNew(now, row.Route, row.Endpoint, *gained)
}

// Reorder takes an order with the same target and another duration.
func (d *Decider) Reorder(o Order) { d.record.Order = o }

// Settle takes a final phase that the store has.
func (d *Decider) Settle(p Phase) {
	d.record.Phase = p
	d.record.Share, d.routes = d.share(d.record.Ended)
}

// forgetGone drops what is held of daemons that have gone; what they counted stays.
func (d *Decider) forgetGone() {
	if len(d.reports) <= 2*len(d.view.Daemons)+16 {
		return
	}
	for name := range d.reports {
		if !slices.Contains(d.view.Daemons, name) {
			delete(d.reports, name)
		}
	}
}

// Step decides at now, and returns whether the phase changed. The time is the
// fleet's.
func (d *Decider) Step(now time.Time, v View) bool {
	d.view = v
	if d.record.Phase.Final() {
		return false
	}
	d.forgetGone()
	d.count(now)
	before := d.record.Phase
	switch {
	case d.bad():
		d.end(now, RolledBack, d.why())
	case before == Trial && !now.Before(d.record.Deadline()):
		d.end(now, RolledBack, "the deadline passed before the new version was tried")
	case before == Trial && !now.Before(d.moveAt()) && v.New > 0:
		d.record.Phase = Moving
	case before == Moving && (d.moved(now) || !now.Before(d.record.Deadline().Add(-leastMargin/3)) && len(d.leftBehind()) == 0):
		d.end(now, Completed, "no bad answers beyond the old version's")
	}
	d.record.Share, d.routes = d.share(now)
	return d.record.Phase != before
}

func (d *Decider) end(now time.Time, p Phase, reason string) {
	d.record.Phase, d.record.Reason, d.record.Ended = p, reason, now
}

// count takes what was heard into the record.
func (d *Decider) count(now time.Time) {
	r := &d.record
	r.Asked, r.Exposed = max(d.asked, d.floor.Asked), max(d.exposed, d.floor.Exposed)
	r.Answers, r.Bad = 0, 0
	for i := range d.evidence.all {
		r.Answers++
		if d.evidence.all[i].bad {
			r.Bad++
		}
	}
	r.Chance, r.Route = d.evidence.worst(d.view.New == 1)
	if since := now.Sub(d.rateAt); since >= rateTime/4 {
		weight := min(since.Seconds()/rateTime.Seconds(), 1)
		if d.rateOf == 0 {
			weight = 1
		}
		d.rate += (float64(d.asked-d.rateOf)/since.Seconds() - d.rate) * weight
		d.rateAt, d.rateOf = now, d.asked
	}
}

// bad reports whether the new version is found to be bad.
func (d *Decider) bad() bool {
	return d.record.Bad >= leastBad && d.record.Chance < wrongly/float64(max(d.record.Answers, 10))
}

func (d *Decider) why() string {
	where := "over all routes"
	if d.record.Route != "" {
		where = fmt.Sprintf("on route %q", d.record.Route)
	}
	return fmt.Sprintf("%d of the new version's last %d answers were bad; the old version's rate explains that %s with a probability of %.2g",
		d.record.Bad, d.record.Answers, where, d.record.Chance)
}

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

// share returns the new version's share of the requests, and of each route's where it
// differs.
func (d *Decider) share(now time.Time) (share float64, routes map[string]float64) {
	switch d.record.Phase {
	case Completed:
		return 1, nil
	case RolledBack:
		return 0, nil
	}
	if d.view.New == 0 || d.record.Phase == Trial && (d.capped() || d.warming(now)) {
		return 0, nil
	}
	trial := d.moveAt().Sub(d.record.Started)
	part := now.Sub(d.record.Started).Seconds() / max(trial.Seconds(), 0.001)
	share = planned(part, d.rate, trial)
	routes = map[string]float64{}
	all := d.record.Phase == Moving && !now.Before(d.movedAt(""))
	for route := range d.view.Routes {
		moved := d.record.Phase == Moving && !now.Before(d.movedAt(route))
		all = all && moved
		routes[route] = min(share*d.boost(route), mostShare)
		if moved {
			routes[route] = 1
		}
	}
	if all {
		return 1, nil
	}
	return share, routes
}

// warming reports whether the old version's answers are still gathered. Failure: the
// first answers that come in are the fast ones. Symptom: the old version seems to be
// faster than it is, and a good new one is rolled back for its slow answers.
func (d *Decider) warming(now time.Time) bool {
	return now.Sub(d.record.Started) < min(mostWarming, d.record.Order.Duration/10)
}

// capped reports whether a trial has used up what it may.
func (d *Decider) capped() bool {
	return float64(d.record.Exposed) >= capPart*(d.bounds.Share*float64(d.record.Asked)+d.bounds.Slack)
}

// boost returns how many times the share a route gets that is asked for seldom: one
// that is bad alone must be found as well.
func (d *Decider) boost(route string) float64 {
	all, routes := 0, 0
	for name := range d.view.Routes {
		if c := d.times[name]; c != nil {
			all += c.answers()
			routes++
		}
	}
	c := d.times[route]
	if c == nil || all == 0 {
		return 1
	}
	mean := float64(all) / float64(routes)
	return min(max(mean/float64(max(c.answers(), 1)), 1), mostBoost)
}

// Word returns what all daemons are to do.
func (d *Decider) Word(now time.Time) Word {
	w := Word{
		Service: d.record.Order.Service, Key: d.record.Key(), Phase: d.record.Phase, Share: d.record.Share,
		Routes: d.routes, Turn: uint64(now.UnixNano() / int64(turnTime)),
	}
	w.Spread = max(int(w.Share*float64(max(d.view.Old, d.view.New))+0.999), leastSpread)
	if w.Phase >= Moving {
		w.Spread = math.MaxInt32 // all
	}
	return w
}

const (
	// leastSpread is how many endpoints of the new version are tried at once: one
	// that is broken must not stand for its version.
	leastSpread = 4
	mostBoost   = 5
)
