package template

import "time"

// CaughtUp records that everything in a full list of the store, or in the
// response of a peer that had caught up, has been applied.
func (s *Store) CaughtUp(now time.Time) {
	s.caughtUp = true
	s.lastConfirmed = now
}

// Ready reports whether callers may be served. It stays true once the store has
// caught up: a daemon that later reaches neither the store nor a peer continues
// with what it has in force.
func (s *Store) Ready() bool { return s.caughtUp }

// SinceConfirmed returns the time since the platform's store or a peer last
// confirmed what is in force; 0 before the store has caught up.
func (s *Store) SinceConfirmed(now time.Time) time.Duration {
	if !s.caughtUp {
		return 0
	}
	return now.Sub(s.lastConfirmed)
}

// Confirmed records that what is in force was confirmed, for instance by a
// watch of the platform's store that ended without changes.
func (s *Store) Confirmed(now time.Time) { s.lastConfirmed = now }
