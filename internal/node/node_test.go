package node

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// A change of the configuration is stored, and the store goes down before all but one
// daemon have read it. All daemons must get it.
func TestConfigurationReachesAllDaemonsWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitReady()
	_, err := f.store.Replace(t.Context(), "config", "main", 0, json.RawMessage("2"))
	assert.NilError(t, err)
	f.until("version 2", func(n *Node) bool { return n.Table().Version == 2 })
	f.store.setDown(true)
	f.nodes[0].config.apply([]byte("3"), "store")
	f.until("version 3 from peers", func(n *Node) bool { return n.Table().Version == 3 })
	f.store.setDown(false)
	f.until("version 3 stays", func(n *Node) bool { return n.Table().Version == 3 })
}

// A daemon starts while the store is down. It has no configuration until a peer sends
// one; before, it refuses requests as not-run and isn't ready.
func TestStartWithTheStoreDown(t *testing.T) {
	f := newFleet(t, 2)
	f.awaitReady()
	f.store.setDown(true)
	late := f.add()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if late.Table() != nil {
			return poll.Success()
		}
		return poll.Continue("no configuration yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, !late.Ready()) // it has no endpoints
	assert.Equal(t, sendRequest(late).refusal.Verdict, verdict.NotRun)
	f.store.setDown(false)
	f.until("ready", func(n *Node) bool { return n.Ready() })
	assert.Equal(t, sendRequest(late).body, "done")
}

// Requests are served by two daemons; a third one may hold the duties. Each window must
// be reported once, and together they must count every request.
func TestUsageOfAllDaemonsIsReported(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitReady()
	f.awaitHolder()
	const orders = 40
	for i := range orders {
		assert.Equal(t, sendRequest(f.nodes[i%2]).body, "done")
	}
	f.until("all reported", func(*Node) bool { return f.cloud.total("w") == orders })
	seen := map[uint64]bool{}
	for _, r := range f.cloud.reports {
		assert.Assert(t, !seen[r.Window], "window %d twice", r.Window)
		seen[r.Window] = true
	}
}

// A daemon is stopped. The others must not list it any more, and it must still serve
// callers that use an older list.
func TestLeavingDaemonIsNotListedAndStillServes(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitReady()
	f.nodes[2].grace.Store(int64(20 * time.Second))
	f.cancel[2]()
	gone := f.nodes[2].settings.Listen.Callers
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range f.nodes[:2] {
			addresses, _ := n.Entries("r", "a")
			for _, a := range addresses {
				if a == gone {
					return poll.Continue("still listed")
				}
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
	assert.Assert(t, !f.nodes[2].Ready())
	assert.Equal(t, sendRequest(f.nodes[2]).body, "done")
}

// The holder of the duties is stopped. It must release the lease, so that the next
// holder needn't wait until the lease expires.
func TestLeavingHolderReleasesTheDuties(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitReady()
	holder := -1
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, n := range f.nodes {
			n.peers.mu.Lock()
			holds := n.peers.holder.Daemon == n.id
			n.peers.mu.Unlock()
			if holds {
				holder = i
				return poll.Success()
			}
		}
		return poll.Continue("no daemon holds the duties")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
	f.nodes[holder].grace.Store(int64(20 * time.Second))
	f.cancel[holder]()
	released := func() bool {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		for _, l := range f.store.changes {
			if l.kind == "lease" && strings.Contains(string(l.change.Object.Spec), `"released":true`) {
				return true
			}
		}
		return false
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if released() {
			return poll.Success()
		}
		return poll.Continue("not released")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}
