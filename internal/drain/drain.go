// Package drain holds operators' wishes that an endpoint get no new work. Each
// is an object of its own with its audit trail, written in one write.
package drain

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/audit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// Kind is the kind of the objects; an object's name is the endpoint's id.
const Kind = "drain"

// Error is the class of errors of this package.
var Error = errs.Class("drain")

// Record is a stored wish.
type Record struct {
	Endpoint fleet.EndpointID `json:"-"`
	Version  uint64           `json:"-"`
	Draining bool             `json:"draining"`
	Audit    audit.Trail      `json:"audit"`
}

// RecordOf reads an object of Kind. A deleted one is no wish.
func RecordOf(o objectapi.Object) (Record, error) {
	r := Record{Endpoint: fleet.EndpointID(o.Name), Version: o.Version}
	if o.Deleted || len(o.Value) == 0 {
		return r, nil
	}
	return r, Error.Wrap(json.Unmarshal(o.Value, &r))
}

// Next returns the value that changes the record, with its audit entry.
func (r Record) Next(now time.Time, draining bool, who, why, operation string) (json.RawMessage, error) {
	action := audit.Amended
	if r.Version == 0 {
		action = audit.Created
	}
	state, err := json.Marshal(draining)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e := audit.Entry{
		Who: who, When: now.UnixMilli(), Action: action, From: r.Version,
		Why: why, Digest: audit.Digest(state), Operation: operation,
	}
	if err := e.Check(); err != nil {
		return nil, err
	}
	value, err := json.Marshal(Record{Draining: draining, Audit: r.Audit.Append(e)})
	return value, Error.Wrap(err)
}

// Set is the wishes that a daemon knows. Not safe for concurrent use.
type Set struct {
	versions map[fleet.EndpointID]uint64
	draining map[fleet.EndpointID]bool
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{versions: make(map[fleet.EndpointID]uint64), draining: make(map[fleet.EndpointID]bool)}
}

// Apply takes a record unless a newer one is known. It reports whether the
// endpoint's state changed.
func (s *Set) Apply(r Record) bool {
	if r.Version <= s.versions[r.Endpoint] {
		return false
	}
	s.versions[r.Endpoint] = r.Version
	changed := s.draining[r.Endpoint] != r.Draining
	s.draining[r.Endpoint] = r.Draining
	return changed
}

// Draining reports whether an endpoint is to get no new work.
func (s *Set) Draining(id fleet.EndpointID) bool { return s.draining[id] }
