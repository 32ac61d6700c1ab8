package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/follow"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// endpointList keeps the list of endpoints, from the store or from a hub.
type endpointList struct {
	node   *Node
	mu     sync.Mutex
	roster *roster.Roster
	all    []roster.Endpoint
	listed bool
	era    uint64 // the store's, see objects.EraOf
	first  uint64 // the store's revision up to which the first list was complete

	store *follow.Follower
	specs map[fleet.EndpointID]spec // as received from the store or a hub
	log   *feed.Log                 // for daemons that don't watch the store
	// unlogged means that the log lacks the newest list. It is added when another daemon
	// requests it, which happens at few daemons.
	unlogged   bool
	unreadable map[fleet.EndpointID]unreadableEntry
	deleted    map[fleet.EndpointID]uint64 // the last revision of entries that were deleted in the store
}

// unreadableEntry is an entry that can't be decoded as an endpoint.
type unreadableEntry struct {
	reason   string
	revision uint64
}

// spec is an endpoint's entry as it was received, with the store's revision.
type spec struct {
	text     []byte
	revision uint64
}

func newEndpointList(n *Node) *endpointList {
	d := &endpointList{
		node: n, roster: roster.New(), specs: map[fleet.EndpointID]spec{}, log: feed.NewLog(rand.Uint64() | 1),
		unreadable: map[fleet.EndpointID]unreadableEntry{}, deleted: map[fleet.EndpointID]uint64{},
	}
	d.store = follow.New(n.platform.Store, n.platform.EndpointKind, d, n.watch)
	return d
}

func (l *endpointList) run(ctx context.Context) {
	l.node.watch.run(ctx, l.store, l.upTo, l.due)
}

// due reports whether this daemon should watch the endpoints now.
func (l *endpointList) due() bool { return l.node.watch.due(l.hasList()) }

// graceCheckInterval is how often endpoints whose grace has ended are looked for.
const graceCheckInterval = 100 * time.Millisecond

func (l *endpointList) tick(ctx context.Context) {
	pause.Every(ctx, graceCheckInterval, func() {
		l.update(func(now time.Time) { l.roster.Tick(now) })
	})
}

// Listed implements follow.Handler.
func (l *endpointList) Listed(all []objects.Object, revision uint64) {
	l.update(func(now time.Time) {
		list := make([]roster.Endpoint, 0, len(all))
		for _, o := range all {
			if e, ok := l.decode(now, o); ok {
				list = append(list, e)
			}
		}
		l.noteEra(objects.EraOf(revision), len(list))
		l.node.origins.setEra(now, objects.EraOf(revision))
		l.roster.Replace(now, list)
		l.roster.Applied(revision)
		l.roster.CaughtUp()
		l.markListed()
	})
}

// noteEra notes the store's era. The lock is held.
func (l *endpointList) noteEra(era uint64, listed int) {
	if l.listed && era > l.era {
		l.node.logFor("store").WithFields(map[string]any{
			"era": era, "before": l.era, "endpoints_known": len(l.all), "endpoints_listed": listed,
			"reached": l.roster.Revision(), "config": l.node.config.current().Version,
		}).Warn("store came back from an older copy")
	}
	l.era = max(l.era, era)
}

// Era returns the store's era, 0 where it reports none.
func (l *endpointList) Era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// Changed implements follow.Handler.
func (l *endpointList) Changed(changes []objects.Change, revision uint64) {
	l.update(func(now time.Time) {
		for _, c := range changes {
			if l.outdated(c.Object) {
				continue
			}
			if c.Deleted {
				l.remove(now, c.Object)
				continue
			}
			if e, ok := l.decode(now, c.Object); ok {
				l.node.origins.seen(now, &e)
				l.roster.Upsert(e)
			}
		}
		l.roster.Applied(revision)
		l.roster.CaughtUp()
	})
}

// outdated reports whether a change is older than the one applied, or of an entry that
// was deleted: a watch that starts at a hub's revision returns changes again that the
// hub has already sent. The lock is held.
func (l *endpointList) outdated(o objects.Object) bool {
	id := fleet.EndpointID(o.Name)
	return o.Revision != 0 && (o.Revision < max(l.specs[id].revision, l.unreadable[id].revision) || o.Revision <= l.deleted[id])
}

// remove applies an entry's deletion in the store. Its revision is kept: an entry that is
// created again has a later one. The lock is held.
func (l *endpointList) remove(now time.Time, o objects.Object) {
	id := fleet.EndpointID(o.Name)
	if len(l.deleted) >= maxDeleted {
		clear(l.deleted)
	}
	l.deleted[id] = max(l.deleted[id], o.Revision, l.specs[id].revision)
	delete(l.unreadable, id)
	l.roster.Remove(now, id)
}

// maxDeleted bounds the deletions that are kept, those of some hours of an ordinary day.
// All are dropped at once: changes that are received again are seconds old.
const maxDeleted = 4096

