// Package pause provides waits that end early when a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns true after d, and false if the context ends first.
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

// Every calls f at each multiple of the interval on the wall clock, until the context
// ends. Aligned to multiples, timers with the same interval wake the process once.
func Every(ctx context.Context, interval time.Duration, f func()) {
	for Next(ctx, interval) {
		f()
	}
}

// Next waits for the next multiple of the interval on the wall clock. It returns false
// if the context ends first.
func Next(ctx context.Context, interval time.Duration) bool { return For(ctx, ToNext(interval)) }

// ToNext returns the time until the next multiple of the interval on the wall clock.
func ToNext(interval time.Duration) time.Duration {
	now := time.Now()
	return now.Truncate(interval).Add(interval).Sub(now)
}
