package endpoint

import (
	"context"
	"math"
	"time"
)

// watchdog cancels an exchange if no byte arrives in time.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// never is a timeout longer than the lifetime of any process.
const never = time.Duration(math.MaxInt64)

// newWatchdog returns a watchdog armed with timeout d; 0 is none.
func newWatchdog(ctx context.Context, d time.Duration) *watchdog {
	w := new(watchdog)
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.timer = time.AfterFunc(or(d, never), func() { w.cancel(errStalled) })
	return w
}

// arm restarts the timer with timeout d.
func (w *watchdog) arm(d time.Duration) { w.timer.Reset(d) }

// disarm stops the timer, for the time that the reader of the answer takes between
// reads.
func (w *watchdog) disarm() { w.timer.Stop() }

// expired reports whether the timer ended the exchange.
func (w *watchdog) expired() bool { return context.Cause(w.ctx) == errStalled }

// stop ends the exchange. Its connection is closed unless the answer was read to
// its end.
func (w *watchdog) stop() {
	w.disarm()
	w.cancel(nil)
}
