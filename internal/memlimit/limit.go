// Package memlimit bounds the memory that all requests in progress hold together.
package memlimit

import (
	"context"
	"sync"
	"time"
)

// Limit is an amount of memory that is shared. It is safe for concurrent use.
type Limit struct {
	mu      sync.Mutex
	max     int64 // bytes
	used    int64
	waiting []*waiter // in the order of arrival
}

// waiter waits for bytes.
type waiter struct {
	bytes int64
	ready chan struct{}
}

// New returns a limit of this many bytes.
func New(bytes int64) *Limit { return &Limit{max: bytes} }

// Used returns the bytes in use.
func (l *Limit) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Take takes bytes, or reports that they aren't free.
func (l *Limit) Take(bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(bytes)
}

// take takes bytes if they are free and no call of Wait is pending. The lock is held.
func (l *Limit) take(bytes int64) bool {
	if len(l.waiting) > 0 || l.used+bytes > l.max {
		return false
	}
	l.used += bytes
	return true
}

// Wait takes bytes as soon as they are free, in the order of the calls. It reports whether they
// were within the timeout and before the context ended.
func (l *Limit) Wait(ctx context.Context, bytes int64, timeout time.Duration) bool {
	l.mu.Lock()
	if l.take(bytes) {
		l.mu.Unlock()
		return true
	}
	if bytes > l.max {
		l.mu.Unlock()
		return false
	}
	w := &waiter{bytes: bytes, ready: make(chan struct{})}
	l.waiting = append(l.waiting, w)
	l.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !l.leave(w)
}

// leave removes a waiter, and reports false if it has got its bytes meanwhile.
func (l *Limit) leave(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			l.serve()
			return true
		}
	}
	return false
}

// Give gives bytes back.
func (l *Limit) Give(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= bytes
	l.serve()
}

// serve gives free bytes to those that wait, in their order. The lock is held.
func (l *Limit) serve() {
	for len(l.waiting) > 0 && l.used+l.waiting[0].bytes <= l.max {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.used += w.bytes
		close(w.ready)
	}
}
