package daemon

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/placement"
)

// Capacity bought more engines than the templates ask for replicas. Were
// nothing loaded there, the reserve would be cold when a data centre is lost.
// Once all hold something, the templates alone say how many there must be, or
// no engine would ever make room for another model.
func TestIdleEnginesGetModelsInProportion(t *testing.T) {
	diagnosis := fleet.ModelRef{Model: "diagnosis", Version: "2"}
	routes := fleet.ModelRef{Model: "routes", Version: "1"}
	older := fleet.ModelRef{Model: "diagnosis", Version: "1"}
	wants := func() []placement.Want {
		return []placement.Want{{Model: diagnosis, Min: 4}, {Model: routes, Min: 2}}
	}
	var list []fleet.Endpoint
	add := func(n int, state fleet.State, models ...fleet.ModelRef) {
		for range n {
			id := fleet.EndpointID(fmt.Sprint(len(list)))
			list = append(list, fleet.Endpoint{ID: id, Kind: fleet.EngineEndpoint, State: state, Models: models})
		}
	}
	add(4, fleet.Live, older)
	add(2, fleet.Live, routes)
	full := wants()
	useIdle(full, list)
	assert.DeepEqual(t, full, wants())

	add(3, fleet.Live)
	add(5, fleet.Leaving)
	idle := wants()
	useIdle(idle, list)
	assert.Equal(t, idle[0].Min, 6)
	assert.Equal(t, idle[1].Min, 3)
	useIdle(nil, list)
}
