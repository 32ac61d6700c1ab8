package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
)

// The store is restored from an older copy: the newest configuration is gone, the
// counter has gone back, and the operator writes the next version with a revision that
// was used before. At all daemons, also those that get the store's content from hubs
// alone, the version in force must not go back, and the next one must come into force;
// and the fleet must not list the store again and again.
func TestFleetKeepsItsVersionWhenTheStoreIsRestored(t *testing.T) {
	for _, daemons := range []int{3, exchange.SmallFleet + 2} {
		f := newFleet(t, daemons)
		f.awaitReady()
		f.awaitHolder()
		old := f.store.snapshot()
		f.write("2")
		f.until("version 2 in force", func(n *Node) bool { return n.config.current().Version == 2 })
		f.store.takeListCount()
		f.store.setDown(true)
		f.store.restore(old)
		f.store.setDown(false)
		f.until("daemons that watch have the new era", func(n *Node) bool {
			return n.watch.reliesOnHubs() || n.endpoints.Era() == 1
		})
		for _, n := range f.nodes {
			assert.Equal(t, n.config.current().Version, uint64(2))
			assert.Equal(t, sendRequest(n).body, "done")
		}
		f.write("3")
		f.until("version 3 in force", func(n *Node) bool { return n.config.current().Version == 3 })
		f.until("the duties have a holder in the new era", func(n *Node) bool {
			n.peers.mu.Lock()
			defer n.peers.mu.Unlock()
			return n.peers.holder.Token > 0
		})
		t.Logf("%d daemons: %d lists", daemons, f.store.takeListCount())
		f.stop()
		f.nodes, f.cancel, f.done = nil, nil, nil
	}
}

// write writes a configuration.
func (f *testFleet) write(text string) {
	f.t.Helper()
	_, err := f.store.Replace(f.t.Context(), "config", "main", 0, json.RawMessage(text))
	assert.NilError(f.t, err)
}

// BenchmarkStoreCallsAfterARestore counts the calls to the store in the five seconds
// before it is restored from an older copy, and in the five seconds after.
func BenchmarkStoreCallsAfterARestore(b *testing.B) {
	const span = 5 * time.Second
	for _, daemons := range []int{6, 80, 195} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, daemons)
				f.awaitReady()
				f.awaitHolder()
				f.write("2")
				f.until("version 2 in force", func(n *Node) bool { return n.config.current().Version == 2 })
				time.Sleep(startTime)
				old := f.store.snapshot()
				began := f.store.calls.Load()
				time.Sleep(span)
				before := f.store.calls.Load()
				f.store.restore(old)
				f.store.takeListCount()
				time.Sleep(span)
				b.ReportMetric(float64(before-began), "calls-before")
				b.ReportMetric(float64(f.store.calls.Load()-before), "calls-after")
				b.ReportMetric(float64(f.store.takeListCount()), "lists")
				f.stop()
				f.nodes, f.cancel, f.done = nil, nil, nil
			}
		})
	}
}
