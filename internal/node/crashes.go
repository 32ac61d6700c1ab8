package node

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// crashGuard is what this daemon knows of endpoints' crashGuard, and which requests are
// held for them. It implements relay.Guard.
type crashGuard struct {
	node  *Node
	table *quarantine.Table
	watch *ends.Watch
}

func newCrashGuard(n *Node) *crashGuard {
	c := &crashGuard{node: n, table: quarantine.NewTable(random().Uint64() | 1)}
	c.watch = ends.New(ends.Options{
		Table:   c.table,
		Now:     n.clock.Now,
		Listens: n.pool.Listens,
		State:   func(id fleet.EndpointID) (bool, bool) { return n.endpoints.state(id) },
		Ended:   c.ended,
		Changed: c.changed,
	})
	return c
}

// storeReadInterval is the time between two looks whether what is kept should be read.
const storeReadInterval = time.Second

// readStored reads what another part of the fleet has kept, when a hub has learned of
// crashes: daemons that are cut off from the others but not from the store would
// send on what the others hold.
func (c *crashGuard) readStored(ctx context.Context) {
	var read quarantine.Position
	pause.Every(ctx, storeReadInterval, func() {
		at := c.table.Position()
		if at.Seq == read.Seq || c.node.gathering() || !c.node.watch.watcher() {
			return
		}
		read = at
		kept, err := stored[limitsCheckpoint](c.node.platform.Store.Get(ctx, limitsKind, limitsName))
		if err == nil {
			c.add(kept.Crashes)
		}
	})
}

// add takes crashes that were told or kept.
func (c *crashGuard) add(all []quarantine.Crash) {
	if len(all) > 0 {
		c.changed(c.table.Add(c.node.clock.Now(), all...))
	}
}

func (c *crashGuard) ended(id fleet.EndpointID, crash *quarantine.Crash) {
	c.node.metrics.crashed(crash.Void)
	ends.LogEnd(c.node.logFor("quarantine"), id, crash)
}

func (c *crashGuard) changed(what quarantine.Change) {
	if len(what.Held)+len(what.Released) > 0 { // seldom, and it is asked with each answer
		ends.LogChange(c.node.logFor("quarantine"), c.table, what)
	}
}

// HeldFor implements relay.Guard.
func (c *crashGuard) HeldFor(key func() quarantine.Key) time.Duration {
	if c.table.HeldCount() == 0 { // nearly always: the clock is a system call
		return 0
	}
	return c.table.Held(c.node.clock.Now(), key)
}

// Ran implements relay.Guard.
func (c *crashGuard) Ran(e *roster.Endpoint, sent time.Time, key func() quarantine.Key) {
	if c.table.CrashCount() == 0 {
		return
	}
	now := c.node.clock.Now()
	c.changed(c.table.Ran(now, now.Add(-time.Since(sent)), quarantine.IncarnationOf(e.ID, e.StartedAt), key))
}

// state reports whether an endpoint is listed, and whether it has said that it
// leaves.
func (d *endpointList) state(id fleet.EndpointID) (listed, leaving bool) {
	all, _ := d.list()
	for i := range all {
		if all[i].ID == id {
			return true, all[i].Draining
		}
	}
	return false, false
}
