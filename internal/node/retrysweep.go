package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
)

const (
	// sweepInterval is how often the records are checked.
	sweepInterval = 10 * time.Minute
	// recordLifetime is how long a record is kept: it is used within half a window, and the
	// instances of most old ones don't come back.
	recordLifetime = time.Minute
)

// retrySweeper removes the records of retry budgets and of streams' origins that no daemon will use. Only the duties'
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
		s.duties.node.sweepStreams(ctx)
		return func(time.Time) { s.busy = false }
	})
}

func (n *Node) sweepRetryRecords(ctx context.Context) {
	if err := n.sweepRecords(ctx, retryKind, n.isOldRetryRecord); err != nil {
		n.logFor("retries").WithError(err).Info("records not removed")
	}
}

// sweepStreams removes the stored origins of instances that are gone.
func (n *Node) sweepStreams(ctx context.Context) {
	if err := n.sweepRecords(ctx, streamsKind, n.isOldStreams); err != nil {
		n.logFor("daemon").WithError(err).Info("stored origins not removed")
	}
}

// sweepRecords removes the old objects of a kind.
func (n *Node) sweepRecords(ctx context.Context, kind string, old func(o *objects.Object) bool) error {
	all, _, err := n.platform.Store.List(ctx, kind)
	for _, o := range all {
		if err == nil && old(&o) {
			err = n.platform.Store.Delete(ctx, kind, o.Name)
		}
	}
	return err
}

func (n *Node) isOldRetryRecord(o *objects.Object) bool {
	var r retryRecord
	return json.Unmarshal(o.Spec, &r) != nil || n.clock.Now().Sub(r.At) > recordLifetime
}

// isOldStreams reports whether a record of origins is of no use. It is kept for as long as the time
// between two sweeps, since this daemon's clock may be wrong.
func (n *Node) isOldStreams(o *objects.Object) bool {
	var s origin.Streams
	return json.Unmarshal(o.Spec, &s) != nil || n.clock.Now().Sub(s.At) > sweepInterval
}
