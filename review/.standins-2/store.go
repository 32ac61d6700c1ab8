package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
type store struct {
	mu      sync.Mutex
	rev     uint64
	era     uint64
	objects map[string]map[string]*object
	history []event
	changed chan struct{}
	address string
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created,omitempty"`
	Finalizers []string `json:"finalizers,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore(address string) (*store, error) {
	s := &store{rev: 1, era: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object for the operator or an engine.
func (s *store) put(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, text).Metadata.Revision
}

func (s *store) write(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	if old := s.objects[kind][name]; old != nil && string(old.Spec) == string(spec) {
		return old
	}
	s.rev++
	o := &object{Metadata: metadata{Name: name, Revision: s.rev}, Spec: spec}
	if old := s.objects[kind][name]; old != nil {
		o.Status = old.Status
	}
	s.objects[kind][name] = o
	s.add(event{kind: kind, Object: *o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	gone := *o
	gone.Metadata.Revision = s.rev
	s.add(event{kind: kind, Object: gone, Deleted: true})
}

func (s *store) add(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	status, out := s.handle(r, body)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (s *store) handle(r *http.Request, body []byte) (int, any) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/objects/")
	kind, name, named := strings.Cut(path, "/")
	kind, _ = url.PathUnescape(kind)
	name, onStatus := strings.CutSuffix(name, "/status")
	name, _ = url.PathUnescape(name)
	q := r.URL.Query()
	if r.Method == http.MethodGet && q.Has("watch") {
		return s.watch(r, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet && !named {
		return http.StatusOK, map[string]any{"items": s.list(kind), "more_pages": false, "current_rev": s.rev}
	}
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old := s.objects[kind][name]
	condition := in.Metadata.Revision
	if v, err := strconv.ParseUint(q.Get("revision"), 10, 64); err == nil {
		condition = v
	}
	switch {
	case r.Method == http.MethodPost && old != nil:
		return http.StatusConflict, old
	case r.Method == http.MethodPost:
		return http.StatusOK, s.write(kind, name, in.Spec)
	case old == nil:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, old
	case condition != 0 && condition != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodPut && onStatus:
		s.rev++
		o := *old
		o.Metadata.Revision, o.Status = s.rev, in.Status
		s.objects[kind][name] = &o
		s.add(event{kind: kind, Object: o})
		return http.StatusOK, &o
	case r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, name, in.Spec)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.rev++
		gone := *old
		gone.Metadata.Revision = s.rev
		s.add(event{kind: kind, Object: gone, Deleted: true})
		return http.StatusOK, gone
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *store) list(kind string) []object {
	out := []object{}
	for _, o := range s.objects[kind] {
		out = append(out, *o)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Metadata.Name < out[j].Metadata.Name })
	return out
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	late := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if after > rev {
			return http.StatusGone, nil
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "current_rev": rev}
		}
		select {
		case <-changed:
		case <-late:
			return http.StatusOK, map[string]any{"events": events, "current_rev": rev}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// cloud is a stand-in of the platform's API for duties: it accepts all calls.
func newCloud() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusOK)
		}))
	}()
	return l.Addr().String(), nil
}
