package rollout

import (
	"fmt"
	"slices"
	"time"
)

const (
	// wrongly is about the probability that a good version is found to be bad. Each of
	// its answers is one more occasion for chance.
	wrongly = 0.001
	// leastBad is how many bad answers that takes at least.
	leastBad = 3
	// rateTime is the time constant of the rate of requests.
	rateTime = 2 * time.Second
)

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
