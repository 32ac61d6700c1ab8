// Package drain stores which endpoints operators have drained: a drained endpoint
// gets no new work. There is one object for each endpoint, which also holds its
// audit trail, so that a change and its audit entry are stored in one write.
package drain

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/audit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// Kind is the kind of the stored objects; an object's name is the endpoint's id.
const Kind = "drain"

// Error is the class of errors of this package.
var Error = errs.Class("drain")

// Record is the stored drain state of an endpoint. Version is the object's version,
// 0 if there is none yet.
type Record struct {
	Endpoint fleet.EndpointID `json:"-"`
	Version  uint64           `json:"-"`
	Draining bool             `json:"draining"`
	Audit    audit.Trail      `json:"audit"`
}

// RecordOf decodes an object of Kind. A deleted or empty object means not drained.
func RecordOf(o objectapi.Object) (Record, error) {
	r := Record{Endpoint: fleet.EndpointID(o.Name), Version: o.Version}
	if o.Deleted || len(o.Value) == 0 {
		return r, nil
	}
	return r, Error.Wrap(json.Unmarshal(o.Value, &r))
}

// Next returns the value to store to change the record, with an audit entry for the
// change.
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

// Set is the newest drain state that a daemon has read of each endpoint. Not safe
// for concurrent use.
type Set struct {
	versions map[fleet.EndpointID]uint64
	draining map[fleet.EndpointID]bool
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{versions: make(map[fleet.EndpointID]uint64), draining: make(map[fleet.EndpointID]bool)}
}

// Apply adds a record unless the set has the same or a newer version of it. It
// reports whether the endpoint's state changed.
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
