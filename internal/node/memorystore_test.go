package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// memoryStore is an object store in memory that can be down.
type memoryStore struct {
	mu       sync.Mutex
	down     bool
	revision uint64
	objects  map[string]map[string]objects.Object // by kind and name
	log      []logged
	changed  chan struct{}
}

type logged struct {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errDown
	}
	var all []objects.Object
	for _, o := range s.objects[kind] {
		all = append(all, o)
	}
	return all, s.revision, nil
}

func (s *memoryStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]objects.Change, uint64, error) {
	late := time.After(wait)
	for {
		s.mu.Lock()
		var out []objects.Change
		for _, l := range s.log {
			if l.kind == kind && l.change.Object.Revision > after {
				out = append(out, l.change)
			}
		}
		down, revision, changed := s.down, s.revision, s.changed
		s.mu.Unlock()
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.Object{}, verdict.Wrap(verdict.NotRun, errDown)
	}
	old, there := s.objects[kind][name]
	if !may(old, there) {
		return old, objects.ErrConflict
	}
	s.revision++
	o := objects.Object{Name: name, Revision: s.revision, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]objects.Object{}
	}
	s.objects[kind][name] = o
	s.log = append(s.log, logged{kind, objects.Change{Object: o}})
	s.wake()
	return o, nil
}

func (s *memoryStore) Delete(context.Context, string, string) error { return errDown }
