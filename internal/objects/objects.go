// Package objects defines the interface through which daemons use the platform's
// object store: reads, watches and conditional writes. Package
// platform/store implements it; tests also have an implementation in memory.
package objects

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("objects")

// Errors that callers handle. After any other error of a write it is unknown
// whether the write took effect, unless the error's verdict is not-run.
var (
	// ErrGone means that a watch's revision is older than the history that the
	// store keeps.
	ErrGone = Error.New("the history after the revision is no longer available")
	// ErrConflict means that a write's condition didn't hold, so that it had no
	// effect. Replace describes the exception.
	ErrConflict = Error.New("the object is at another revision")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = Error.New("the object does not exist")
)

// Object is a stored value. Revision is the store's revision at the object's last
// change, as RevisionIn returns it.
type Object struct {
	Name     string
	Revision uint64
	Spec     json.RawMessage
	Status   json.RawMessage
}

// Change is an object's new value or, if Deleted is set, its deletion.
type Change struct {
	Object  Object
	Deleted bool
}

// WatchSlack is how much longer than its wait a watch may take until its answer
// begins. After that the watch fails and its connection counts as unresponsive.
const WatchSlack = 600 * time.Millisecond

// Store is the platform's object store. All methods are safe for concurrent
// use and return when their context ends.
type Store interface {
	// List returns the objects of a kind and the store's revision at that time.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch returns the changes of a kind after a revision, and the revision to
	// pass to the next call. It returns as soon as there is a change, or without
	// changes when wait is over. An answer that hasn't begun WatchSlack later is
	// an error. Watch returns ErrGone also if the store was restored from an
	// older copy since that revision.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create creates an object. ErrConflict means that it exists already; the
	// existing object is returned if the store's answer holds it.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error)
	// Replace writes an object's spec if the object is at the given revision; 0
	// matches any. It returns ErrConflict as Create does, and always if the
	// store was restored from an older copy since that revision; in that case
	// the write may have taken effect.
	Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (Object, error)
	// SetStatus writes an object's status if the object is at the given
	// revision. It returns the errors of Replace.
	SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) (Object, error)
	// Delete deletes an object.
	Delete(ctx context.Context, kind, name string) error
}
