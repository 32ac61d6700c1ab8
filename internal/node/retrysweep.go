package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

const (
	// sweepInterval is how often the records of retry budgets are checked.
	sweepInterval = 10 * time.Minute
	// recordLifetime is how long a record is kept: it is used within half a window, and the
	// instances of most old ones don't come back.
	recordLifetime = time.Minute
)

// retrySweeper removes the records of retry budgets that no daemon will use. Only the duties'
// goroutine uses it.
type retrySweeper struct {
	duties *duties
	last   time.Time
	busy   bool
}

func (s *retrySweeper) step(ctx context.Context, now time.Time) {
	if s.busy || now.Sub(s.last) < sweepInterval {
		return
	}
	s.busy, s.last = true, now
	s.duties.call(ctx, func() func(time.Time) {
		s.duties.node.sweepRetryRecords(ctx)
		return func(time.Time) { s.busy = false }
	})
}

func (n *Node) sweepRetryRecords(ctx context.Context) {
	all, _, err := n.platform.Store.List(ctx, retryKind)
	for _, o := range all {
		if err == nil && n.isOldRetryRecord(&o) {
			err = n.platform.Store.Delete(ctx, retryKind, o.Name)
		}
	}
	if err != nil {
		n.logFor("retries").WithError(err).Info("records not removed")
	}
}

func (n *Node) isOldRetryRecord(o *objects.Object) bool {
	var r retryRecord
	return json.Unmarshal(o.Spec, &r) != nil || n.clock.Now().Sub(r.At) > recordLifetime
}
