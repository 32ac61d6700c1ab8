package caller

import (
	"context"
	"errors"
	"time"
)

// errSilent is the cause of an attempt's end by the progress timeout.
var errSilent = errors.New("nothing was received within the progress timeout")

// watch cancels its context when extend was not called for timeout. A middlebox
// may no longer track an open connection: reads on it then block for ever, while
// new connections work.
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

// breakSilent is breakOff(err), but with errSilent if that cancelled ctx.
func breakSilent(ctx context.Context, err error) step {
	if context.Cause(ctx) == errSilent {
		return breakOff(errSilent)
	}
	return breakOff(err)
}
