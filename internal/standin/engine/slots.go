package engine

import "context"

// acquire waits for a slot. It returns false if ctx ended first.
func (e *Engine) acquire(ctx context.Context, s *stream) bool {
	e.mu.Lock()
	if e.running < e.o.Slots && e.queue.Len() == 0 {
		e.running++
		e.changed()
		e.mu.Unlock()
		return true
	}
	w := e.enqueue(s)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		e.abandon(w)
		return false
	}
}

// enqueue adds a waiter. The caller holds mu.
func (e *Engine) enqueue(s *stream) *waiter {
	e.arrivals++
	w := &waiter{
		priority: s.priority,
		seq:      e.arrivals,
		tokens:   len(s.prompt) + len(s.cont),
		ready:    make(chan struct{}),
	}
	e.queue.add(w)
	e.changed()
	return w
}

// abandon takes a waiter out. If it got its slot at the same moment, the slot
// goes to the next.
func (e *Engine) abandon(w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.queue.remove(w) {
		e.freeSlot()
		return
	}
	e.changed()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeSlot()
}

// freeSlot hands a slot on. The caller holds mu.
func (e *Engine) freeSlot() {
	if next := e.queue.next(); next != nil {
		close(next.ready)
	} else {
		e.running--
	}
	e.changed()
}
