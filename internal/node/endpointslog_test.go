package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Guards against a line for each endpoint at each daemon when thousands leave at once.
func TestRemovalOfManyEndpointsLogsAFewLines(t *testing.T) {
	f := newFleet(t, exchange.HubCount+1)
	f.awaitReady()
	for _, n := range f.nodes {
		var text bytes.Buffer
		d := n.endpoints
		change := func(there bool) {
			d.update(func(now time.Time) {
				for i := range 1000 {
					id := fleet.EndpointID(fmt.Sprint("many-", i))
					if there {
						d.roster.Upsert(roster.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1"})
					} else {
						d.roster.Remove(now, id)
					}
				}
			})
		}
		change(true)
		n.log.SetOutput(&text)
		change(false)
		n.log.SetOutput(bytes.NewBuffer(nil))
		lines := strings.Count(text.String(), "endpoint gone")
		if n.watch.watcher() {
			assert.Equal(t, lines, 1000)
			continue
		}
		assert.Equal(t, lines, loggedChanges+1)
		assert.Assert(t, strings.Contains(text.String(), fmt.Sprintf("left_out=%d", 1000-loggedChanges)))
	}
}
