package daemon

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
)

// call is a use of a duty's state.
type call[T any] func(now time.Time, state T)

// owner is a goroutine that alone uses a duty's state. Others send it calls
// through a ring.
type owner[T any] struct {
	state T
	ring  *ring.Ring[call[T]]
	done  chan struct{} // closed when the owner has stopped
	busy  busyTime      // in calls and ticks
}

func newOwner[T any](name string, size int, state T) *owner[T] {
	return &owner[T]{state: state, ring: ring.New[call[T]](name, size), done: make(chan struct{})}
}

// run carries out calls until ctx ends. tick runs at each interval.
func (o *owner[T]) run(ctx context.Context, interval time.Duration, tick call[T]) {
	defer close(o.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case c := <-o.ring.C():
			o.timed(time.Now(), c)
		case now := <-ticker.C:
			o.timed(now, tick)
		case <-ctx.Done():
			return
		}
	}
}

// runDue is run for a duty whose next tick is due at a time of its own, which
// is asked for after each call and tick. A daemon without work then sleeps:
// with a tick each 2 ms its wake-ups alone took 3% of a core.
func (o *owner[T]) runDue(ctx context.Context, next func(now time.Time, state T) time.Time, tick call[T]) {
	defer close(o.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for {
		select {
		case c := <-o.ring.C():
			now := time.Now()
			o.timed(now, c)
			if earlier := next(now, o.state); earlier.Before(due) {
				due = earlier
				timer.Reset(due.Sub(now))
			}
		case <-timer.C:
			now := time.Now()
			o.timed(now, tick)
			due = next(now, o.state)
			timer.Reset(due.Sub(now))
		case <-ctx.Done():
			return
		}
	}
}

func (o *owner[T]) timed(now time.Time, c call[T]) {
	defer o.busy.since(time.Now())
	c(now, o.state)
}

// tell sends a call that must not be lost; the sender waits for room.
func (o *owner[T]) tell(c call[T]) { o.ring.Send(o.done, c) }

// hint sends a call that may be dropped for a newer one.
func (o *owner[T]) hint(c call[T]) { o.ring.Push(c) }

// ask sends a call and waits for it. It reports false, and nothing was done,
// when the ring is full or the owner has stopped.
func (o *owner[T]) ask(c call[T]) bool {
	answered := make(chan struct{})
	sent := o.ring.Offer(func(now time.Time, state T) {
		defer close(answered)
		c(now, state)
	})
	if !sent {
		return false
	}
	select {
	case <-answered:
		return true
	case <-o.done:
		return false
	}
}
