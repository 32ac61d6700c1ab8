package caller

import (
	"context"
	"errors"
	"time"
)

// errNoProgress is the cause of an attempt's end by the progress timeout.
var errNoProgress = errors.New("nothing was received within the progress timeout")

// progressTimer cancels its context when extend was not called for timeout. A
// middlebox may no longer track an open connection: reads on it then block for
// ever, while new connections work.
type progressTimer struct {
	timer   *time.Timer
	timeout time.Duration
	cancel  context.CancelCauseFunc
}

func newProgressTimer(ctx context.Context, timeout time.Duration) (context.Context, *progressTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &progressTimer{timeout: timeout, cancel: cancel}
	t.timer = time.AfterFunc(timeout, func() { cancel(errNoProgress) })
	return ctx, t
}

func (t *progressTimer) extend() { t.timer.Reset(t.timeout) }

func (t *progressTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// brokenStepIn returns brokenStep(err), but with errNoProgress if that cancelled
// ctx.
func brokenStepIn(ctx context.Context, err error) step {
	if context.Cause(ctx) == errNoProgress {
		return brokenStep(errNoProgress)
	}
	return brokenStep(err)
}
