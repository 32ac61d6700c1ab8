package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// A retried request must keep the time of its first refusal until the retention
// ends, and the records must not grow without bound.
func TestRefusalsKeepFirstTimeAndAreBounded(t *testing.T) {
	start := time.Unix(1_000, 0)
	s := NewRefusals()
	assert.Equal(t, s.Record(start, "r"), time.Duration(0))
	assert.Equal(t, s.Record(start.Add(3*time.Second), "r"), 3*time.Second)
	assert.Equal(t, s.FirstRefusal(start.Add(4*time.Second), "r"), start)
	assert.Equal(t, s.Record(start.Add(2*time.Minute), "r"), time.Duration(0))
	for i := range 3 * maxRefusals {
		s.Record(start.Add(2*time.Minute), fleet.RequestID(fmt.Sprint(i)))
	}
	assert.Assert(t, len(s.first) <= maxRefusals && len(s.order) == len(s.first), "%d %d", len(s.first), len(s.order))
}
