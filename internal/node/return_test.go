package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
)

// The store comes back from an older copy: the newest configuration is gone, the
// counter has gone back, and the operator writes the next version with a number
// that was given out before. At all daemons, also those that hear of the store from
// hubs alone, the version in force must not go back, and the next one come into
// force; and the store must not be listed by the whole fleet again and again.
func TestFleetThroughTheStoresReturn(t *testing.T) {
	for _, daemons := range []int{3, exchange.SmallFleet + 2} {
		f := newFleet(t, daemons)
		f.ready()
		f.held()
		old := f.store.copy()
		f.write("2")
		f.until("version 2 in force", func(n *Node) bool { return n.config.current().Version == 2 })
		f.store.lists()
		f.store.setDown(true)
		f.store.comeBack(old)
		f.store.setDown(false)
		f.until("the era is known to who watches", func(n *Node) bool {
			return n.watching.follows() || n.endpoints.Era() == 1
		})
		for _, n := range f.nodes {
			assert.Equal(t, n.config.current().Version, uint64(2))
			assert.Equal(t, order(n).body, "done")
		}
		f.write("3")
		f.until("version 3 in force", func(n *Node) bool { return n.config.current().Version == 3 })
		f.until("somebody holds the duties in the new era", func(n *Node) bool {
			n.telling.mu.Lock()
			defer n.telling.mu.Unlock()
			return n.telling.holder.Token > 0
		})
		t.Logf("%d daemons: %d lists", daemons, f.store.lists())
		f.stop()
		f.nodes, f.cancel, f.done = nil, nil, nil
	}
}

// write writes a configuration.
func (f *fleetOf) write(text string) {
	f.t.Helper()
	_, err := f.store.Replace(f.t.Context(), "config", "main", 0, json.RawMessage(text))
	assert.NilError(f.t, err)
}

// Calls to the store in the five seconds after it came back from an older copy, and
// in as long before. On the machine that the capacity page names: see there.
func BenchmarkStoreCallsAfterItsReturn(b *testing.B) {
	const span = 5 * time.Second
	for _, daemons := range []int{6, 80, 195} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, daemons)
				f.ready()
				f.held()
				f.write("2")
				f.until("version 2 in force", func(n *Node) bool { return n.config.current().Version == 2 })
				time.Sleep(startTime)
				old := f.store.copy()
				began := f.store.called.Load()
				time.Sleep(span)
				before := f.store.called.Load()
				f.store.comeBack(old)
				f.store.lists()
				time.Sleep(span)
				b.ReportMetric(float64(before-began), "calls-before")
				b.ReportMetric(float64(f.store.called.Load()-before), "calls-after")
				b.ReportMetric(float64(f.store.lists()), "lists")
				f.stop()
				f.nodes, f.cancel, f.done = nil, nil, nil
			}
		})
	}
}
