package relay

import (
	"time"

	"github.com/zeebo/errs"
)

// errNoEvent ends a stream's attempt whose endpoint sends bytes, but no event.
var errNoEvent = errs.New("the endpoint sent bytes without an event for longer than it may be silent")

// eventless measures how long the bytes of a stream have held no whole event. Comments, empty lines and
// parts of an event show no progress, and would keep a stream open until its caller's deadline.
type eventless struct {
	since time.Time // when the first of them arrived, zero after an event
}

// eventArrived records an event.
func (e *eventless) eventArrived() { e.since = time.Time{} }

// bytesArrived records bytes without an event, and returns for how long they have arrived. Time in which
// this process was held up doesn't count.
func (e *eventless) bytesArrived(now, heldUpUntil time.Time) time.Duration {
	switch {
	case e.since.IsZero():
		e.since = now
	case heldUpUntil.After(e.since):
		e.since = heldUpUntil
	}
	return now.Sub(e.since)
}
