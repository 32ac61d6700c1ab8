package scaling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

var start = time.Unix(1000, 0)

func service() *route.Service {
	return &route.Service{
		Engine: &route.Engine{Slots: 48},
		Scaling: &route.Scaling{
			Min: 1, Max: 10, BootTime: 4 * time.Second,
			OnDemandPrices: map[fleet.DataCentre]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
		},
	}
}

// simCloud starts ordered endpoints after the boot time.
type simCloud struct {
	planner       *Planner
	now           time.Time
	serving       map[Place]int
	pending       []pendingOrder
	noReclaimable bool // orders for reclaimable endpoints are refused
	rateLimits    []float64
	orderCount    int
}

type pendingOrder struct {
	Order
	readyAt time.Time
}

func newSimCloud() *simCloud {
	return &simCloud{planner: New(), now: start, serving: map[Place]int{
		{"a", false}: 5, {"b", false}: 5, {"c", false}: 4, {"d", false}: 4,
	}}
}

func (w *simCloud) step(requests int) {
	w.now = w.now.Add(500 * time.Millisecond)
	for _, c := range w.pending {
		if !w.now.Before(c.readyAt) {
			w.serving[c.Place] = max(w.serving[c.Place], c.Count)
		}
	}
	s := &Sample{Service: service(), Serving: w.serving, Slots: float64(requests), Seconds: 0.5, RateLimits: w.rateLimits, Requests: float64(requests)}
	for _, o := range w.planner.Plan(w.now, s) {
		w.orderCount++
		if w.noReclaimable && o.Spot {
			w.planner.Refused(w.now, o)
			continue
		}
		if o.Count < w.serving[o.Place] {
			w.serving[o.Place] = o.Count
			continue
		}
		w.pending = append(w.pending, pendingOrder{o, w.now.Add(4 * time.Second)})
	}
}

func (w *simCloud) run(seconds, requests int) {
	for range 2 * seconds {
		w.step(requests)
	}
}

func (w *simCloud) count(spot bool) int {
	n := 0
	for p, c := range w.serving {
		if p.Spot == spot {
			n += c
		}
	}
	return n
}

func TestSteadyLoadRunsOnReclaimableEndpoints(t *testing.T) {
	w := newSimCloud()
	w.run(10, 0)
	w.run(40, 110)
	assert.Equal(t, w.count(false), 0)
	assert.Assert(t, w.count(true) >= 10, "%d", w.count(true))
	assert.Assert(t, w.orderCount < 30, "%d orders", w.orderCount)
}

// Two data centres lose their reclaimable endpoints and no replacement is available.
// The others must carry the load, or on-demand endpoints must make up for it.
func TestReclaimWaveLeavesEnoughEndpoints(t *testing.T) {
	w := newSimCloud()
	w.run(30, 110)
	w.noReclaimable = true
	w.pending = nil
	w.serving[Place{"a", true}], w.serving[Place{"b", true}] = 0, 0
	w.run(7, 110)
	assert.Assert(t, w.count(true)+w.count(false) >= 6)
}

func TestLoadAboveReclaimableCapacityAddsOnDemandEndpoints(t *testing.T) {
	w := newSimCloud()
	w.run(20, 110)
	w.run(14, 900)
	assert.Assert(t, w.count(true)+w.count(false) >= 32, "%d and %d", w.count(true), w.count(false))
}

func TestDataCentreMaximumIsNeverExceeded(t *testing.T) {
	w := newSimCloud()
	w.noReclaimable = true
	w.run(20, 5000)
	for p, n := range w.serving {
		assert.Assert(t, n <= 10, "%v: %d", p, n)
	}
}

// Guards against a planner that takes over under load and releases endpoints before
// their replacements serve.
func TestNothingIsReleasedBeforeItsReplacementServes(t *testing.T) {
	w := newSimCloud()
	least := 18
	for range 40 {
		w.step(350)
		least = min(least, w.count(true)+w.count(false))
	}
	assert.Assert(t, least >= 9, "%d", least)
}

// The daemon with the scaling duty fails under heavy load, while endpoints start and
// stop. The new planner has measured no load yet. It must neither release endpoints
// that carry the load nor wait until their number settles.
func TestTakeoverUnderLoadKeepsEndpoints(t *testing.T) {
	w := newSimCloud()
	w.serving = map[Place]int{{"b", false}: 3}
	for _, dc := range []fleet.DataCentre{"a", "b", "c", "d"} {
		w.serving[Place{dc, true}] = 8
	}
	for i := range 24 {
		w.serving[Place{"a", true}] = 8 - i%2 // one fails and starts again
		w.step(700)
		n := w.count(true) + w.count(false)
		assert.Assert(t, n >= 33, "%d endpoints after %d steps", n, i+1)
	}
	for i := range 24 {
		w.serving[Place{"a", true}] -= i % 2
		w.step(1500)
	}
	assert.Assert(t, w.count(true)+w.count(false) > 36, "%d and %d", w.count(true), w.count(false))
}

// A data centre is full when on-demand endpoints start there to replace losses
// elsewhere. Its reclaimable ones must not be released to make room.
func TestReclaimableEndpointsAreNotReleasedForRoom(t *testing.T) {
	p := New()
	s := &Sample{Service: service(), Serving: map[Place]int{{"b", true}: 8, {"b", false}: 4}, Seconds: 0.5}
	assert.Equal(t, p.reclaimableRoom(s, "b"), 8)
	s.Serving[Place{"b", false}] = 1
	assert.Equal(t, p.reclaimableRoom(s, "b"), 9)
}

// Guards against endpoints that serve a request or two a second and count as whole ones.
func TestEndpointsWithARateLimitAreReplaced(t *testing.T) {
	w := newSimCloud()
	w.run(120, 200)
	before := w.planner.perDataCentre
	w.rateLimits = []float64{0.5, 1}
	w.run(10, 200)
	assert.Equal(t, w.planner.perDataCentre, before+1) // in each of four data centres, two of which may be lost
	w.rateLimits = nil
	w.run(60, 200)
	assert.Equal(t, w.planner.perDataCentre, before)
	w.rateLimits = []float64{10_000} // more than the endpoint would get
	w.run(10, 200)
	assert.Equal(t, w.planner.perDataCentre, before)
}
