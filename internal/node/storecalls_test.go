package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// failingStore is a store whose reads all fail with one error.
type failingStore struct {
	objects.Store
	err error
}

func (f failingStore) Get(context.Context, string, string) (objects.Object, error) {
	return objects.Object{}, f.err
}

// Operators look at the results of store calls first: an outage, a store that refuses
// this machine and a conflict must be told apart.
func TestStoreCallsAreCountedByResult(t *testing.T) {
	n := newFleet(t, 1).nodes[0]
	for result, err := range map[string]error{
		"ok":         nil,
		"conflict":   objects.ErrConflict,
		"not-found":  fmt.Errorf("read: %w", objects.ErrNotFound),
		"gone":       objects.ErrGone,
		"cancelled":  context.Canceled,
		"refused":    verdict.Wrap(verdict.NotRun, errors.New("status 503")),
		"unanswered": context.DeadlineExceeded,
	} {
		c := &countedStore{store: failingStore{err: err}, metrics: n.metrics}
		_, got := c.Get(t.Context(), "things", "one")
		assert.Assert(t, errors.Is(got, err))
		var text strings.Builder
		n.Metrics(&text)
		want := fmt.Sprintf(`cyclamenbeam_store_calls_total{call="get",kind="things",result=%q} 1`, result)
		assert.Assert(t, strings.Contains(text.String(), want), "no %s", want)
	}
}
