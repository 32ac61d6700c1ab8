// Package objects is what daemons need of the platform's object store: typed
// reads, watches and conditional writes. Implementations stand in platform/
// and in this project's stand-ins.
package objects

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("objects")

// The refusals that callers act on. Any other error of a write leaves open
// whether it took effect, unless its verdict is not-run.
var (
	// ErrGone says that a watch's revision is older than the kept history.
	ErrGone = Error.New("the history asked for is gone")
	// ErrConflict says that a write lost its condition and had no effect.
	ErrConflict = Error.New("another revision stands")
	// ErrNotFound says that there is no such object.
	ErrNotFound = Error.New("no such object")
)

// Object is a stored value. Revision is the store's at its last change; RevisionIn
// says what it is made of.
type Object struct {
	Name     string
	Revision uint64
	Spec     json.RawMessage
	Status   json.RawMessage
}

// Change is an object's new value or, where Deleted, its end.
type Change struct {
	Object  Object
	Deleted bool
}

// WatchSlack is how much longer than its wait a watch may take until its answer
// begins. One that takes longer isn't answered: its connection counts as silent.
const WatchSlack = 600 * time.Millisecond

// Store is the platform's object store. All methods are safe for concurrent
// use and end by their context.
type Store interface {
	// List returns the objects of a kind and the revision of the list.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch returns the changes of a kind after a revision, and the revision
	// to go on from, as soon as there is one or wait is over. An answer that
	// hasn't begun WatchSlack later is an error. ErrGone as well
	// where the store has come back from an older copy since that revision.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create makes an object. ErrConflict: there is one, which is returned
	// where the store told it.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error)
	// Replace writes an object's spec if it is at a revision; 0 is any.
	// ErrConflict as in Create, and always where the store has come back from
	// an older copy since that revision: the write may stand then.
	Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (Object, error)
	// SetStatus writes an object's status if the object is at a revision. Errors as
	// of Replace.
	SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) (Object, error)
	// Delete ends an object.
	Delete(ctx context.Context, kind, name string) error
}
