package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

const (
	// checkpointName is the object that holds the usage windows that aren't frozen yet.
	checkpointName = "running"
	// checkpointInterval is how often it is written: if all daemons are killed at once,
	// the fleet loses the counts of this time, a fifth of a window.
	checkpointInterval = time.Second
)

// checkpointer writes and restores the counts of the usage windows that aren't
// frozen yet. Only the duties' goroutine uses it.
type checkpointer struct {
	duties   *duties
	restored bool
	busy     bool
	last     time.Time
}

// step reports whether the counts of the previous holder were restored, and starts
// the call that is due.
func (c *checkpointer) step(ctx context.Context, now time.Time) bool {
	switch {
	case c.busy:
	case !c.restored:
		c.read(ctx)
	case now.Sub(c.last) >= checkpointInterval:
		c.last = now
		c.write(ctx)
	}
	return c.restored
}

func (c *checkpointer) read(ctx context.Context) {
	c.busy = true
	c.duties.call(ctx, func() func(time.Time) {
		o, err := c.duties.node.platform.Store.Get(ctx, usageKind, checkpointName)
		return func(now time.Time) { c.restore(now, o, err) }
	})
}

func (c *checkpointer) restore(now time.Time, o objects.Object, err error) {
	c.busy = false
	if errors.Is(err, objects.ErrNotFound) {
		c.restored = true
		return
	}
	saved, err := stored[exchange.Checkpoint](o, err)
	if err != nil {
		c.duties.log.WithError(err).Warn("checkpoint of usage windows not read")
		return
	}
	c.restored = true
	c.duties.node.peers.withHub(func(h *exchange.Hub) { h.Restore(now, saved) })
}

// write saves the windows from the one before the current on.
func (c *checkpointer) write(ctx context.Context) {
	n := c.duties.node
	from := n.begun.number(n.clock.Now()) - 1
	var saved exchange.Checkpoint
	n.peers.withHub(func(h *exchange.Hub) { saved = h.Checkpoint(from) })
	text, err := json.Marshal(saved)
	if err != nil {
		c.duties.log.WithError(err).Error("checkpoint of usage windows not encoded")
		return
	}
	c.busy = true
	c.duties.call(ctx, func() func(time.Time) {
		err := n.put(ctx, usageKind, checkpointName, text)
		return func(time.Time) {
			c.busy = false
			if err != nil {
				c.duties.log.WithError(err).Info("checkpoint of usage windows not written")
			}
		}
	})
}
