package quota

import "time"

// recentTime is how long a number of daemons counts: daemons that are cut off from
// each other for longer are rare.
const recentTime = 20 * time.Second

// recentMax is the recentMax of the numbers that were added lately.
type recentMax struct {
	counts []daemonCount // falling numbers, the oldest first
}

type daemonCount struct {
	n  int
	at time.Time // when it was seen last
}

// add takes the number that holds from now on.
func (l *recentMax) add(now time.Time, n int) {
	l.forget(now)
	if k := len(l.counts); k > 0 {
		l.counts[k-1].at = now // it held until now
	}
	for len(l.counts) > 0 && l.counts[len(l.counts)-1].n <= n {
		l.counts = l.counts[:len(l.counts)-1]
	}
	l.counts = append(l.counts, daemonCount{n: n, at: now})
}

// value returns the largest number, zero where none was added lately.
func (l *recentMax) value(now time.Time) int {
	l.forget(now)
	if len(l.counts) == 0 {
		return 0
	}
	return l.counts[0].n
}

// forget drops what is too old, but for the newest.
func (l *recentMax) forget(now time.Time) {
	for len(l.counts) > 1 && now.Sub(l.counts[0].at) > recentTime {
		l.counts = l.counts[1:]
	}
}
