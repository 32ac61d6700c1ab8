package pause

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against time in which the process was stopped and that is attributed to its peers.
func TestHoldUpIsFoundBeforeTheNextTick(t *testing.T) {
	var m Monitor
	now := time.Unix(1000, 0)
	assert.Assert(t, m.HeldUpUntil(now).IsZero())
	m.Tick(now)
	now = now.Add(MonitorInterval + 50*time.Millisecond)
	m.Tick(now)
	assert.Assert(t, m.HeldUpUntil(now.Add(MonitorInterval)).IsZero())
	thawed := now.Add(2 * time.Second)
	assert.Equal(t, m.HeldUpUntil(thawed), thawed)
	m.Tick(thawed.Add(time.Millisecond))
	assert.Equal(t, m.HeldUpUntil(thawed.Add(50*time.Millisecond)), thawed.Add(time.Millisecond))
}
