package caller

import (
	"context"
	"errors"
	"time"
)

// errSilent ends an attempt whose connection said nothing for too long.
var errSilent = errors.New("the connection was silent for too long")

// watch cancels its context when extend was not called for a while. Something
// between the two ends may have lost track of an open connection: reads on it
// then wait for ever, while new connections work.
type watch struct {
	timer   *time.Timer
	timeout time.Duration
	cancel  context.CancelCauseFunc
}

func newWatch(ctx context.Context, timeout time.Duration) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{timeout: timeout, cancel: cancel}
	w.timer = time.AfterFunc(timeout, func() { cancel(errSilent) })
	return ctx, w
}

func (w *watch) extend() { w.timer.Reset(w.timeout) }

func (w *watch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// breakSilent is breakOff with the reason in place of a cancelled context.
func breakSilent(ctx context.Context, err error) step {
	if context.Cause(ctx) == errSilent {
		return breakOff(errSilent)
	}
	return breakOff(err)
}
