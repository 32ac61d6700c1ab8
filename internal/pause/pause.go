// Package pause waits for a while, or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether the context lived until then.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f at an interval until the context ends, at multiples of the interval:
// what is due at the same moment wakes the process once.
func Every(ctx context.Context, interval time.Duration, f func()) {
	for Next(ctx, interval) {
		f()
	}
}

// Next waits for the next multiple of an interval and reports whether the context lived
// until then.
func Next(ctx context.Context, interval time.Duration) bool { return For(ctx, ToNext(interval)) }

// ToNext returns the time until the next multiple of an interval.
func ToNext(interval time.Duration) time.Duration {
	now := time.Now()
	return now.Truncate(interval).Add(interval).Sub(now)
}
