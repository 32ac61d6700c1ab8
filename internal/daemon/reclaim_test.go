package daemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Daemons that plan at once must not take more room together than there is:
// where it divides evenly, exactly all of it, and else less than one slot each
// above their part.
func TestDaemonsShareTheRoomOfTargets(t *testing.T) {
	for _, c := range []struct{ free, daemons, least, most int }{
		{8, 1, 8, 8}, {8, 2, 4, 4}, {8, 3, 2, 3}, {8, 340, 0, 1}, {0, 3, 0, 0}, {8, 0, 8, 8},
	} {
		for range 100 {
			got := shareOf(c.free, c.daemons)
			assert.Assert(t, got >= c.least && got <= c.most, "%d of %d slots for one of %d daemons", got, c.free, c.daemons)
		}
	}
}
