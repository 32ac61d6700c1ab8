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
func (l *recentMax) add(now time.Time, n int) {
	l.forget(now)
	if k := len(l.counts); k > 0 {
		l.counts[k-1].at = now // the previous number was current until now
	}
	for len(l.counts) > 0 && l.counts[len(l.counts)-1].n <= n {
		l.counts = l.counts[:len(l.counts)-1]
	}
	l.counts = append(l.counts, daemonCount{n: n, at: now})
}

// value returns the largest number; zero if none was ever added.
func (l *recentMax) value(now time.Time) int {
	l.forget(now)
	if len(l.counts) == 0 {
		return 0
	}
	return l.counts[0].n
}

// forget drops expired numbers, but never the newest.
func (l *recentMax) forget(now time.Time) {
	for len(l.counts) > 1 && now.Sub(l.counts[0].at) > recentTime {
		l.counts = l.counts[1:]
	}
}
