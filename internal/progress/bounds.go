package progress

import (
	"context"
	"sync"
	"time"
)

// Bounds bound a transfer.
type Bounds struct {
	FirstByte time.Duration // until its first byte
	Idle      time.Duration // between two looks at it, in which at least a byte must come
	Total     time.Duration // for all of it
}

// WithBounds returns a context for a transfer that a meter counts. It ends with
// context.DeadlineExceeded as its cause where a bound is passed.
func WithBounds(ctx context.Context, m *Meter, b Bounds) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, b.Total)
	ctx, end := context.WithCancelCause(ctx)
	w := &watchdog{meter: m, idle: b.Idle, end: end, bytes: m.Bytes()}
	w.mu.Lock()
	w.timer = time.AfterFunc(b.FirstByte, w.check)
	w.mu.Unlock()
	return ctx, func() {
		w.stop()
		end(nil)
		cancel()
	}
}

// CauseOf returns why a call under a context ended: the cause of the context's end,
// where there is one, and otherwise the call's own error.
func CauseOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// watchdog ends a transfer that has come no further between two looks.
type watchdog struct {
	meter *Meter
	idle  time.Duration
	end   context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	bytes   int64 // at the last look
	stopped bool
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	bytes := w.meter.Bytes()
	switch {
	case w.stopped:
	case bytes > w.bytes:
		w.bytes = bytes
		w.timer.Reset(w.idle)
	default:
		w.end(context.DeadlineExceeded)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
