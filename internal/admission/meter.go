package admission

import (
	"math"
	"time"
)

const (
	// servedDecay averages what flows are served: long enough for tens of
	// requests, short enough to follow a closing's start.
	servedDecay = 5 * time.Second
	// demandDecay averages what a daemon tells others of its demand. Five
	// seconds refused seven times as much at 90% of a limit, because shares
	// followed callers too late.
	demandDecay = time.Second
)

// meter measures a rate a second as an exponentially decaying average.
type meter struct {
	decay time.Duration // constant of the decay
	value float64
	last  time.Duration
}

// add counts amount at now.
func (m *meter) add(now time.Duration, amount float64) {
	m.value = m.rate(now) + amount/m.decay.Seconds()
	m.last = now
}

// rate returns the average a second.
func (m *meter) rate(now time.Duration) float64 {
	if now <= m.last {
		return m.value
	}
	return m.value * math.Exp(-float64(now-m.last)/float64(m.decay))
}

// seconds converts to a duration, bounded so that no sum of two overflows.
func seconds(s float64) time.Duration {
	const longest = 24 * time.Hour
	if s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
