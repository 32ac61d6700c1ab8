package rollout

import (
	"fmt"
	"slices"
	"time"
)

const (
	// falsePositiveRate is the approximate probability that a good version is found to be
	// bad. It is divided by the number of answers, as each one repeats the test.
	falsePositiveRate = 0.001
	// minBad is the minimum of bad answers for a bad version.
	minBad = 3
	// rateTimeConstant is the time constant of the smoothed rate of requests.
	rateTimeConstant = 2 * time.Second
)

// Decider decides one roll-out. It is not safe for concurrent use.
type Decider struct {
	bounds       Bounds
	record       Record
	evidence     *evidence
	reports      map[string]*lastReport // by daemon
	asked        int                    // requests in all reports
	exposed      int
	restored     Record             // the record to start from, of an earlier decider
	rate         float64            // requests a second, smoothed
	rateAt       time.Time          // when rate was last updated
	rateRequests int                // value of asked at that time
	oldCounts    map[string]*Counts // the old version's answers, by route
	routeShares  map[string]float64
	view         View
}

// lastReport is the last report of a daemon.
type lastReport struct {
	asked, exposed, running int
	moved                   bool
	at                      time.Time
	rows                    map[rowKey]Counts
}

// NewDecider returns a decider for a new order, or for one with the record of an earlier
// decider.
func NewDecider(bounds Bounds, r Record) *Decider {
	return &Decider{
		bounds: bounds, record: r, restored: r, evidence: newEvidence(), reports: map[string]*lastReport{}, rateAt: r.Started,
		oldCounts: map[string]*Counts{},
	}
}

// Record returns the state to persist.
func (d *Decider) Record() Record { return d.record }

// AddReport takes a daemon's report. It ignores those of another roll-out, and all once
// the phase is final.
func (d *Decider) AddReport(now time.Time, daemon string, r *Report) {
	if r.Key != d.record.Key() || d.record.Phase.Final() {
		return
	}
	last := d.reports[daemon]
	if last == nil {
		last = &lastReport{rows: map[rowKey]Counts{}}
		d.reports[daemon] = last
	}
	d.asked += max(r.Asked-last.asked, 0)
	d.exposed += max(r.Exposed-last.exposed, 0)
	last.asked, last.exposed = max(r.Asked, last.asked), max(r.Exposed, last.exposed)
	last.running, last.moved, last.at = r.Running, r.Moved, now
	d.addRows(now, last, r.Rows)
}

// addRows adds the answers since the daemon's last report, those of the old version first.
func (d *Decider) addRows(now time.Time, last *lastReport, rows []Row) {
	for _, fromOld := range [...]bool{true, false} {
		for i := range rows {
			row := &rows[i]
			if (row.Endpoint == "") != fromOld {
				continue
			}
			p := rowKey{row.Route, row.Endpoint}
			before := last.rows[p]
			gained := row.Counts.minus(&before)
			last.rows[p] = row.Counts
			d.addRow(now, row, &gained)
		}
	}
}

func (d *Decider) addRow(now time.Time, row *Row, gained *Counts) {
	if gained.answers() == 0 {
		return
	}
	if row.Endpoint == "" {
		if d.oldCounts[row.Route] == nil {
			d.oldCounts[row.Route] = &Counts{}
		}
		d.oldCounts[row.Route].plus(gained)
		d.evidence.addOld(now, row.Route, *gained)
		return
	}
	d.evidence.addNew(now, row.Route, row.Endpoint, *gained)
}

// SetOrder replaces the order by one with the same target and another duration.
func (d *Decider) SetOrder(o Order) { d.record.Order = o }

// SetFinal takes over a final phase from the store.
func (d *Decider) SetFinal(p Phase) {
	d.record.Phase = p
	d.record.Share, d.routeShares = d.share(d.record.Ended)
}

// pruneReports drops the last reports of daemons that have left; their counts stay.
func (d *Decider) pruneReports() {
	if len(d.reports) <= 2*len(d.view.Daemons)+16 {
		return
	}
	for name := range d.reports {
		if !slices.Contains(d.view.Daemons, name) {
			delete(d.reports, name)
		}
	}
}

// Step decides at now, the fleet's time, and returns whether the phase has changed.
func (d *Decider) Step(now time.Time, v View) bool {
	d.view = v
	if d.record.Phase.Final() {
		return false
	}
	d.pruneReports()
	d.updateRecord(now)
	before := d.record.Phase
	switch {
	case d.newIsBad():
		d.end(now, RolledBack, d.badReason())
	case before == Trial && !now.Before(d.record.Deadline()):
		d.end(now, RolledBack, "the deadline passed before the new version was tried")
	case before == Trial && !now.Before(d.moveAt()) && v.New > 0:
		d.record.Phase = Moving
	case before == Moving && (d.allMoved(now) || !now.Before(d.record.Deadline().Add(-minMargin/3)) && len(d.daemonsWithRunning()) == 0):
		// Shortly before the deadline, only requests in progress prevent the completion.
		d.end(now, Completed, "no bad answers beyond the old version's")
	}
	d.record.Share, d.routeShares = d.share(now)
	return d.record.Phase != before
}

func (d *Decider) end(now time.Time, p Phase, reason string) {
	d.record.Phase, d.record.Reason, d.record.Ended = p, reason, now
}

// updateRecord updates the record and the rate of requests from the reports.
func (d *Decider) updateRecord(now time.Time) {
	r := &d.record
	r.Asked, r.Exposed = max(d.asked, d.restored.Asked), max(d.exposed, d.restored.Exposed)
	r.Answers, r.Bad = 0, 0
	for i := range d.evidence.all {
		r.Answers++
		if d.evidence.all[i].bad {
			r.Bad++
		}
	}
	r.Chance, r.Route = d.evidence.lowestPValue(d.view.New == 1)
	if since := now.Sub(d.rateAt); since >= rateTimeConstant/4 {
		weight := min(since.Seconds()/rateTimeConstant.Seconds(), 1)
		if d.rateRequests == 0 {
			weight = 1
		}
		d.rate += (float64(d.asked-d.rateRequests)/since.Seconds() - d.rate) * weight
		d.rateAt, d.rateRequests = now, d.asked
	}
}

// newIsBad reports whether the new version is found to be bad.
func (d *Decider) newIsBad() bool {
	return d.record.Bad >= minBad && d.record.Chance < falsePositiveRate/float64(max(d.record.Answers, 10))
}

func (d *Decider) badReason() string {
	where := "over all routes"
	if d.record.Route != "" {
		where = fmt.Sprintf("on route %q", d.record.Route)
	}
	return fmt.Sprintf("%d of the new version's last %d answers were bad; the old version's rate explains that %s with a probability of %.2g",
		d.record.Bad, d.record.Answers, where, d.record.Chance)
}
