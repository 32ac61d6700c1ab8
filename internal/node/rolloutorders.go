package node

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

// orderTiming is the timing of a decider's watch of the orders: it waits for hubWait at
// most, since the age of its last contact with the store is a part of its updates.
type orderTiming struct{ *watchPolicy }

// WatchTimeout implements follow.Timing.
func (p orderTiming) WatchTimeout() time.Duration { return min(hubWait, p.watchPolicy.WatchTimeout()) }

// rolloutOrders holds the decider's inputs: orders from the store's follower, reports
// from the peers' goroutines.
type rolloutOrders struct {
	node *Node
	log  *logrus.Entry

	mu      sync.Mutex
	orders  map[string]storedOrder // by service
	listed  bool
	reports map[fleet.DaemonID][]rollout.Report
}

// storedOrder is an order as the store has it.
type storedOrder struct {
	object objects.Object
	seen   time.Time // of the fleet's clock
}

func newRolloutOrders(n *Node) *rolloutOrders {
	r := &rolloutOrders{node: n, log: n.logFor("roll-out")}
	r.forget()
	return r
}

// forget drops what was received during an earlier acquisition of the duties.
func (r *rolloutOrders) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders, r.listed = map[string]storedOrder{}, false
	r.reports = map[fleet.DaemonID][]rollout.Report{}
}

// Listed implements follow.Handler. An order that was there before this daemon
// followed them is taken to be as old as a change of holders takes.
func (r *rolloutOrders) Listed(all []objects.Object, _ uint64) {
	seen := r.node.clock.Now().Add(-millis(r.node.settings.Bounds.LeaseMillis))
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.orders
	r.orders, r.listed = map[string]storedOrder{}, true
	for _, o := range all {
		at := seen
		if old, ok := before[o.Name]; ok {
			at = old.seen
		}
		r.orders[o.Name] = storedOrder{o, at}
	}
}

// Changed implements follow.Handler.
func (r *rolloutOrders) Changed(changes []objects.Change, _ uint64) {
	now := r.node.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		name := c.Object.Name
		if c.Deleted {
			delete(r.orders, name)
			continue
		}
		seen := now
		if old, ok := r.orders[name]; ok && string(old.object.Spec) == string(c.Object.Spec) {
			seen = old.seen
		}
		r.orders[name] = storedOrder{c.Object, seen}
	}
}

// Lost implements follow.Handler.
func (r *rolloutOrders) Lost(err error) { r.log.WithError(err).Warn("store lost") }

// Recovered implements follow.Handler.
func (r *rolloutOrders) Recovered(time.Time) { r.log.Info("store is back") }

// addReports takes a daemon's reports.
func (r *rolloutOrders) addReports(daemon fleet.DaemonID, all []rollout.Report) {
	if len(all) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports[daemon] = all
}

// takeReports returns the reports since the last call.
func (r *rolloutOrders) takeReports() map[fleet.DaemonID][]rollout.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.reports
	r.reports = map[fleet.DaemonID][]rollout.Report{}
	return out
}

// current returns the orders, and whether they have been listed.
func (r *rolloutOrders) current() (map[string]storedOrder, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.orders), r.listed
}
