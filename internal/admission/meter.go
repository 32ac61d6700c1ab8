package admission

import (
	"math"
	"time"
)

const (
	// servedDecay is the time constant of the work started by a flow: long
	// enough to cover tens of requests, short enough to follow the rise in load
	// when a workspace's monthly closing starts.
	servedDecay = 5 * time.Second
	// demandDecay is the time constant of the demand that a daemon reports to
	// others. With five seconds, seven times as many requests were refused at
	// 90% of a limit, because shares followed the callers too slowly.
	demandDecay = time.Second
)

// meter measures a rate a second as an exponentially decaying average.
type meter struct {
	decay time.Duration // time constant
	value float64
	last  time.Duration
}

// add records amount at now.
func (m *meter) add(now time.Duration, amount float64) {
	m.value = m.rate(now) + amount/m.decay.Seconds()
	m.last = now
}

// rate returns the average amount a second.
func (m *meter) rate(now time.Duration) float64 {
	if now <= m.last {
		return m.value
	}
	return m.value * math.Exp(-float64(now-m.last)/float64(m.decay))
}

// seconds converts s to a duration of at most a day, so that sums do not overflow.
func seconds(s float64) time.Duration {
	const longest = 24 * time.Hour
	if s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
