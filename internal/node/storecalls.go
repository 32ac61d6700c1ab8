package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// countedStore counts the calls to the store: each one is billed, and their results are
// the first sign of an outage.
type countedStore struct {
	store   objects.Store
	metrics *metricSet
}

var _ objects.Store = (*countedStore)(nil)

// Names of the calls, as the metric's label.
const (
	callList    = "list"
	callWatch   = "watch"
	callGet     = "get"
	callCreate  = "create"
	callReplace = "replace"
	callStatus  = "status"
	callDelete  = "delete"
)

// count counts a call by its result.
func (c *countedStore) count(call, kind string, err error) {
	c.metrics.set.GetOrCreateCounter(fmt.Sprintf(
		`cyclamenbeam_store_calls_total{call=%q,kind=%q,result=%q}`, call, kind, storeResult(err),
	)).Inc()
}

// storeResult returns a result as the metric's label.
func storeResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, objects.ErrConflict):
		return "conflict"
	case errors.Is(err, objects.ErrNotFound):
		return "not-found"
	case errors.Is(err, objects.ErrGone):
		return "gone"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case verdict.Of(err) == verdict.NotRun:
		return "refused"
	default:
		return "unanswered"
	}
}

// List implements objects.Store.
func (c *countedStore) List(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
	all, revision, err := c.store.List(ctx, kind)
	c.count(callList, kind, err)
	return all, revision, err
}

// Watch implements objects.Store.
func (c *countedStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]objects.Change, uint64, error) {
	changes, revision, err := c.store.Watch(ctx, kind, after, wait)
	c.count(callWatch, kind, err)
	return changes, revision, err
}

// Get implements objects.Store.
func (c *countedStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	o, err := c.store.Get(ctx, kind, name)
	c.count(callGet, kind, err)
	return o, err
}

// Create implements objects.Store.
func (c *countedStore) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objects.Object, error) {
	o, err := c.store.Create(ctx, kind, name, spec)
	c.count(callCreate, kind, err)
	return o, err
}

// Replace implements objects.Store.
func (c *countedStore) Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (objects.Object, error) {
	o, err := c.store.Replace(ctx, kind, name, revision, spec)
	c.count(callReplace, kind, err)
	return o, err
}

// SetStatus implements objects.Store.
func (c *countedStore) SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) (objects.Object, error) {
	o, err := c.store.SetStatus(ctx, kind, name, revision, status)
	c.count(callStatus, kind, err)
	return o, err
}

// Delete implements objects.Store.
func (c *countedStore) Delete(ctx context.Context, kind, name string) error {
	err := c.store.Delete(ctx, kind, name)
	c.count(callDelete, kind, err)
	return err
}
