package progress

import (
	"context"
	"sync"
	"time"
)

// Bounds are the timeouts of a transfer.
type Bounds struct {
	FirstByte time.Duration // until the first byte
	Idle      time.Duration // interval of checks after that; each must find at least one new byte
	Total     time.Duration // for the whole transfer
}

// WithBounds returns a context for a transfer whose bytes m counts. If a timeout
// passes, the context ends with the cause context.DeadlineExceeded.
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

// CauseOf returns why a call with a context failed: the cause of the context's end
// if it has ended, and otherwise the call's own error.
func CauseOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// watchdog ends a transfer that made no progress between two checks.
type watchdog struct {
	meter *Meter
	idle  time.Duration
	end   context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	bytes   int64 // at the last check
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
