package engine

import "container/heap"

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	seq      uint64
	tokens   int           // of its prompt
	ready    chan struct{} // closed when it got a slot
	index    int           // in the queue, -1 when out of it
}

// waitQueue orders waiters by priority, greater first, then by arrival. The
// caller guards it.
type waitQueue struct {
	items  []*waiter
	tokens int // prompt tokens of all items
}

func (q *waitQueue) Len() int { return len(q.items) }

func (q *waitQueue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.seq < b.seq
}

func (q *waitQueue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index = i
	q.items[j].index = j
}

// Push is for container/heap.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.items)
	q.items = append(q.items, w)
}

// Pop is for container/heap.
func (q *waitQueue) Pop() any {
	last := len(q.items) - 1
	w := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	w.index = -1
	return w
}

func (q *waitQueue) add(w *waiter) {
	heap.Push(q, w)
	q.tokens += w.tokens
}

// next takes the first waiter out, nil if there is none.
func (q *waitQueue) next() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	w := heap.Pop(q).(*waiter)
	q.tokens -= w.tokens
	return w
}

// remove takes w out and reports whether it was there.
func (q *waitQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	q.tokens -= w.tokens
	return true
}
