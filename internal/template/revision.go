package template

import (
	"encoding/json"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// Revision is a template at a version as daemons put it in force and pass it
// on. It has no audit trail, so that no change can be planned on one: a write
// made from it would wipe the trail. Value stays as it was read, because a
// daemon of an older release would drop the keys it doesn't know and pass the
// rest on under the same version.
type Revision struct {
	Name    string
	Version uint64
	Deleted bool
	Value   json.RawMessage // the template's JSON, empty where Deleted
}

// RevisionOf reads an object of Kind.
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

// RevisionsOf reads the objects of a list or a watch. Objects of other kinds
// are left out; one that can't be read keeps its version with an empty Value,
// which Store.Apply reports as unusable.
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

// Revision returns what daemons put in force of a record.
func (r Record) Revision() (Revision, error) {
	out := Revision{Name: r.Name, Version: r.Version, Deleted: r.Deleted}
	if r.Deleted || r.Template == nil {
		return out, nil
	}
	value, err := r.Template.JSON()
	out.Value = value
	return out, err
}
