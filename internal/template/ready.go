package template

import "time"

// CaughtUp notes that everything in a full list of the store, or in the answer
// of a peer that had caught up, has been applied.
func (s *Store) CaughtUp(now time.Time) {
	s.caughtUp = true
	s.contact = now
}

// Ready reports whether callers may be served: once caught up, always. A
// daemon that then reaches neither the store nor a peer goes on with what it
// has; see the decision record on the order of configuration.
func (s *Store) Ready() bool { return s.caughtUp }

// Isolated returns for how long nobody has confirmed what is in force.
func (s *Store) Isolated(now time.Time) time.Duration {
	if !s.caughtUp {
		return 0
	}
	return now.Sub(s.contact)
}

// Contact notes an answer of the store, such as a watch that ran out without
// changes, or a peer with an equal digest.
func (s *Store) Contact(now time.Time) { s.contact = now }
