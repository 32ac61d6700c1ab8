package budget

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// caller makes calls of a simulated daemon without end.
type caller struct {
	budget *Budget
	class  Class
	kind   Kind
	at     time.Time
}

// agenda orders the callers by the times of their next calls.
type agenda []*caller

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(c any)        { *a = append(*a, c.(*caller)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// store is the API as the fleet sees it.
type store struct {
	downUntil time.Time
	took      time.Duration // of an answer
	allowed   [Kinds][]time.Time
}

// run lets every caller call as often as its budget allows, until end.
func (s *store) run(a agenda, end time.Time) {
	heap.Init(&a)
	for a[0].at.Before(end) {
		c := a[0]
		d := c.budget.Admit(c.at, c.class, c.kind)
		if d.Action == Allowed {
			s.allowed[c.kind] = append(s.allowed[c.kind], c.at)
			d.At = c.at.Add(s.took)
			c.budget.Report(d.At, c.kind, s.outcome(c.at))
		}
		c.at = d.At
		heap.Fix(&a, 0)
	}
}

func (s *store) outcome(now time.Time) Outcome {
	if now.Before(s.downUntil) {
		return Outcome{Result: Failed}
	}
	return Outcome{Result: Answered}
}

// peak returns the most calls of the kind in any second from a time on.
func (s *store) peak(k Kind, from time.Time) int {
	calls := s.allowed[k]
	first, most := 0, 0
	for i, at := range calls {
		for at.Sub(calls[first]) >= time.Second {
			first++
		}
		if !calls[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// newFleet returns the budgets of daemons that start at the same time.
func newFleet(n int, now time.Time) []*Budget {
	fleet := make([]*Budget, n)
	for i := range fleet {
		fleet[i] = New(Config{FleetSize: n}, now, rand.New(rand.NewPCG(7, uint64(i))))
	}
	return fleet
}

// greedy lets each daemon make calls of every class without end.
func greedy(fleet []*Budget, now time.Time) agenda {
	var a agenda
	for _, b := range fleet {
		for c := Status; c < classes; c++ {
			a = append(a, &caller{budget: b, class: c, kind: ObjectRead, at: now})
			a = append(a, &caller{budget: b, class: c, kind: ObjectWrite, at: now})
		}
	}
	return a
}

var start = time.Unix(1_700_000_000, 0)

// Guards against a wave of calls after 340 daemons have started at the same time.
func TestRestartOfTheFleetStaysWithinTheRates(t *testing.T) {
	for _, n := range []int{9, 34, 340} {
		s := &store{took: 3 * time.Millisecond}
		s.run(greedy(newFleet(n, start), start), start.Add(12*time.Second))
		reads, writes := s.peak(ObjectRead, start), s.peak(ObjectWrite, start)
		t.Logf("%d daemons: at most %d reads and %d writes in a second", n, reads, writes)
		assert.Assert(t, reads <= DefaultObjectReads, "%d reads", reads)
		assert.Assert(t, writes <= DefaultObjectWrites, "%d writes", writes)
		assert.Assert(t, len(s.allowed[ObjectWrite]) > 9*DefaultObjectWrites/2, "the rates are hardly used")
	}
}

// Guards against a wave of calls above the platform's rates after an outage, with full buckets.
func TestReturnOfTheStoreStaysWithinTheRates(t *testing.T) {
	back := start.Add(time.Minute)
	s := &store{took: 3 * time.Millisecond, downUntil: back}
	s.run(greedy(newFleet(340, start), start), back.Add(20*time.Second))
	inOutage := 0
	for _, calls := range s.allowed {
		for _, at := range calls {
			if at.After(start.Add(20*time.Second)) && at.Before(back) {
				inOutage++
			}
		}
	}
	reads, writes := s.peak(ObjectRead, back), s.peak(ObjectWrite, back)
	t.Logf("%.1f probes a second in the outage; then at most %d reads and %d writes in a second",
		float64(inOutage)/40, reads, writes)
	assert.Assert(t, inOutage <= 40*100, "%d probes", inOutage)
	assert.Assert(t, reads <= DefaultObjectReads, "%d reads", reads)
	assert.Assert(t, writes <= DefaultObjectWrites, "%d writes", writes)
	assert.Assert(t, len(s.allowed[ObjectWrite]) > 10*DefaultObjectWrites/2, "calls don't resume")
}

// Guards against a wave of calls after a change that all daemons see at once.
func TestWaveAfterQuietIsSpread(t *testing.T) {
	fleet := newFleet(340, start)
	wave := start.Add(time.Minute)
	var a agenda
	for _, b := range fleet {
		assert.Equal(t, b.Admit(start, Status, ObjectWrite).Action, WaitUntil)
		a = append(a, &caller{budget: b, class: Configuration, kind: ObjectRead, at: wave})
		a = append(a, &caller{budget: b, class: Status, kind: ObjectWrite, at: wave})
	}
	s := &store{took: time.Hour} // one call each
	s.run(a, wave.Add(time.Minute))
	assert.Equal(t, len(s.allowed[ObjectRead]), 340)
	assert.Equal(t, len(s.allowed[ObjectWrite]), 340)
	writes := s.peak(ObjectWrite, wave)
	t.Logf("at most %d writes in a second", writes)
	assert.Assert(t, writes <= DefaultObjectWrites, "%d writes", writes)
}

// Guards against daemons that stay in step after orders reached all of them at once.
func TestIntentsOfOneInstantAreBounded(t *testing.T) {
	wave := start.Add(time.Minute)
	var a agenda
	for _, b := range newFleet(340, start) {
		a = append(a, &caller{budget: b, class: Intent, kind: ObjectWrite, at: wave})
	}
	s := &store{}
	s.run(a, wave.Add(10*time.Second))
	first, later := s.peak(ObjectWrite, wave), s.peak(ObjectWrite, wave.Add(time.Second))
	t.Logf("%d writes in the first second, then at most %d", first, later)
	assert.Assert(t, first <= 2*340, "%d at first", first)
	assert.Assert(t, later <= DefaultObjectWrites, "%d later", later)
}
