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

// orderPace is how often a decider asks for orders: how long ago it heard from the
// store is a part of its word.
type orderPace struct{ *watching }

// WatchTimeout implements follow.Timing.
func (p orderPace) WatchTimeout() time.Duration { return min(hubWait, p.watching.WatchTimeout()) }

// rolloutOrders is what a decider is told: orders by the store's follower, reports
// by the peers' goroutines.
type rolloutOrders struct {
	node *Node
	log  *logrus.Entry

	mu      sync.Mutex
	orders  map[string]ordered // by service
	listed  bool
	reports map[fleet.DaemonID][]rollout.Report
}

// ordered is an order as the store has it.
type ordered struct {
	object objects.Object
	seen   time.Time // the fleet's time
}

func newRolloutOrders(n *Node) *rolloutOrders {
	r := &rolloutOrders{node: n, log: n.say("roll-out")}
	r.forget()
	return r
}

// forget drops what was told to an earlier holding of the duties.
func (r *rolloutOrders) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders, r.listed = map[string]ordered{}, false
	r.reports = map[fleet.DaemonID][]rollout.Report{}
}

// Listed implements follow.Handler. An order that was there before this daemon
// looked is taken to be as old as a change of holders takes.
func (r *rolloutOrders) Listed(all []objects.Object, _ uint64) {
	seen := r.node.clock.Now().Add(-millis(r.node.settings.Bounds.LeaseMillis))
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.orders
	r.orders, r.listed = map[string]ordered{}, true
	for _, o := range all {
		at := seen
		if old, ok := before[o.Name]; ok {
			at = old.seen
		}
		r.orders[o.Name] = ordered{o, at}
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
		r.orders[name] = ordered{c.Object, seen}
	}
}

// Lost implements follow.Handler.
func (r *rolloutOrders) Lost(err error) { r.log.WithError(err).Warn("store lost") }

// Recovered implements follow.Handler.
func (r *rolloutOrders) Recovered(time.Time) { r.log.Info("store is back") }

// hear takes a daemon's reports.
func (r *rolloutOrders) hear(daemon fleet.DaemonID, all []rollout.Report) {
	if len(all) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports[daemon] = all
}

// heard returns the reports since the last call.
func (r *rolloutOrders) heard() map[fleet.DaemonID][]rollout.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.reports
	r.reports = map[fleet.DaemonID][]rollout.Report{}
	return out
}

// known returns the orders, and whether the store has told them.
func (r *rolloutOrders) known() (map[string]ordered, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.orders), r.listed
}