// Lost implements follow.Handler.
func (l *endpointList) Lost(err error) { l.node.logFor("endpoints").WithError(err).Warn("store lost") }

// Recovered implements follow.Handler.
func (l *endpointList) Recovered(failed time.Time) {
	l.node.logFor("endpoints").Info("store is back")
	l.update(func(time.Time) { l.roster.OutageEnded(failed) })
}

// decode decodes an entry. One that can't be decoded is logged once for each reason,
// and the endpoint that it described before is removed.
func (l *endpointList) decode(now time.Time, o objects.Object) (roster.Endpoint, bool) {
	e, err := l.node.platform.DecodeEndpoint(now, o)
	if err != nil {
		l.markUnreadable(fleet.EndpointID(o.Name), unreadableEntry{err.Error(), o.Revision})
		return e, false
	}
	delete(l.unreadable, e.ID)
	l.specs[e.ID] = spec{text: o.Spec, revision: o.Revision}
	return e, true
}

func (l *endpointList) markUnreadable(id fleet.EndpointID, u unreadableEntry) {
	if l.unreadable[id].reason != u.reason {
		l.node.logFor("endpoints").WithFields(map[string]any{"entry": id, "reason": u.reason}).Error("endpoint entry not decoded")
	}
	if len(l.unreadable) >= maxUnreadable {
		clear(l.unreadable)
	}
	l.unreadable[id] = u
	l.roster.Withdraw(id)
}

// maxUnreadable bounds the unreadable entries that are kept; beyond it they are
// logged again.
const maxUnreadable = 1024

// applyHubList applies a hub's list, where this daemon doesn't watch the store. The
// hub has delayed removals that may be due to the store's outage. Where the hub is
// behind this daemon, only its entries that are newer count.
func (l *endpointList) applyHubList(u *feed.Update) {
	if u.Empty() {
		return
	}
	l.update(func(now time.Time) {
		var list []roster.Endpoint
		for _, it := range u.Items {
			o := objects.Object{Name: it.Name, Spec: it.Spec, Revision: it.Revision}
			if l.outdated(o) {
				continue
			}
			if e, ok := l.decode(now, o); ok {
				list = append(list, e)
			}
		}
		older := u.To.Revision < l.roster.Revision()
		if u.Full && !older {
			l.node.logFor("endpoints").WithField("listed", len(list)).Info("full list received from a hub")
			l.roster.Replace(now, list)
		}
		for _, e := range list {
			l.roster.Upsert(e)
		}
		for _, name := range u.Removed {
			l.roster.Remove(now, fleet.EndpointID(name))
		}
		if len(u.Keys) > 0 && !older {
			l.removeOthers(now, u.Keys)
		}
		if !older {
			l.node.origins.setEra(now, objects.EraOf(u.To.Revision))
			l.roster.Applied(u.To.Revision)
		}
		l.markListed()
	})
}

// markListed notes that there is a list. The lock is held.
func (l *endpointList) markListed() {
	if !l.listed {
		l.listed, l.first = true, l.roster.CompleteRevision()
	}
}

// firstListed returns the store's revision up to which the first list was complete, 0 if
// unknown.
func (l *endpointList) firstListed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

// versionsRecord returns the record of the versions that services had, as of the list's
// revision; ok is false if they aren't known.
func (l *endpointList) versionsRecord() (r origin.Record, ok bool) {
	config := l.node.config.recorded()               // read before the routes, which are then at least as new
	routes, _, _ := l.node.state.ResumableServices() // read before the history, which ends with a change of it
	l.mu.Lock()
	defer l.mu.Unlock()
	return origin.NewRecord(l.node.origins.history(), l.node.clock.Now(), l.roster.CompleteRevision(), routes, config)
}

// removeOthers removes the endpoints whose key is not among the given ones. The lock
// is held.
func (l *endpointList) removeOthers(now time.Time, keys []rendezvous.ShortKey) {
	present := make(map[rendezvous.ShortKey]bool, len(keys))
	for _, k := range keys {
		present[k] = true
	}
	for _, e := range l.all {
		if !present[rendezvous.ShortKeyOf(string(e.ID))] {
			l.roster.Remove(now, e.ID)
		}
	}
}

// hasList reports whether this daemon has a list of endpoints.
func (l *endpointList) hasList() bool {
	_, listed := l.list()
	return listed
}

// firstListLate reports whether this daemon has not been able to list the store for longer
// than firstListTimeout: then it requests the list from a hub.
func (l *endpointList) firstListLate() bool {
	return !l.hasList() && time.Since(l.node.started) > firstListTimeout && !l.node.watch.awaitsList()
}

// firstListTimeout is how long the first list of the store may take: a list of a
// thousand endpoints takes a weak machine's link a quarter of a second.
const firstListTimeout = 1500 * time.Millisecond

// upTo returns the store's revision up to which this daemon's list is complete,
// 0 where it has none.
func (l *endpointList) upTo() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.CompleteRevision()
}

