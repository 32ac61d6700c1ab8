package quota

import "time"

// recentTime is how long a number of daemons counts: partitions that last longer are
// rare.
const recentTime = 20 * time.Second

// recentMax is the largest of the numbers that were added within recentTime.
type recentMax struct {
	counts []daemonCount // strictly decreasing numbers, oldest first
}

type daemonCount struct {
	n  int
	at time.Time // when it was last the current number
}

// add takes the number that is current from now on.
func (m *recentMax) add(now time.Time, n int) {
	m.forget(now)
	if k := len(m.counts); k > 0 {
		m.counts[k-1].at = now // the previous number was current until now
	}
	for len(m.counts) > 0 && m.counts[len(m.counts)-1].n <= n {
		m.counts = m.counts[:len(m.counts)-1]
	}
	m.counts = append(m.counts, daemonCount{n: n, at: now})
}

// value returns the largest number; zero if none was ever added.
func (m *recentMax) value(now time.Time) int {
	m.forget(now)
	if len(m.counts) == 0 {
		return 0
	}
	return m.counts[0].n
}

// forget drops expired numbers, but never the newest.
func (m *recentMax) forget(now time.Time) {
	for len(m.counts) > 1 && now.Sub(m.counts[0].at) > recentTime {
		m.counts = m.counts[1:]
	}
}
