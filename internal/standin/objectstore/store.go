// Package objectstore is an in-memory stand-in of the platform's object API
// (package objectapi). It has the platform's difficult properties: conditional writes,
// a bounded watch log, outages, slowness and answers that are lost after the
// write took effect. A restart forgets everything.
package objectstore

import (
	"encoding/json"
	"math/rand"
	"sort"
	"strings"
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// Store holds the objects. All methods are safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[objectKey]objectapi.Object
	version uint64
	log     changeLog
	changed chan struct{} // closed and replaced on each change of objects or faults
	faults  objectapi.Faults
	random  *rand.Rand
	calls   objectapi.Calls
}

type objectKey struct{ kind, name string }

// New returns an empty store.
func New(o Options) *Store {
	o = o.withDefaults()
	return &Store{
		objects: make(map[objectKey]objectapi.Object),
		log:     changeLog{maxChanges: o.LogChanges, maxBytes: o.LogBytes},
		changed: make(chan struct{}),
		random:  rand.New(rand.NewSource(0)),
		calls:   objectapi.Calls{ByKind: make(map[string]uint64)},
	}
}

// condition is what a write asks of the current object.
type condition struct {
	absent  bool   // the object must not exist
	version uint64 // otherwise its version
}

func (c condition) holds(current objectapi.Object, exists bool) bool {
	if c.absent {
		return !exists
	}
	return exists && current.Version == c.version
}

// get returns an object and whether it exists.
func (s *Store) get(kind, name string) (objectapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	return o, ok
}

// list returns the live objects of a kind whose names begin with prefix, by name.
func (s *Store) list(kind, prefix string) objectapi.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []objectapi.Object{}
	for k, o := range s.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return objectapi.List{Objects: found, Version: s.version}
}

// put writes value when the condition holds and returns the written object;
// otherwise the current one, Version 0 where there is none.
func (s *Store) put(kind, name string, value json.RawMessage, c condition) (objectapi.Object, bool) {
	return s.write(objectapi.Object{Kind: kind, Name: name, Value: value}, c)
}

// remove deletes the object when the condition holds and returns its tombstone.
func (s *Store) remove(kind, name string, c condition) (objectapi.Object, bool) {
	return s.write(objectapi.Object{Kind: kind, Name: name, Deleted: true}, c)
}

func (s *Store) write(o objectapi.Object, c condition) (objectapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{o.Kind, o.Name}
	current, exists := s.objects[key]
	if !c.holds(current, exists) {
		current.Kind, current.Name = o.Kind, o.Name
		return current, false
	}
	s.version++
	o.Version = s.version
	if o.Deleted {
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.log.append(o)
	s.wake()
	return o, true
}

// wake makes every waiting watch check again. The caller holds the mutex.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
