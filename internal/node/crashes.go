package node

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// crashGuard keeps the crashes of endpoints that this daemon has seen or received, and
// which requests are held for them. It implements relay.Guard.
type crashGuard struct {
	node  *Node
	table *quarantine.Table
	watch *ends.Watch
}

func newCrashGuard(n *Node) *crashGuard {
	c := &crashGuard{node: n, table: quarantine.NewTable(random().Uint64() | 1)}
	c.table.SetTrials(c.tries)
	c.watch = ends.New(ends.Options{
		Table:     c.table,
		Now:       n.clock.Now,
		Listens:   n.listens,
		State:     func(id fleet.EndpointID) (bool, bool) { return n.endpoints.state(id) },
		Restarted: func(id fleet.EndpointID, startedAt time.Time) bool { return n.endpoints.restarted(id, startedAt) },

		Ended:   c.ended,
		Changed: c.changed,
	})
	return c
}

// listens reports whether a process listens at an endpoint's address. If the path to it, or to
// all endpoints, may be lost, that isn't known.
func (n *Node) listens(ctx context.Context, address string) (bool, error) {
	listening, err := n.pool.Listens(ctx, address)
	if listening || err != nil {
		return listening, err
	}
	if !n.paths.inOrder(ctx, address) || n.witnesses.anyConnects(ctx, n.paths.endpointAt(address)) {
		return false, ends.ErrUndecided
	}
	return false, nil
}

// storeReadInterval is how often the need to read the stored crashes is checked.
const storeReadInterval = time.Second

// readStored reads the stored crashes whenever this daemon, as a watcher, has new ones
// in its table: daemons that are partitioned from the others but can reach the store
// would otherwise dispatch requests that the others hold.
func (g *crashGuard) readStored(ctx context.Context) {
	var read quarantine.Position
	pause.Every(ctx, storeReadInterval, func() {
		at := g.table.Position()
		if at.Seq == read.Seq || g.node.gathering() || !g.node.watch.watcher() {
			return
		}
		read = at
		kept, err := stored[limitsCheckpoint](g.node.platform.Store.Get(ctx, limitsKind, limitsName))
		if err == nil {
			g.add(kept.Crashes)
		}
	})
}

// add takes crashes from other daemons or from the store.
func (g *crashGuard) add(all []quarantine.Crash) {
	if len(all) > 0 {
		g.changed(g.table.Add(g.node.clock.Now(), all...))
	}
}

func (g *crashGuard) ended(id fleet.EndpointID, crash *quarantine.Crash, settled int) {
	g.node.metrics.crashed(crash.Void)
	ends.LogEnd(g.node.logFor("quarantine"), id, crash, settled)
}

func (g *crashGuard) changed(change quarantine.Change) {
	if len(change.Held)+len(change.Released) > 0 { // rare, and this runs for each answer
		ends.LogChange(g.node.logFor("quarantine"), g.table, change)
	}
}

// HeldFor implements relay.Guard.
func (g *crashGuard) HeldFor(id func() *quarantine.Identity) time.Duration {
	if g.table.HeldCount() == 0 { // the usual case; reading the clock is a system call
		return 0
	}
	return g.table.Held(g.node.clock.Now(), id)
}

// Served implements relay.Guard.
func (g *crashGuard) Served(k quarantine.Key) { g.table.Served(k) }

// Holds implements relay.Guard.
func (g *crashGuard) Holds() uint64 { return g.table.Holds() }

// tries reports whether the trial of a part of prompts in a numbered interval is this daemon's.
func (g *crashGuard) tries(k quarantine.Key, interval int64) bool {
	m := g.node.joined.Load()
	if m == nil {
		return false
	}
	ids := m.ids()
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	best := rendezvous.Best(rendezvous.Key(fmt.Sprint(k, " ", interval)), names)
	return best >= 0 && ids[best] == g.node.id
}

// Responded implements relay.Guard.
func (g *crashGuard) Responded(e *roster.Endpoint, sent time.Time) {
	if g.table.CrashCount() == 0 {
		return
	}
	now := g.node.clock.Now()
	g.changed(g.table.Responded(now, now.Add(-time.Since(sent)), quarantine.IncarnationOf(e.ID, e.StartedAt)))
}

// Ran implements relay.Guard.
func (g *crashGuard) Ran(began time.Time, id func() *quarantine.Identity) {
	if g.table.CrashCount() == 0 {
		return
	}
	now := g.node.clock.Now()
	g.changed(g.table.Ran(now, now.Add(-time.Since(began)), id))
}

// state reports whether an endpoint is listed, and whether it is leaving.
func (l *endpointList) state(id fleet.EndpointID) (listed, leaving bool) {
	all, _ := l.list()
	for i := range all {
		if all[i].ID == id {
			return true, all[i].Draining
		}
	}
	return false, false
}

// address returns the address of a listed endpoint, empty if it isn't listed.
func (l *endpointList) address(id fleet.EndpointID) string {
	all, _ := l.list()
	for i := range all {
		if all[i].ID == id {
			return all[i].Address
		}
	}
	return ""
}

// restarted reports whether an endpoint is listed with a later start than the given one.
func (l *endpointList) restarted(id fleet.EndpointID, startedAt time.Time) bool {
	all, _ := l.list()
	for i := range all {
		if all[i].ID == id {
			return all[i].StartedAt.After(startedAt) && !startedAt.IsZero()
		}
	}
	return false
}
