package template

import (
	"encoding/json"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// Revision is a template at a version, as daemons put it in force and send it
// to peers. It has no audit trail, so no change can be planned on it: writing
// it back would erase the trail. Value is kept as read, because a daemon of an
// older release that encoded it anew would drop unknown keys and send the rest
// under the same version.
type Revision struct {
	Name    string
	Version uint64
	Deleted bool
	Value   json.RawMessage // the template's JSON, empty where Deleted
}

// RevisionOf decodes an object of Kind.
func RevisionOf(object objectapi.Object) (Revision, error) {
	out := Revision{Name: object.Name, Version: object.Version, Deleted: object.Deleted}
	if object.Deleted || len(object.Value) == 0 {
		out.Deleted = true
		return out, nil
	}
	var stored struct {
		Deleted  bool            `json:"deleted"`
		Template json.RawMessage `json:"template"`
	}
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return out, Error.New("object %q, version %d: %w", object.Name, object.Version, err)
	}
	out.Deleted, out.Value = stored.Deleted, stored.Template
	if out.Deleted {
		out.Value = nil
	}
	return out, nil
}

// RevisionsOf decodes the objects of a list or a watch. It skips objects of
// other kinds. An object that can't be decoded gives a revision with an empty
// Value, which Store.Apply reports as unusable.
func RevisionsOf(objects []objectapi.Object) []Revision {
	out := make([]Revision, 0, len(objects))
	for _, object := range objects {
		if object.Kind != Kind {
			continue
		}
		r, _ := RevisionOf(object)
		out = append(out, r)
	}
	return out
}

// Revision returns the record's revision, without the audit trail.
func (r Record) Revision() (Revision, error) {
	out := Revision{Name: r.Name, Version: r.Version, Deleted: r.Deleted}
	if r.Deleted || r.Template == nil {
		return out, nil
	}
	value, err := r.Template.JSON()
	out.Value = value
	return out, err
}
