package admission

import "time"

// leases lists running requests by expiry. All leases have the same duration,
// so a new or extended one goes to the end and no heap is needed.
type leases struct {
	root requestState // sentinel of a circular list; root.next expires first
}

func (l *leases) init() {
	l.root.next, l.root.prev = &l.root, &l.root
}

func (l *leases) add(r *requestState, expires time.Duration) {
	r.expires = expires
	last := l.root.prev
	r.prev, r.next = last, &l.root
	last.next, l.root.prev = r, r
}

func (l *leases) remove(r *requestState) {
	r.prev.next, r.next.prev = r.next, r.prev
	r.prev, r.next = nil, nil
}

// first returns the request whose lease expires first, or nil.
func (l *leases) first() *requestState {
	if l.root.next == &l.root {
		return nil
	}
	return l.root.next
}
