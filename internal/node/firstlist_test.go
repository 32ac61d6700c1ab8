package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// slowConfigStore is a store whose lists of the configuration are slow.
type slowConfigStore struct {
	*memoryStore
	lists, cancelled atomic.Int64
}

func (s *slowConfigStore) List(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
	if kind != "config" {
		return s.memoryStore.List(ctx, kind)
	}
	s.lists.Add(1)
	select {
	case <-time.After(4 * roleInterval):
		return s.memoryStore.List(ctx, kind)
	case <-ctx.Done():
		s.cancelled.Add(1)
		return nil, 0, ctx.Err()
	}
}

// All daemons are killed and start again. The list of the endpoints arrives first; that
// of the configuration, which is larger, takes longer. With a list of endpoints a daemon
// doesn't watch the store in its first second. If that cancelled the list of the
// configuration, no daemon would have one for that second and all callers would be
// refused: 2,028 refusals in 1.5 s at 195 daemons.
func TestListOfTheConfigurationIsNotCancelledByThatOfTheEndpoints(t *testing.T) {
	f := newFleet(t, 0)
	store := &slowConfigStore{memoryStore: f.store}
	f.addWith(store, func(*Node) {})
	f.until("a configuration", func(n *Node) bool { return n.Table() != nil })
	assert.Equal(t, store.lists.Load(), int64(1))
	assert.Equal(t, store.cancelled.Load(), int64(0))
}
