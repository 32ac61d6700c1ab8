package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/scaling"
)

// Guards against an endpoint that isn't replaced while its answers alone say that it leaves.
func TestScalingCountsEndpointsThatSayTheyLeave(t *testing.T) {
	f := newFleet(t, 1)
	f.awaitReady()
	n := f.nodes[0]
	duty := newScalingDuty(&duties{node: n})
	place := scaling.Place{}
	before := duty.sample(&route.Service{Name: "s"}, relay.Work{}, time.Second)
	assert.Equal(t, before.Serving[place], 1)
	assert.Equal(t, before.Leaving[place], 0)

	n.mergeRateLimits([]backpressure.Statement{{Endpoint: rendezvous.ShortKeyOf("e1"), Leaving: true, At: n.clock.Now()}})
	after := duty.sample(&route.Service{Name: "s"}, relay.Work{}, time.Second)
	assert.Equal(t, after.Serving[place], 0)
	assert.Equal(t, after.Leaving[place], 1)
}
