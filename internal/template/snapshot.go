package template

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Snapshot is the merged result of all templates in force, for request
// handlers. It is immutable and safe for concurrent use.
type Snapshot struct {
	Digest         Digest
	Models         []Model         // that engines must have loaded, one per Ref with its strictest requirements, in a fixed order
	Closings       []Closing       // of all workspaces, in a fixed order
	TokenConflicts []TokenConflict // tokens that are rejected
	workspaces     map[fleet.WorkspaceID]*Workspace
	services       map[string][]call
	tokens         credentials
	versions       map[string]uint64
}

// TokenConflict is a token that templates assign to two workspaces.
type TokenConflict struct {
	Hash   [32]byte
	First  fleet.WorkspaceID
	Second fleet.WorkspaceID
}

// call is a non-idempotent call of a service.
type call struct {
	method  string // * for any
	pattern pattern
}

// Authenticate returns the workspace of a bearer token that is valid at now.
func (s *Snapshot) Authenticate(now time.Time, token []byte) (*Workspace, bool) {
	return s.tokens.find(now, token)
}

// Workspace returns a workspace by its id.
func (s *Snapshot) Workspace(id fleet.WorkspaceID) (*Workspace, bool) {
	w, ok := s.workspaces[id]
	return w, ok
}

// WorkspaceCount returns the number of workspaces in force.
func (s *Snapshot) WorkspaceCount() int { return len(s.workspaces) }

// EachWorkspace calls f for each workspace, in no fixed order.
func (s *Snapshot) EachWorkspace(f func(*Workspace)) {
	for _, w := range s.workspaces {
		f(w)
	}
}

// Version returns a template's version in force; 0 if there is none or it is
// deleted.
func (s *Snapshot) Version(name string) uint64 { return s.versions[name] }

// HasService reports whether any template lists a plain service.
func (s *Snapshot) HasService(name string) bool {
	_, ok := s.services[name]
	return ok
}

// NonIdempotent reports whether a call of a plain service must run at most
// once. The path is the service's own, decoded, without its query. A call that
// any template lists is non-idempotent for every workspace, because they share
// the service. All calls of a service that no template lists are
// non-idempotent.
func (s *Snapshot) NonIdempotent(method, service, path string) bool {
	calls, known := s.services[service]
	if !known {
		return true
	}
	for i := range calls {
		if calls[i].method != "*" && calls[i].method != method {
			continue
		}
		if calls[i].pattern.match(path) {
			return true
		}
	}
	return false
}
