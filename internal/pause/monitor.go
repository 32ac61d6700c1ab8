package pause

import (
	"sync"
	"time"
)

const (
	// MonitorInterval is the time between two ticks of a Monitor.
	MonitorInterval = 100 * time.Millisecond
	// minHoldUp is the least delay of a tick that counts as a hold-up of the process: on a busy
	// machine a tick is late by some ten milliseconds.
	minHoldUp = 100 * time.Millisecond
)

// Monitor detects times in which this process didn't run, because it was stopped or got no
// processor time. It is safe for concurrent use. Without ticks it detects none.
type Monitor struct {
	mu     sync.Mutex
	tickAt time.Time // of the last tick
	until  time.Time // end of the last hold-up
}

// Tick must be called every MonitorInterval.
func (m *Monitor) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.until = m.heldUpUntil(now)
	m.tickAt = now
}

// HeldUpUntil returns the end of the last hold-up, zero if there was none. It is now if a tick is
// overdue: after a hold-up, other goroutines may run before the next tick.
func (m *Monitor) HeldUpUntil(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldUpUntil(now)
}

func (m *Monitor) heldUpUntil(now time.Time) time.Time {
	if !m.tickAt.IsZero() && now.Sub(m.tickAt) > MonitorInterval+minHoldUp {
		return now
	}
	return m.until
}
