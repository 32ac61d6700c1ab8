package clock

import (
	"sync/atomic"
	"time"
)

// Moment is a time that several goroutines can read and set. Unlike a Unix time it
// keeps the monotonic reading: a step of the machine's time of day doesn't change
// how long ago it was.
type Moment struct {
	base  time.Time
	after atomic.Int64 // ns after base; 0 is none
}

// NewMoment returns a moment for times from now on, with none set.
func NewMoment() *Moment { return &Moment{base: time.Now()} }

// Set stores a time from time.Now. Times before NewMoment was called are stored as
// that time.
func (m *Moment) Set(t time.Time) { m.after.Store(max(1, int64(t.Sub(m.base)))) }

// Time returns the time set last, or the zero time if none was.
func (m *Moment) Time() time.Time {
	after := m.after.Load()
	if after == 0 {
		return time.Time{}
	}
	return m.base.Add(time.Duration(after))
}
