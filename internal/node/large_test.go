package node

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// newMixedFleet starts a fleet of strong and weak machines in some data centres, at once
// and for the first time, so that its hubs relay to each other.
func newMixedFleet(t *testing.T, centres, strong, weak int) *testFleet {
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

// endpointLists returns how often a daemon has listed the endpoints in the store.
func endpointLists(n *Node) uint64 {
	name := `cyclamenbeam_store_calls_total{call="list",kind="endpoints",result="ok"}`
	return n.metrics.set.GetOrCreateCounter(name).Get()
}

// Guards against a start in which each daemon of a fleet lists all endpoints.
func TestWeakMachinesGetTheFirstListFromHubs(t *testing.T) {
	f := newMixedFleet(t, 2, 2, 8)
	f.awaitReady()
	for _, n := range f.nodes {
		if n.watch.weak() {
			assert.Equal(t, endpointLists(n), uint64(0), "%s", n.settings.Daemon.Instance)
		}
	}
}

// Guards against daemons that don't receive what those of another data centre admitted.
func TestUsageReachesHubsOfOtherDataCentres(t *testing.T) {
	f := newMixedFleet(t, 2, 2, 3)
	f.awaitReady()
	last := f.nodes[len(f.nodes)-1]
	assert.Equal(t, string(sendRequest(last).body), "done")
	f.until("all hubs count the request", func(n *Node) bool {
		if !strings.HasPrefix(string(n.id), "9-") {
			return true
		}
		n.peers.mu.Lock()
		defer n.peers.mu.Unlock()
		for window := range last.begun.windows() {
			if n.peers.hub.RequestCounts(window)["w"] == 1 {
				return true
			}
		}
		return false
	})
}

// peerDialer dials a daemon's peers, some of which can be made unreachable.
type peerDialer struct {
	dial func(context.Context, string) (net.Conn, error)

	mu     sync.Mutex
	cutOff []string
	conns  map[string][]net.Conn
}

func interceptDial(n *Node) *peerDialer {
	s := &peerDialer{dial: n.peers.client.Dial, conns: map[string][]net.Conn{}}
	n.peers.client.Dial = s.dialPeer
	return s
}

func (d *peerDialer) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Contains(d.cutOff, address) {
		return nil, net.ErrClosed
	}
	c, err := d.dial(ctx, address)
	if err == nil {
		d.conns[address] = append(d.conns[address], c)
	}
	return c, err
}

func (d *peerDialer) cut(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutOff = addresses
	for _, address := range addresses {
		for _, c := range d.conns[address] {
			_ = c.Close()
		}
	}
}

// Guards against a data centre whose hubs don't answer, so that no other daemon receives
// its daemons' reports until the membership protocol has detected the failure.
func TestNextStrongestReplacesUnresponsiveHubs(t *testing.T) {
	f := newMixedFleet(t, 2, 3, 3)
	var way *peerDialer
	last := f.addWith(f.store, func(n *Node) {
		n.settings.Daemon.DataCentre = "dc-0"
		n.settings.Limits = LimitSettings{Cores: 0.192, LinkMbps: 20}
		n.id = newID(n.settings.Limits)
		way = interceptDial(n)
	})
	f.awaitReady()
	way.cut(peersOf(last.members.layout().own))
	at := time.Now().Add(100 * time.Millisecond)
	f.untilAmong("a hub of the other data centre has the daemon's report", func(n *Node) bool {
		if n.settings.Daemon.DataCentre == "dc-0" || !n.members.layout().isHub(n.id) {
			return false
		}
		n.peers.mu.Lock()
		defer n.peers.mu.Unlock()
		return n.peers.hub.ReceivedFromAll(at, []fleet.DaemonID{last.id})
	})
}

// untilAmong waits for a condition on any one of the daemons.
func (f *testFleet) untilAmong(what string, ok func(n *Node) bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if slices.ContainsFunc(f.nodes, ok) {
			return poll.Success()
		}
		return poll.Continue("%s: not yet", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestRoleIsAMetric(t *testing.T) {
	f := newMixedFleet(t, 1, 3, 1)
	f.awaitReady()
	roles := map[string]int{}
	for _, n := range f.nodes {
		var text strings.Builder
		n.Metrics(&text)
		for _, role := range []string{"watcher", "hub", "daemon"} {
			if strings.Contains(text.String(), fmt.Sprintf("cyclamenbeam_role{role=%q} 1", role)) {
				roles[role]++
			}
		}
		assert.Assert(t, strings.Contains(text.String(), "cyclamenbeam_hub{address="))
	}
	assert.Equal(t, roles["watcher"], 2)
	assert.Equal(t, roles["daemon"], 2)
}
