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
	from   time.Time // start of the last hold-up at the earliest
	until  time.Time // its end
}

// Tick must be called every MonitorInterval.
func (m *Monitor) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.overdue(now) {
		m.from, m.until = m.tickAt, now
	}
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
	if m.overdue(now) {
		return now
	}
	return m.until
}

// RanBefore returns when this process last ran before now. What it learns now may have happened at
// any time since: a signal is delivered at the end of a hold-up, whenever it was sent.
func (m *Monitor) RanBefore(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.overdue(now):
		return m.tickAt
	case now.Sub(m.until) <= MonitorInterval:
		return m.from
	default:
		return now
	}
}

// overdue reports whether a tick is so late that the process was held up.
func (m *Monitor) overdue(now time.Time) bool {
	return !m.tickAt.IsZero() && now.Sub(m.tickAt) > MonitorInterval+minHoldUp
}
