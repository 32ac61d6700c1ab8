package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

const (
	// minRunTime is the least time of a run: shorter ones would take the state's lock more often
	// and show no more.
	minRunTime = time.Duration(speed.RunSeconds * float64(time.Second))
	// minReadWait is the least time after which a read counts as having waited for the endpoint:
	// bytes that are there are read in some microseconds.
	minReadWait = 100 * time.Microsecond
	// maxWrite is the longest time for a write to the caller in a run. A longer one may fill the
	// buffers on the way from the endpoint, which then waits for the caller.
	maxWrite = 100 * time.Millisecond
)

// eventRun measures the time that runs of a stream's events take at the endpoint. A run begins
// and ends with events for which the read has waited. So neither the time of writing to the
// caller counts, nor events that arrived in it.
type eventRun struct {
	from   time.Time // zero: none in progress
	events int       // of the stream at the run's begin
}

// arrived records that events arrived by a read that began at some time; events is their number in
// the stream so far. It returns the length of a run that they complete. After a hold-up of this
// process a run begins with the first read that waits again.
func (r *eventRun) arrived(now, readBegan time.Time, events int, heldUpUntil time.Time) (took time.Duration, n int, ok bool) {
	if heldUpUntil.After(r.from) {
		r.from = time.Time{}
	}
	if now.Sub(readBegan) < minReadWait || heldUpUntil.After(readBegan) {
		return 0, 0, false
	}
	took, n = now.Sub(r.from), events-r.events
	switch {
	case r.from.IsZero():
		*r = eventRun{from: now, events: events}
		return 0, 0, false
	case n < speed.MinRunEvents || took < minRunTime:
		return 0, 0, false
	default:
		*r = eventRun{from: now, events: events}
		return took, n, true
	}
}

// written records how long a write to the caller took.
func (r *eventRun) written(took time.Duration) {
	if took > maxWrite {
		r.from = time.Time{}
	}
}
