package node

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// memoryStore is an object store in memory that can be down.
type memoryStore struct {
	mu        sync.Mutex
	down      bool
	era       uint64
	revision  uint64                               // the counter; revisionNow adds the era
	objects   map[string]map[string]objects.Object // by kind and name
	changes   []loggedChange
	oldest    uint64 // the counter up to which the history was dropped
	reads     int    // watches that don't wait
	changed   chan struct{}
	listCalls int
	calls     atomic.Int64 // of all kinds
}

type loggedChange struct {
	kind   string
	change objects.Change
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]map[string]objects.Object{}, changed: make(chan struct{})}
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *memoryStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

var errDown = objects.Error.New("down")

func (s *memoryStore) List(_ context.Context, kind string) ([]objects.Object, uint64, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errDown
	}
	s.listCalls++
	var all []objects.Object
	for _, o := range s.objects[kind] {
		all = append(all, o)
	}
	return all, s.revisionNow(), nil
}

// revisionNow returns the revision that calls return. The lock is held.
func (s *memoryStore) revisionNow() uint64 { return objects.RevisionIn(s.era, s.revision) }

// storeSnapshot is the store's content at a moment.
type storeSnapshot struct {
	revision uint64
	objects  map[string]map[string]objects.Object
}

func (s *memoryStore) snapshot() storeSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := storeSnapshot{revision: s.revision, objects: map[string]map[string]objects.Object{}}
	for kind, all := range s.objects {
		out.objects[kind] = maps.Clone(all)
	}
	return out
}

// restore restores a snapshot: the counter goes back, so that its numbers are used
// again, and the era rises.
func (s *memoryStore) restore(c storeSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.changes, s.oldest = c.revision, nil, c.revision
	s.objects = map[string]map[string]objects.Object{}
	for kind, all := range c.objects {
		s.objects[kind] = map[string]objects.Object{}
		for name, o := range all {
			o.Revision = objects.RevisionIn(s.era, objects.CounterOf(o.Revision))
			s.objects[kind][name] = o
		}
	}
	s.wake()
}

// dropHistory drops the changes up to now.
func (s *memoryStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.changes = s.revision, nil
}

// takeReadCount returns the number of watches that didn't wait since the last call, and resets it.
func (s *memoryStore) takeReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.reads
	s.reads = 0
	return n
}

// takeListCount returns the number of lists since the last call, and resets it.
func (s *memoryStore) takeListCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.listCalls
	s.listCalls = 0
	return n
}

func (s *memoryStore) SetStatus(_ context.Context, kind, name string, revision uint64, status json.RawMessage) (objects.Object, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.Object{}, verdict.Wrap(verdict.NotRun, errDown)
	}
	o, ok := s.objects[kind][name]
	switch {
	case !ok:
		return objects.Object{}, objects.ErrNotFound
	case revision != 0 && o.Revision != revision:
		return o, objects.ErrConflict
	}
	s.revision++
	o.Revision, o.Status = s.revisionNow(), status
	s.objects[kind][name] = o
	s.changes = append(s.changes, loggedChange{kind, objects.Change{Object: o}})
	s.wake()
	return o, nil
}

func (s *memoryStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]objects.Change, uint64, error) {
	s.calls.Add(1)
	if wait == 0 {
		s.mu.Lock()
		s.reads++
		s.mu.Unlock()
	}
	late := time.After(wait)
	for {
		s.mu.Lock()
		var out []objects.Change
		for _, l := range s.changes {
			if l.kind == kind && l.change.Object.Revision > after {
				out = append(out, l.change)
			}
		}
		down, revision, changed := s.down, s.revisionNow(), s.changed
		past := objects.EraOf(after) != s.era || objects.CounterOf(after) < s.oldest
		s.mu.Unlock()
		if past {
			return nil, 0, objects.ErrGone
		}
		if down {
			return nil, 0, errDown
		}
		if len(out) > 0 {
			return out, revision, nil
		}
		select {
		case <-changed:
		case <-late:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *memoryStore) Get(_ context.Context, kind, name string) (objects.Object, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	switch {
	case s.down:
		return o, errDown
	case !ok:
		return o, objects.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) Create(_ context.Context, kind, name string, spec json.RawMessage) (objects.Object, error) {
	return s.put(kind, name, spec, func(_ objects.Object, there bool) bool { return !there })
}

func (s *memoryStore) Replace(_ context.Context, kind, name string, revision uint64, spec json.RawMessage) (objects.Object, error) {
	return s.put(kind, name, spec, func(o objects.Object, there bool) bool {
		return there && (revision == 0 || revision == o.Revision)
	})
}

func (s *memoryStore) put(kind, name string, spec json.RawMessage, may func(objects.Object, bool) bool) (objects.Object, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.Object{}, verdict.Wrap(verdict.NotRun, errDown)
	}
	old, exists := s.objects[kind][name]
	if !may(old, exists) {
		return old, objects.ErrConflict
	}
	s.revision++
	o := objects.Object{Name: name, Revision: s.revisionNow(), Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]objects.Object{}
	}
	s.objects[kind][name] = o
	s.changes = append(s.changes, loggedChange{kind, objects.Change{Object: o}})
	s.wake()
	return o, nil
}

func (s *memoryStore) Delete(_ context.Context, kind, name string) error {
	s.remove(kind, name)
	return nil
}

// remove removes an object.
func (s *memoryStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Revision = s.revisionNow()
	s.changes = append(s.changes, loggedChange{kind, objects.Change{Object: o, Deleted: true}})
	s.wake()
}
