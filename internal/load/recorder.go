package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// recorder collects outcomes. It is locked once for each request, not for each
// token.
type recorder struct {
	plan   *workload.Plan
	target latencyTarget

	mu         sync.Mutex
	answers    *tally // requests to models
	services   *tally // calls of plain services
	kinds      []*tally
	workspaces []*tally // requests to models
	timeline   []Moment
	checks     Checks
	orders     orders
	reasons    map[string]int64
	lag        *hdrhistogram.Histogram // actual less intended send time
}

func newRecorder(p *workload.Plan, target latencyTarget) *recorder {
	r := &recorder{
		plan: p, target: target, answers: newTally(), services: newTally(),
		kinds: newTallies(len(p.Mix.Kinds)), workspaces: newTallies(len(p.Workspaces)),
		timeline: make([]Moment, int((p.Duration+time.Second-1)/time.Second)),
		orders:   orders{}, reasons: map[string]int64{}, lag: newHistogram(),
	}
	for i := range r.timeline {
		r.timeline[i].Second = i
	}
	return r
}

// sent records how late a request was sent. This lag is due to the load generator
// or to its bound of concurrent requests, and is part of the measured latencies.
func (r *recorder) sent(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lag, lag)
}

// tallies returns the tallies in which a request counts.
func (r *recorder) tallies(a *workload.Arrival) []*tally {
	if r.plan.Mix.Kinds[a.Kind].Call != nil {
		return []*tally{r.services, r.kinds[a.Kind]}
	}
	return []*tally{r.answers, r.kinds[a.Kind], r.workspaces[a.Workspace]}
}

// completion records the outcome of a request to a model.
func (r *recorder) completion(a *workload.Arrival, intended time.Time, o *caller.Outcome, f findings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addFindings(o, f)
	r.addReasons(o)
	for _, t := range r.tallies(a) {
		t.add(r.target, intended, o, f.intact())
	}
	r.addMoment(a, intended, o, f.intact())
}

// call records the outcome of a call of a plain service.
func (r *recorder) call(a *workload.Arrival, intended time.Time, key string, o *caller.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plan.Mix.Kinds[a.Kind].Call.NonIdempotent {
		r.orders.add(key, o)
	}
	r.addReasons(o)
	r.checks.NoVerdict += countIf(o.NoVerdict)
	for _, t := range r.tallies(a) {
		t.add(r.target, intended, o, true)
	}
}

// unsent records a request that was not sent before the run ended.
func (r *recorder) unsent(a *workload.Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tallies(a) {
		t.unsent()
	}
}

func (r *recorder) addFindings(o *caller.Outcome, f findings) {
	c := &r.checks
	c.DuplicatedTokens += int64(o.Duplicated)
	c.MissingTokens += int64(o.Missing)
	c.Lost += countIf(o.End == caller.Lost)
	c.FailedAccepted += countIf(o.End == caller.Failed)
	c.Open += countIf(o.End == caller.Unfinished && o.Accepted)
	c.WrongLength += countIf(f.wrongLength)
	c.WrongText += countIf(f.wrongText)
	c.NoVerdict += countIf(o.NoVerdict)
}

func (r *recorder) addReasons(o *caller.Outcome) {
	for _, reason := range o.Reasons {
		r.reasons[reason]++
	}
}

func (r *recorder) addMoment(a *workload.Arrival, intended time.Time, o *caller.Outcome, intact bool) {
	m := &r.timeline[min(int(a.At/time.Second), len(r.timeline)-1)]
	m.Offered++
	m.Refused += countIf(o.End == caller.Refused)
	if o.End != caller.Answered {
		return
	}
	first := o.First.Sub(intended)
	m.Answered++
	m.firstTokenSum += first.Seconds() * 1000
	m.FirstTokenMs = m.firstTokenSum / float64(m.Answered)
	m.Within += countIf(intact && r.target.met(first, o))
}

func countIf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
