package admission

// notInHeap is the index of an item in no heap.
const notInHeap = -1

// heap is a binary heap that reports each item's index through moved, so that
// any item can be removed. container/heap would box each item on Push and Pop.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(item T, index int)
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) pop() T {
	item := h.items[0]
	h.remove(0)
	return item
}

func (h *heap[T]) remove(i int) {
	var zero T
	last := len(h.items) - 1
	h.moved(h.items[i], notInHeap)
	moved := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	if i == last {
		return
	}
	h.items[i] = moved
	h.fix(i)
}

// fix restores the heap order after the item at i changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	item := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(item, h.items[parent]) {
			break
		}
		h.set(i, h.items[parent])
		i = parent
	}
	h.set(i, item)
}

// down reports whether the item moved.
func (h *heap[T]) down(i int) bool {
	item, start := h.items[i], i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], item) {
			break
		}
		h.set(i, h.items[child])
		i = child
	}
	h.set(i, item)
	return i != start
}

func (h *heap[T]) set(i int, item T) {
	h.items[i] = item
	h.moved(item, i)
}
