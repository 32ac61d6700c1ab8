package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

var start = time.Unix(1000, 0)

const endpoint = 7

func valid(perSecond float64) Limit { return Limit{Presence: Valid, PerSecond: perSecond} }

func (t *Table) inForce() (perSecond float64, ok bool) {
	t.InForce(func(s *Statement) { perSecond, ok = s.PerSecond, true })
	return perSecond, ok
}

// Guards against an answer from before a limit that is taken for its end.
func TestLimitEndsOnlyByALaterRequest(t *testing.T) {
	table := NewTable(1)
	assert.Assert(t, table.Observe(start, start.Add(-time.Second), endpoint, time.Time{}, valid(2)))
	assert.Assert(t, !table.Observe(start.Add(time.Second), start.Add(-time.Second), endpoint, time.Time{}, Limit{}))
	_, ok := table.inForce()
	assert.Assert(t, ok)
	assert.Assert(t, table.Observe(start.Add(time.Second), start.Add(time.Millisecond), endpoint, time.Time{}, Limit{}))
	_, ok = table.inForce()
	assert.Assert(t, !ok)
}

// Guards against a value that can't be read and ends the limit, or replaces it.
func TestInvalidLimitKeepsTheEarlierOne(t *testing.T) {
	table := NewTable(1)
	assert.Assert(t, !table.Observe(start, start, endpoint, time.Time{}, Limit{Presence: Invalid}))
	table.Observe(start, start, endpoint, time.Time{}, valid(2))
	assert.Assert(t, !table.Observe(start.Add(time.Second), start.Add(time.Second), endpoint, time.Time{}, Limit{Presence: Invalid}))
	got, ok := table.inForce()
	assert.Assert(t, ok && got == 2)
	assert.Assert(t, table.Observe(start.Add(time.Second), start.Add(time.Second), endpoint, time.Time{}, valid(0)))
	got, ok = table.inForce()
	assert.Assert(t, ok && got == 0)
}

// Guards against an older statement of another daemon that takes the place of a newer one.
func TestNewestStatementWins(t *testing.T) {
	a, b := NewTable(1), NewTable(2)
	a.Observe(start, start, endpoint, time.Time{}, valid(2))
	stale, _ := a.Since(Position{})
	a.Observe(start.Add(time.Second), start.Add(time.Millisecond), endpoint, time.Time{}, Limit{})
	ended, position := a.Since(Position{})
	assert.Assert(t, b.Merge(ended))
	assert.Assert(t, !b.Merge(stale))
	_, ok := b.inForce()
	assert.Assert(t, !ok)
	a.Observe(start.Add(2*time.Second), start.Add(time.Second), endpoint, time.Time{}, valid(0.5))
	again, _ := a.Since(position)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, b.Merge(again))
	got, ok := b.inForce()
	assert.Assert(t, ok && got == 0.5)
}

// Guards against a statement that two daemons pass to and fro for ever.
func TestRepeatedStatementIsNotPassedOnAgain(t *testing.T) {
	a, b := NewTable(1), NewTable(2)
	a.Observe(start, start, endpoint, time.Time{}, valid(2))
	all, _ := a.Since(Position{})
	b.Merge(all)
	_, position := b.Since(Position{})
	all[0].At = all[0].At.Add(clockTolerance)
	assert.Assert(t, !b.Merge(all))
	more, _ := b.Since(position)
	assert.Equal(t, len(more), 0)
}

func TestStatementsOfAnEarlierRunAreIgnored(t *testing.T) {
	table := NewTable(1)
	table.Observe(start, start, endpoint, start, valid(2))
	assert.Assert(t, !table.Merge([]Statement{{Endpoint: endpoint, StartedAt: start.Add(-time.Minute), InForce: true, PerSecond: 1, At: start.Add(time.Second)}}))
	assert.Assert(t, !table.Observe(start.Add(time.Second), start, endpoint, start.Add(-time.Minute), valid(1)))
	got, _ := table.inForce()
	assert.Equal(t, got, 2.0)
}

