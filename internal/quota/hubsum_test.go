package quota

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Guards against demand that counts twice, since a rounding error is taken for a hub's restart.
func TestRoundingIsNoRestartOfAHub(t *testing.T) {
	for _, c := range []struct {
		name              string
		total, afterwards float64
	}{
		{"amounts", 1e6 + 1.0/3, 1e6 + 1.0/3 - 1e-9},
		{"requests", 1000, 999},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s hubSum
			s.add("a", c.total)
			s.add("b", c.total)
			assert.Equal(t, s.add("a", c.total+500), 500.0)
			assert.Equal(t, s.add("b", c.afterwards), 0.0)
			assert.Equal(t, s.add("b", c.total+500), 0.0)
		})
	}
}

// Guards against the same of the totals of what was spent.
func TestRoundingOfSpendingIsNoRestartOfAHub(t *testing.T) {
	h := NewHubTotals()
	add := func(hub string, total float64) float64 {
		return h.Add(hub, map[fleet.WorkspaceID]float64{"w": total}, false)["w"]
	}
	total := 1e6 + 1.0/3
	add("a", total)
	add("b", total)
	assert.Equal(t, add("a", total+500), 500.0)
	assert.Equal(t, add("b", total-1e-9), 0.0)
	assert.Equal(t, add("b", total+500), 0.0)
	assert.Equal(t, add("b", 3), 0.0) // restarted
	assert.Equal(t, add("b", 7), 4.0)
}
