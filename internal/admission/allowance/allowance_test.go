package allowance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// step lets every daemon take as much as it may and wants, on reports that are
// one step old, and returns what each has then.
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

// Three daemons want more than the pool has. If each took all slots for its
// own, the endpoints' queues would grow threefold and every first token would
// be late.
func TestCompetingDaemonsFillPoolWithoutOverrun(t *testing.T) {
	have, want := []int{0, 0, 0}, []int{100, 100, 100}
	for i := range 40 {
		have = step(32, have, want)
		assert.Assert(t, sum(have) <= 36, "step %d: %v", i, have)
	}
	assert.Assert(t, sum(have) >= 30, "%v", have)
}

func TestOnlyActiveDaemonGetsWholePool(t *testing.T) {
	have, want := make([]int, 9), make([]int, 9)
	want[4] = 100
	for range 40 {
		have = step(72, have, want)
	}
	assert.Assert(t, have[4] >= 70, "%v", have)
}

// A daemon's first caller comes while another daemon holds all slots. The
// caller must get in within a few reports, and the other must shrink.
func TestNewDaemonGetsShareOfFullPool(t *testing.T) {
	have, want := []int{32, 0}, []int{100, 100}
	for range 40 {
		have = step(32, have, want)
	}
	assert.Assert(t, have[1] >= 8, "%v", have)
	assert.Assert(t, sum(have) <= 36, "%v", have)
}

// Long prompts wait for their turn at engines that have slots left. More
// requests would wait there as well, in the order of arrival; fewer must be let in.
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
