package template

import (
	"encoding/json"

	"github.com/cyclamenbeam/cyclamenbeam/internal/audit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// Record is a template's object in the platform's store, with its audit trail.
// Changes are planned on a Record. The zero Record is an object that was never
// written.
type Record struct {
	Name     string      `json:"-"`
	Version  uint64      `json:"-"` // of the object; totally ordered over all templates
	Deleted  bool        `json:"deleted,omitempty"`
	Template *Template   `json:"template,omitempty"` // nil where Deleted
	Audit    audit.Trail `json:"audit"`
}

// RecordOf decodes an object of Kind.
func RecordOf(object objectapi.Object) (Record, error) {
	r := Record{Name: object.Name, Version: object.Version}
	if object.Deleted || len(object.Value) == 0 {
		r.Deleted = true
		return r, nil
	}
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return r, Error.New("object %q, version %d: %w", object.Name, object.Version, err)
	}
	if r.Template == nil && !r.Deleted {
		return r, Error.New("object %q, version %d: holds no template", object.Name, object.Version)
	}
	return r, nil
}

// Value returns the record's encoding for the store.
func (r Record) Value() (json.RawMessage, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(value) > objectapi.MaxValueBytes {
		return nil, Error.New("the record takes %d bytes, the store holds %d", len(value), objectapi.MaxValueBytes)
	}
	return value, nil
}

// Exists reports whether the record holds a template in force.
func (r Record) Exists() bool { return r.Version > 0 && !r.Deleted }
