package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Without the monotonic reading, a step of the time of day would make the stored
// time, such as that of the last message, seem older or younger than it is.
func TestMomentKeepsTheMonotonicReading(t *testing.T) {
	m := NewMoment()
	assert.Assert(t, m.Time().IsZero())
	now := time.Now()
	m.Set(now)
	assert.Equal(t, m.Time().Sub(now), time.Duration(0))
	stepped := now.Round(0).Add(time.Hour) // has no monotonic reading
	assert.Equal(t, stepped.Sub(now), time.Hour)
	assert.Assert(t, m.Time().String() != m.Time().Round(0).String(), "%v", m.Time())
}
