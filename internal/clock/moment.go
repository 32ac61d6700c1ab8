package clock

import (
	"sync/atomic"
	"time"
)

// Moment is a time that several goroutines read and set. It keeps what Unix time
// would lose, the monotonic reading: a step of the time of day doesn't change how
// long ago it was.
type Moment struct {
	base  time.Time
	after atomic.Int64 // ns after base; 0 is none
}

// NewMoment returns a moment for times from now on, with none set.
func NewMoment() *Moment { return &Moment{base: time.Now()} }

// Set takes a time of this process's own clock.
func (m *Moment) Set(t time.Time) { m.after.Store(max(1, int64(t.Sub(m.base)))) }

// Time returns what was set last, the zero time where nothing was.
func (m *Moment) Time() time.Time {
	after := m.after.Load()
	if after == 0 {
		return time.Time{}
	}
	return m.base.Add(time.Duration(after))
}
