package node

import (
	"maps"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
)

// search is a question to other daemons about a stream's origin, of one or several requests.
type search struct {
	requests int
	left     map[string]bool // daemons that haven't answered
	done     chan struct{}   // closed once the origin is found, or all have answered
	closed   bool
}

// beginSearch begins a search, or joins the one in progress.
func (o *origins) beginSearch(k origin.Key, homes []string) *search {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.searches[k]
	if s == nil {
		s = &search{left: map[string]bool{}, done: make(chan struct{})}
		for _, address := range homes {
			s.left[address] = true
		}
		o.searches[k] = s
	}
	s.requests++
	return s
}

// endSearch ends a request's part in a search.
func (o *origins) endSearch(k origin.Key, s *search) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.requests--; s.requests == 0 {
		delete(o.searches, k)
	}
}

// unanswered returns the daemons that haven't answered.
func (o *origins) unanswered(s *search) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(s.left))
}

// found ends the wait for an answer. The lock is held; s is nil without a search.
func (s *search) found() {
	if s != nil && !s.closed {
		s.closed = true
		close(s.done)
	}
}

// answered records an answer that doesn't end the wait unless it is the last one: the daemon doesn't
// know the origin, or has restored it. The lock is held.
func (s *search) answered(address string) {
	if s == nil {
		return
	}
	delete(s.left, address)
	if len(s.left) == 0 {
		s.found()
	}
}
