package node

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// mixed starts a fleet of strong and weak machines in some data centres, at once and for
// the first time, so that its hubs relay to each other.
func mixed(t *testing.T, centres, strong, weak int) *fleetOf {
	f := newFleet(t, 0)
	for i := range centres * (strong + weak) {
		l := LimitSettings{Cores: 0.192, LinkMbps: 20}
		if i < centres*strong {
			l = LimitSettings{Cores: 1.6, LinkMbps: 1000}
		}
		f.addWith(f.store, func(n *Node) {
			n.settings.Daemon.DataCentre = fleet.DataCentre(fmt.Sprint("dc-", i%centres))
			n.settings.Limits = l
			n.id = newID(l)
		})
	}
	return f
}

// lists returns how often a daemon has listed the endpoints in the store.
func lists(n *Node) uint64 {
	name := `cyclamenbeam_store_calls_total{call="list",kind="endpoints",result="ok"}`
	return n.metrics.set.GetOrCreateCounter(name).Get()
}

// Guards against a start in which each daemon of a fleet lists all endpoints.
func TestWeakMachinesAreToldTheFirstList(t *testing.T) {
	f := mixed(t, 2, 2, 8)
	f.ready()
	for _, n := range f.nodes {
		if n.watching.weak() {
			assert.Equal(t, lists(n), uint64(0), "%s", n.settings.Daemon.Instance)
		}
	}
}

// Guards against daemons that don't hear of what those of another data centre let in.
func TestSpendingIsHeardThroughTwoHubs(t *testing.T) {
	f := mixed(t, 2, 2, 3)
	f.ready()
	last := f.nodes[len(f.nodes)-1]
	assert.Equal(t, string(order(last).body), "done")
	f.until("all hubs hear of the request", func(n *Node) bool {
		if !strings.HasPrefix(string(n.id), "9-") {
			return true
		}
		n.telling.mu.Lock()
		defer n.telling.mu.Unlock()
		for window := range last.begun.windows() {
			if n.telling.hub.Begun(window)["w"] == 1 {
				return true
			}
		}
		return false
	})
}
