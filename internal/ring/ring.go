// Package ring joins duties by bounded queues. What happens on a full ring is
// the sender's explicit choice: refuse the new value or drop the oldest.
package ring

import "sync/atomic"

// Ring is a bounded queue of values between duties. Any number of goroutines
// may send and receive.
type Ring[T any] struct {
	name    string
	ch      chan T
	drops   atomic.Uint64
	refused atomic.Uint64
}

// New returns a ring for at most size values, size > 0. The name labels its metrics.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{name: name, ch: make(chan T, size)}
}

// Offer adds v, or reports false and counts a refusal when the ring is full.
// For values whose sender can tell its caller that nothing was done.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Push adds v and drops the oldest values while the ring is full. For hints,
// of which the newest is worth the most.
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

// Depth returns how many values wait.
func (r *Ring[T]) Depth() int { return len(r.ch) }

// Drops returns how many values Push has dropped.
func (r *Ring[T]) Drops() uint64 { return r.drops.Load() }

// Refused returns how many values Offer has refused.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

// Send adds v, waiting for room until done is closed, and reports whether it
// did. For bookkeeping that must not be lost: its sender slows down instead.
func (r *Ring[T]) Send(done <-chan struct{}, v T) bool {
	select {
	case r.ch <- v:
		return true
	case <-done:
		return false
	}
}
