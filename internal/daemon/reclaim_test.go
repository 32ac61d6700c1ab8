package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/reclaim"
)

// Two daemons move ten streams each to three targets with eight free slots.
// Each sees all the room. Together they must not give a target more than it has.
func TestStreamsAreSpreadInProportionToTheRoom(t *testing.T) {
	for _, c := range []struct {
		free    []int
		streams int
		want    []int
	}{
		{[]int{8, 8, 8}, 10, []int{4, 4, 4}},
		{[]int{8, 8, 8}, 24, []int{8, 8, 8}},
		{[]int{8, 8, 8}, 100, []int{8, 8, 8}},
		{[]int{8, 2, 0}, 5, []int{4, 1, 0}},
		{[]int{0, 0}, 5, []int{0, 0}},
		{nil, 5, nil},
	} {
		var targets []reclaim.Target
		for _, n := range c.free {
			targets = append(targets, reclaim.Target{FreeSlots: n})
		}
		spread(targets, c.streams)
		for i, target := range targets {
			assert.Equal(t, target.FreeSlots, c.want[i], "%v for %d streams", c.free, c.streams)
		}
	}
}
