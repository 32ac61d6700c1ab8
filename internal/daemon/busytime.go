package daemon

import (
	"sync/atomic"
	"time"
)

// busyTime adds up the time that a duty spends at work. It is measured by the
// clock, so it is an upper bound of the processor time. Safe for concurrent use.
type busyTime struct {
	spent atomic.Int64 // ns
}

// since adds the time from start to now.
func (b *busyTime) since(start time.Time) { b.spent.Add(int64(time.Since(start))) }

func (b *busyTime) seconds() float64 { return time.Duration(b.spent.Load()).Seconds() }
