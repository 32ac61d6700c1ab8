package allowance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// step returns the requests in flight of each daemon after one step, in which
// each takes as many as it wants and is allowed, based on the reports of the
// previous step.
func step(slots int, have, want []int) []int {
	running := 0
	for _, n := range have {
		running += n
	}
	next := make([]int, len(have))
	for i, n := range have {
		s := Sample{Slots: slots, Running: min(running, slots), Queued: max(0, running-slots), InFlight: n, Daemons: len(have)}
		next[i] = min(want[i], Of(s))
	}
	return next
}

func sum(all []int) int {
	n := 0
	for _, v := range all {
		n += v
	}
	return n
}

// Three daemons want more than the pool has. If each used all slots, the pool
// would get three times its capacity in requests, and every first token would be
// late.
func TestCompetingDaemonsFillPoolWithoutOverrun(t *testing.T) {
	have, want := []int{0, 0, 0}, []int{100, 100, 100}
	for i := range 40 {
		have = step(32, have, want)
		assert.Assert(t, sum(have) <= 36, "step %d: %v", i, have)
	}
	assert.Assert(t, sum(have) >= 30, "%v", have)
}

// Only one of many daemons has callers. It must get nearly all slots.
func TestOnlyActiveDaemonGetsWholePool(t *testing.T) {
	have, want := make([]int, 9), make([]int, 9)
	want[4] = 100
	for range 40 {
		have = step(72, have, want)
	}
	assert.Assert(t, have[4] >= 70, "%v", have)
}

// A daemon gets its first callers while another daemon holds all slots. They must
// be admitted within a few reports, and the other's allowance must shrink.
func TestNewDaemonGetsShareOfFullPool(t *testing.T) {
	have, want := []int{32, 0}, []int{100, 100}
	for range 40 {
		have = step(32, have, want)
	}
	assert.Assert(t, have[1] >= 8, "%v", have)
	assert.Assert(t, sum(have) <= 36, "%v", have)
}

// Long prompts are queued at engines with free slots. More requests would be
// queued there as well, in order of arrival, so fewer must be admitted.
func TestPromptBacklogLowersAllowance(t *testing.T) {
	s := Sample{Slots: 48, Running: 30, InFlight: 20, Daemons: 3, Backlog: 2}
	assert.Equal(t, Of(s), 8, "half an equal share is always there")
	s.Daemons = 12
	assert.Equal(t, Of(s), 5)
	s.Backlog = 0.1
	assert.Assert(t, Of(s) > 20)
}

func TestAllowanceIsAtLeastOne(t *testing.T) {
	assert.Equal(t, Of(Sample{}), 1)
	assert.Equal(t, Of(Sample{Slots: 1, Running: 1, Queued: 50, InFlight: 3, Daemons: 340}), 1)
}
