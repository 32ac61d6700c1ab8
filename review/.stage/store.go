package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store, as PROTOCOL.md describes it.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is a stand-in of the platform's store: linearizable, with one revision counter,
// lists, watches and conditional writes. It never loses anything and answers at once.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []event
	changed  chan struct{} // closed and replaced with each event
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object for the operator or a server.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

// remove removes an object for the platform.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.delete(kind, o)
	}
}

// write creates an object or replaces its spec. The lock is held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	s.revision++
	if !ok {
		o.Metadata.Name, o.Metadata.Created = name, s.revision
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.objects[kind][name] = o
	s.append(event{Object: o, kind: kind})
	return o
}

// setStatus replaces an object's status. The lock is held.
func (s *store) setStatus(kind string, o object, status json.RawMessage) object {
	s.revision++
	o.Metadata.Revision, o.Status = s.revision, status
	s.objects[kind][o.Metadata.Name] = o
	s.append(event{Object: o, kind: kind})
	return o
}

// delete removes an object. The lock is held.
func (s *store) delete(kind string, o object) object {
	delete(s.objects[kind], o.Metadata.Name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.append(event{Object: o, Deleted: true, kind: kind})
	return o
}

// append adds an event and wakes the watches. The lock is held.
func (s *store) append(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	status, out := s.handle(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) handle(r *http.Request, body []byte) (int, any) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		return s.list(kind, query.Get("after"))
	}
	var in object
	_ = json.Unmarshal(body, &in)
	condition := in.Metadata.Revision
	if condition == 0 {
		condition, _ = strconv.ParseUint(query.Get("revision"), 10, 64)
	}
	if name == "" {
		name = in.Metadata.Name
	}
	name, status := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, old
	case condition != 0 && condition != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		return http.StatusOK, s.delete(kind, old)
	case r.Method == http.MethodPut && status:
		return http.StatusOK, s.setStatus(kind, old, in.Status)
	case r.Method == http.MethodPut && string(in.Spec) == string(old.Spec):
		return http.StatusOK, old
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, name, in.Spec)
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return http.StatusOK, map[string]any{"items": items, "more_pages": false, "current_rev": s.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	late := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []event{}
		s.mu.Lock()
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if after > revision {
			return http.StatusGone, nil
		}
		answer := map[string]any{"events": events, "current_rev": revision}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-late:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}