// Guards against a limit that no daemon lifts since those that send have no requests.
func TestOtherDaemonsSendAfterAWhile(t *testing.T) {
	assert.Equal(t, rotation(1, 9), uint64(0))
	assert.Equal(t, rotation(1, 14), uint64(1))
	assert.Assert(t, rotation(0, 60) == 0) // a limit of 0 is tried seldom
	assert.Equal(t, rotation(0, 80), uint64(1))
}

// Guards against shares that together are more than a limit allows in a period.
func TestSharesStayWithinTheLimit(t *testing.T) {
	for _, daemons := range []int{1, 9, 78, 340, 986, 10_000} {
		for _, limit := range []float64{0, 0.5, 1, 1.2, 12, 50, 3000, 1e300} {
			sum, burst := 0.0, 0.0
			for rank := range daemons {
				s := ShareOf(limit, rank, daemons)
				sum += s.PerSecond
				burst += s.Burst
				assert.Assert(t, s.PerSecond == 0 || s.Burst >= 1, "%d daemons, %g a second: %+v", daemons, limit, s)
			}
			want := max(limit, minPerSecond)
			assert.Assert(t, sum <= want*(1+1e-9) && sum > want*(1-1e-9), "%d daemons, %g a second: %g", daemons, limit, sum)
			assert.Assert(t, burst <= (want+extraSenders)*(1+1e-9), "%d daemons, %g a second: %g", daemons, limit, burst)
		}
	}
}

func TestPacerKeepsItsShareThroughAChange(t *testing.T) {
	p := &Pacer{}
	p.SetShare(start, ShareOf(1, 0, 1))
	sent := 0
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%100 == 0 { // the fleet changes all the time
			p.SetShare(now, ShareOf(1, 0, 1+ms/100%2))
		}
		if p.Ready(now) {
			p.Take(now)
			sent++
		}
	}
	assert.Assert(t, sent <= 5, "%d", sent)
	p.SetShare(start.Add(4*time.Second), Share{})
	_, sends := p.Wait(start.Add(time.Hour))
	assert.Assert(t, !sends && !p.Ready(start.Add(time.Hour)))
}

func (t *Table) leaving() int {
	n := 0
	t.Leaving(func(*Statement) { n++ })
	return n
}

// Guards against a later answer or another daemon's older statement that takes a leave back.
func TestLeaveIsFinalForTheRun(t *testing.T) {
	a, b := NewTable(1), NewTable(2)
	b.Observe(start, start, endpoint, start, valid(2))
	limit, _ := b.Since(Position{})
	assert.Assert(t, a.ObserveLeaving(start, endpoint, start))
	assert.Assert(t, !a.ObserveLeaving(start.Add(time.Second), endpoint, start))
	assert.Assert(t, !a.Observe(start.Add(time.Second), start.Add(time.Second), endpoint, start, valid(1)))
	assert.Assert(t, !a.Observe(start.Add(time.Second), start.Add(time.Second), endpoint, start, Limit{}))
	assert.Assert(t, !a.Merge(limit))
	leave, _ := a.Since(Position{})
	assert.Assert(t, b.Merge(leave))
	assert.Assert(t, !b.Merge(leave))
	assert.Equal(t, a.leaving()+b.leaving(), 2)
	_, limited := b.inForce()
	assert.Assert(t, !limited)
	b.Prune(start.Add(time.Hour), func(rendezvous.ShortKey) bool { return true })
	assert.Equal(t, b.leaving(), 1)
	assert.Assert(t, !b.ObserveLeaving(start, endpoint, start.Add(-time.Second))) // of an earlier run
	assert.Assert(t, b.Observe(start, start, endpoint, start.Add(time.Second), valid(1)))
	assert.Equal(t, b.leaving(), 0) // a later run
}
