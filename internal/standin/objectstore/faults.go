package objectstore

import (
	"math/rand"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// SetFaults switches the faults. A waiting watch ends at once in an outage.
func (s *Store) SetFaults(f objectapi.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.random = rand.New(rand.NewSource(f.Seed))
	s.wake()
}

// Faults returns the faults that are switched on.
func (s *Store) Faults() objectapi.Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// losesAnswer draws whether the answer of a write that took effect is lost.
func (s *Store) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
}
