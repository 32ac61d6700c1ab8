package objectstore

import (
	"maps"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// Calls returns the counts since the start. ByKind is keyed by operation and
// kind of object, as in "put template"; a watch counts once, as "watch". Calls
// that a fault refuses count as well, since the platform would count them.
func (s *Store) Calls() objectapi.Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	calls.ByKind = maps.Clone(s.calls.ByKind)
	return calls
}

func (s *Store) countRead(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	s.calls.ByKind[what]++
}

func (s *Store) countWrite(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	s.calls.ByKind[what]++
}
