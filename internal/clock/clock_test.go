package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The machine's time of day is wrong by an hour when the daemon starts, and the
// clock is then corrected with the true time from other daemons. From there it
// must follow the steady count, whatever the machine's time of day does.
func TestCorrectedClockFollowsTheSteadyCount(t *testing.T) {
	steady := int64(5 * time.Second)
	c := &Clock{steady: func() int64 { return steady }}
	c.offset.Store(time.Unix(4600, 0).UnixNano() - steady)
	assert.Assert(t, c.Now().Equal(time.Unix(4600, 0)))
	truth := time.Unix(1000, 0)
	c.Correct(truth, c.Steady())
	assert.Assert(t, c.Now().Equal(truth))
	steady += int64(3 * time.Second)
	assert.Assert(t, c.Now().Equal(truth.Add(3*time.Second)))
}

// The true time was read some time before it is applied: the time since then must
// be added.
func TestCorrectionAddsTheTimeSinceItsMeasurement(t *testing.T) {
	steady := int64(time.Second)
	c := &Clock{steady: func() int64 { return steady }}
	read := c.Steady()
	steady += int64(2 * time.Second)
	c.Correct(time.Unix(1000, 0), read)
	assert.Assert(t, c.Now().Equal(time.Unix(1002, 0)))
}

func TestNewClockStartsFromTheTimeOfDay(t *testing.T) {
	before := time.Now()
	got := New().Now()
	assert.Assert(t, got.After(before.Add(-time.Second)) && got.Before(before.Add(time.Minute)), "%v", got)
}
