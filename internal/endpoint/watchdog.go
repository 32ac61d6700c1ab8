package endpoint

import (
	"context"
	"math"
	"time"
)

// watchdog cancels an exchange when no byte arrives in time.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// never is longer than any process runs.
const never = time.Duration(math.MaxInt64)

// newWatchdog starts with a deadline of d; 0 is none.
func newWatchdog(ctx context.Context, d time.Duration) *watchdog {
	w := new(watchdog)
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.timer = time.AfterFunc(or(d, never), func() { w.cancel(errStalled) })
	return w
}

// arm sets the deadline d from now on.
func (w *watchdog) arm(d time.Duration) { w.timer.Reset(d) }

// disarm lifts the deadline, while it is the reader that takes its time.
func (w *watchdog) disarm() { w.timer.Stop() }

// expired reports whether the deadline ended the exchange.
func (w *watchdog) expired() bool { return context.Cause(w.ctx) == errStalled }

// stop ends the exchange; its connection is closed unless the answer was read
// to its end.
func (w *watchdog) stop() {
	w.disarm()
	w.cancel(nil)
}
