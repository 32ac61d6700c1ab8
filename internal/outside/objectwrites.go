package outside

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/dghubble/sling"
)

// Create writes an object that must not exist and returns it with its version;
// Conflict where it exists.
func (o Objects) Create(ctx context.Context, kind, name string, value json.RawMessage) (objectapi.Object, error) {
	path, err := objectPath(kind, name)
	if err != nil {
		return objectapi.Object{}, err
	}
	request := o.caller.base.New().Put(path).Set(objectapi.IfNoneMatch, "*")
	return o.write(ctx, o.writing("create", kind), request, value)
}

// Update replaces an object that must be at ifVersion; Conflict where it isn't.
func (o Objects) Update(ctx context.Context, kind, name string, value json.RawMessage, ifVersion uint64) (objectapi.Object, error) {
	path, err := objectPath(kind, name)
	if err != nil {
		return objectapi.Object{}, err
	}
	request := o.caller.base.New().Put(path).Set(objectapi.IfMatch, strconv.FormatUint(ifVersion, 10))
	return o.write(ctx, o.writing("update", kind), request, value)
}

// Delete removes an object that must be at ifVersion and returns its
// tombstone; Conflict where it isn't.
func (o Objects) Delete(ctx context.Context, kind, name string, ifVersion uint64) (objectapi.Object, error) {
	path, err := objectPath(kind, name)
	if err != nil {
		return objectapi.Object{}, err
	}
	request := o.caller.base.New().Delete(path).Set(objectapi.IfMatch, strconv.FormatUint(ifVersion, 10))
	return o.write(ctx, o.writing("delete", kind), request, nil)
}

func (o Objects) writing(op, kind string) operation {
	return operation{
		kind:    budget.ObjectWrite,
		class:   o.class,
		op:      op,
		object:  kind,
		write:   true,
		refuses: true,
		timeout: callTimeout,
		limit:   objectLimit,
	}
}

func (o Objects) write(ctx context.Context, call operation, request *sling.Sling, value json.RawMessage) (objectapi.Object, error) {
	if len(value) > objectapi.MaxValueBytes {
		return objectapi.Object{}, &Rejected{Status: http.StatusRequestEntityTooLarge, Detail: "the value is longer than a megabyte"}
	}
	req, err := request.Set("Content-Type", "application/json").Request()
	if err != nil {
		return objectapi.Object{}, Error.Wrap(err)
	}
	sendOnce(req, value)
	a, err := o.caller.do(ctx, call, req)
	if statusOf(err) == http.StatusPreconditionFailed {
		return objectapi.Object{}, conflictOf(a)
	}
	if err != nil {
		return objectapi.Object{}, err
	}
	return writtenObject(a, value)
}

// conflictOf reads the current object from a 412.
func conflictOf(a answer) error {
	var current objectapi.Object
	if err := json.Unmarshal(a.body, &current); err != nil {
		return &Rejected{Status: a.status, Detail: "the answer names no current object"}
	}
	return &Conflict{Current: current}
}

// writtenObject reads the answer to a write that took effect. One that can't
// be read leaves the version unknown, like a lost answer. The answer need not repeat the
// value.
func writtenObject(a answer, value json.RawMessage) (objectapi.Object, error) {
	var written objectapi.Object
	if err := json.Unmarshal(a.body, &written); err != nil {
		return objectapi.Object{}, ambiguous(err)
	}
	if written.Version == 0 {
		return objectapi.Object{}, ambiguous(Error.New("the answer has no version"))
	}
	written.Value = value
	return written, nil
}
