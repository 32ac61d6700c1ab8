package outside

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
)

const (
	// callTimeout bounds a call; the platform answers in milliseconds.
	callTimeout = 2 * time.Second
	// listTimeout bounds a list, which may be long.
	listTimeout = 10 * time.Second
	// objectLimit bounds an object's answer: its value and the JSON around it.
	objectLimit = objectapi.MaxValueBytes + 64<<10
	// listLimit bounds the answer to a list or a watch, in bytes.
	listLimit = 64 << 20
)

// Objects is the client of the object API. It is a small value: As makes a
// copy that calls with another class.
type Objects struct {
	caller *caller
	class  budget.Class
}

// As returns a client whose calls have the class.
func (o Objects) As(class budget.Class) Objects {
	o.class = class
	return o
}

// Get returns an object, or NotFound.
func (o Objects) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	path, err := objectPath(kind, name)
	if err != nil {
		return objectapi.Object{}, err
	}
	req, err := o.caller.base.New().Get(path).Request()
	if err != nil {
		return objectapi.Object{}, Error.Wrap(err)
	}
	a, err := o.caller.do(ctx, o.read("get", kind, objectLimit), req)
	if statusOf(err) == http.StatusNotFound {
		return objectapi.Object{}, &NotFound{Kind: kind, Name: name}
	}
	return decoded[objectapi.Object](a, err)
}

// List returns the live objects of a kind whose names begin with prefix.
func (o Objects) List(ctx context.Context, kind, prefix string) (objectapi.List, error) {
	path := objectapi.ObjectsPath + url.PathEscape(kind)
	query := listQuery{Prefix: prefix}
	req, err := o.caller.base.New().Get(path).QueryStruct(query).Request()
	if err != nil {
		return objectapi.List{}, Error.Wrap(err)
	}
	call := o.read("list", kind, listLimit)
	call.timeout = listTimeout
	return decoded[objectapi.List](o.caller.do(ctx, call, req))
}

type listQuery struct {
	Prefix string `url:"prefix,omitempty"`
}

func (o Objects) read(op, kind string, limit int64) operation {
	return operation{
		kind:    budget.ObjectRead,
		class:   o.class,
		op:      op,
		object:  kind,
		refuses: true,
		timeout: callTimeout,
		limit:   limit,
	}
}

// objectPath escapes the kind and the name. Names that path cleaning would
// change are invalid.
func objectPath(kind, name string) (string, error) {
	if kind == "" || name == "" || name == "." || name == ".." || strings.Contains(kind, "/") {
		return "", &Rejected{Status: http.StatusBadRequest, Detail: "an object has a kind and a name"}
	}
	return objectapi.ObjectsPath + url.PathEscape(kind) + "/" + url.PathEscape(name), nil
}

// statusOf returns the status of a rejection, 0 for any other error.
func statusOf(err error) int {
	var r *Rejected
	if errors.As(err, &r) {
		return r.Status
	}
	return 0
}

// decoded reads the JSON of a read's answer that is not an error.
func decoded[T any](a answer, err error) (T, error) {
	var v T
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(a.body, &v); err != nil {
		return v, &Unavailable{Err: Error.Wrap(err)}
	}
	return v, nil
}
