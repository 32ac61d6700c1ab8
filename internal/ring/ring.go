// Package ring provides bounded queues between goroutines. The sender selects what
// happens when a queue is full: Offer refuses the new value, Push drops the oldest
// one, Send waits.
package ring

import "sync/atomic"

// Ring is a bounded queue of values. Any number of goroutines may send and receive.
type Ring[T any] struct {
	name    string
	ch      chan T
	drops   atomic.Uint64
	refused atomic.Uint64
}

// New returns a ring for at most size values, size > 0. The name is a label of its
// metrics.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{name: name, ch: make(chan T, size)}
}

// Offer adds v, or returns false and counts a refusal if the ring is full. It is for
// senders that can report to their caller that nothing was done.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Push adds v and drops the oldest values while the ring is full. It is for hints,
// of which the newest is the most useful.
func (r *Ring[T]) Push(v T) {
	for {
		select {
		case r.ch <- v:
			return
		default:
		}
		select {
		case <-r.ch:
			r.drops.Add(1)
		default:
		}
	}
}

// C returns the channel to receive from.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Name returns the ring's name.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns the number of queued values.
func (r *Ring[T]) Depth() int { return len(r.ch) }

// Drops returns the number of values that Push has dropped.
func (r *Ring[T]) Drops() uint64 { return r.drops.Load() }

// Refused returns the number of values that Offer has refused.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

// Send adds v, waiting while the ring is full until done is closed, and reports
// whether v was added. It is for records that must not be lost: the sender is
// slowed down instead.
func (r *Ring[T]) Send(done <-chan struct{}, v T) bool {
	select {
	case r.ch <- v:
		return true
	case <-done:
		return false
	}
}
