// Package clock estimates the time of day for the whole fleet. A step of the local
// machine's clock doesn't change the estimate.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is this process's estimate of the true time: a steady (monotonic) count
// plus an offset. The count includes the time for which the machine was suspended.
// Clock is safe for concurrent use.
type Clock struct {
	offset atomic.Int64 // ns from the steady count to Unix time
	steady func() int64
}

// New returns a clock that starts from the machine's time of day, until Correct
// is called.
func New() *Clock {
	c := &Clock{steady: boottime}
	c.offset.Store(time.Now().UnixNano() - c.steady())
	return c
}

// Now returns the estimate of the true time.
func (c *Clock) Now() time.Time { return time.Unix(0, c.steady()+c.offset.Load()) }

// Steady returns the steady count. Only differences between counts have a meaning.
func (c *Clock) Steady() time.Duration { return time.Duration(c.steady()) }

// Correct sets the offset from one measurement: the true time was truth when the
// steady count was at.
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

// started is the base of the steady count where the system has no CLOCK_BOOTTIME.
var started = time.Now()
