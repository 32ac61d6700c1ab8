// Package clock tells the fleet's time of day, which a step of one machine's
// clock doesn't move.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is this process's estimate of the true time: a steady count plus an
// offset. The count goes on while a machine is suspended, so it doesn't lose
// that time. It is safe for concurrent use.
type Clock struct {
	offset atomic.Int64 // ns from the steady count to Unix time
	steady func() int64
}

// New returns a clock that starts from the machine's time of day.
func New() *Clock {
	c := &Clock{steady: boottime}
	c.offset.Store(time.Now().UnixNano() - c.steady())
	return c
}

// Now returns the estimate of the true time.
func (c *Clock) Now() time.Time { return time.Unix(0, c.steady()+c.offset.Load()) }

// Steady returns the steady count, which has no relation to the time of day.
func (c *Clock) Steady() time.Duration { return time.Duration(c.steady()) }

// Correct takes what the true time was when the steady count was at.
func (c *Clock) Correct(truth time.Time, at time.Duration) {
	c.offset.Store(truth.UnixNano() - int64(at))
}

func boottime() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started).Nanoseconds()
	}
	return ts.Nano()
}

// started is the base where the system has no such clock.
var started = time.Now()
