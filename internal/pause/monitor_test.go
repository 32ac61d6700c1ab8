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

// Guards against a signal that counts from the end of a hold-up in which it was sent.
func TestWhatIsLearnedAfterAHoldUpMayBeAsOldAsIt(t *testing.T) {
	var m Monitor
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	assert.Equal(t, m.RanBefore(at(0)), at(0))
	m.Tick(at(0))
	m.Tick(at(MonitorInterval))
	assert.Equal(t, m.RanBefore(at(150*time.Millisecond)), at(150*time.Millisecond))
	for _, now := range []time.Duration{2 * time.Second, 2*time.Second + time.Millisecond} { // before the next tick, and after it
		assert.Equal(t, m.RanBefore(at(now)), at(MonitorInterval))
		m.Tick(at(2 * time.Second))
	}
	m.Tick(at(2*time.Second + MonitorInterval))
	later := at(2*time.Second + 2*MonitorInterval)
	assert.Equal(t, m.RanBefore(later), later)
}