// since returns the changes that lead from another daemon's position to this
// daemon's list.
func (l *endpointList) since(p feed.Position) feed.Update {
	if p == feed.NoUpdate {
		return feed.Update{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish()
	return l.log.Since(p)
}

// update changes the roster and publishes the new list.
func (l *endpointList) update(change func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(time.Now())
	if l.publishChanged() {
		l.markLeaves() // of endpoints that weren't listed before
	}
}

// applyLeaves marks the endpoints that have said in their answers that they leave.
func (l *endpointList) applyLeaves() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markLeaves()
}

// markLeaves is applyLeaves with the lock held.
func (l *endpointList) markLeaves() {
	for _, e := range l.node.state.Leaving() {
		l.roster.Leaves(e.ID, e.StartedAt)
	}
	l.publishChanged()
}

// publishChanged publishes the list if it has changed, and reports whether it did. The lock is
// held.
func (l *endpointList) publishChanged() bool {
	if !l.roster.Changed() {
		return false
	}
	all, _ := l.roster.Snapshot()
	l.forgetGone(all, l.logChanges(all))
	l.all = all
	l.unlogged = true
	l.pruneSpecs()
	l.node.state.SetEndpoints(time.Now(), all)
	l.node.paths.setEndpoints(all)
	l.node.origins.setEndpoints(time.Now(), all)
	l.node.startGate.hasEndpoints()
	l.node.metrics.invalid.retain(all)
	l.node.logFor("endpoints").WithField("listed", len(all)).Debug("list changed")
	return true
}

// logChanges logs which endpoints leave and which are gone, and returns the new list by
// ID. The lock is held.
func (l *endpointList) logChanges(now []roster.Endpoint) map[fleet.EndpointID]*roster.Endpoint {
	current := make(map[fleet.EndpointID]*roster.Endpoint, len(now))
	for i := range now {
		current[now[i].ID] = &now[i]
	}
	var gone, leaving []*roster.Endpoint
	for i := range l.all {
		old := &l.all[i]
		e := current[old.ID]
		switch {
		case e == nil:
			gone = append(gone, old)
		case e.Draining && !old.Draining:
			leaving = append(leaving, e)
		}
	}
	l.logEach("endpoint gone", gone)
	l.logEach("endpoint leaves", leaving)
	return current
}

// loggedChanges bounds the log lines for one change of the list at a daemon that doesn't
// watch the store: otherwise a thousand endpoints that leave are a thousand lines at
// each daemon of the fleet.
const loggedChanges = 16

// logEach logs a message for each of some endpoints.
func (l *endpointList) logEach(message string, all []*roster.Endpoint) {
	log := l.node.logFor("endpoints")
	logged := all
	if len(all) > loggedChanges && !l.node.watch.watcher() {
		logged = all[:loggedChanges]
	}
	for _, e := range logged {
		log.WithFields(map[string]any{"endpoint": e.ID, "spot": e.Spot}).Info(message)
	}
	if omitted := len(all) - len(logged); omitted > 0 {
		log.WithField("left_out", omitted).Info(message)
	}
}

// publish puts the newest list into the log for other daemons. The lock is held.
func (l *endpointList) publish() {
	if !l.unlogged {
		return
	}
	l.unlogged = false
	items := make([]feed.Item, len(l.all))
	for i := range l.all {
		s := l.specs[l.all[i].ID]
		items[i] = feed.Item{Name: string(l.all[i].ID), Spec: s.text, Revision: s.revision}
	}
	l.log.Set(l.roster.CompleteRevision(), items)
}

// pruneSpecs drops the entries of endpoints that are gone, once there are more than
// maxGoneSpecs. The lock is held.
func (l *endpointList) pruneSpecs() {
	if len(l.specs) <= len(l.all)+maxGoneSpecs {
		return
	}
	specs := make(map[fleet.EndpointID]spec, len(l.all))
	for i := range l.all {
		specs[l.all[i].ID] = l.specs[l.all[i].ID]
	}
	l.specs = specs
}

// maxGoneSpecs bounds the kept entries of endpoints that are gone: finding them takes a
// pass over the whole list.
const maxGoneSpecs = 256

// forgetGone closes idle connections to addresses that no endpoint has any more, and
// to endpoints that have restarted.
func (l *endpointList) forgetGone(now []roster.Endpoint, current map[fleet.EndpointID]*roster.Endpoint) {
	kept := make(map[string]bool, len(now))
	for i := range now {
		kept[now[i].Address] = true
	}
	for i := range l.all {
		e := &l.all[i]
		again := current[e.ID] != nil && e.RestartedAs(current[e.ID])
		if again || !kept[e.Address] {
			l.node.pool.CloseIdle(e.Address)
		}
	}
}

// list returns the endpoints, and whether a list has been received.
func (l *endpointList) list() ([]roster.Endpoint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all, l.listed
}
