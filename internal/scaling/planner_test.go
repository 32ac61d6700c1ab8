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
			DataCentre: map[fleet.DataCentre]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
		},
	}
}

// world starts what is ordered after the start time.
type world struct {
	planner *Planner
	now     time.Time
	here    map[Place]int
	coming  []coming
	dry     bool // nothing reclaimable is to be had
	ordered int
}

type coming struct {
	Order
	at time.Time
}

func newWorld() *world {
	return &world{planner: New(), now: start, here: map[Place]int{
		{"a", false}: 5, {"b", false}: 5, {"c", false}: 4, {"d", false}: 4,
	}}
}

func (w *world) step(requests int) {
	w.now = w.now.Add(500 * time.Millisecond)
	for _, c := range w.coming {
		if !w.now.Before(c.at) {
			w.here[c.Place] = max(w.here[c.Place], c.Count)
		}
	}
	s := &Sample{Service: service(), Here: w.here, Slots: float64(requests), Seconds: 0.5}
	for _, o := range w.planner.Plan(w.now, s) {
		w.ordered++
		if w.dry && o.Spot {
			w.planner.Refused(w.now, o)
			continue
		}
		if o.Count < w.here[o.Place] {
			w.here[o.Place] = o.Count
			continue
		}
		w.coming = append(w.coming, coming{o, w.now.Add(4 * time.Second)})
	}
}

func (w *world) run(seconds, requests int) {
	for range 2 * seconds {
		w.step(requests)
	}
}

func (w *world) class(spot bool) int {
	n := 0
	for p, c := range w.here {
		if p.Spot == spot {
			n += c
		}
	}
	return n
}

func TestCalmLoadRunsOnReclaimableEndpoints(t *testing.T) {
	w := newWorld()
	w.run(10, 0)
	w.run(40, 110)
	assert.Equal(t, w.class(false), 0)
	assert.Assert(t, w.class(true) >= 10, "%d", w.class(true))
	assert.Assert(t, w.ordered < 30, "%d orders", w.ordered)
}

// Two data centres lose their reclaimable endpoints and none is to be had.
// What is left must carry the load, or on-demand ones fill the gap.
func TestWaveOfReclaims(t *testing.T) {
	w := newWorld()
	w.run(30, 110)
	w.dry = true
	w.coming = nil
	w.here[Place{"a", true}], w.here[Place{"b", true}] = 0, 0
	w.run(7, 110)
	assert.Assert(t, w.class(true)+w.class(false) >= 6)
}

func TestLoadAboveAllReclaimableEndpoints(t *testing.T) {
	w := newWorld()
	w.run(20, 110)
	w.run(14, 900)
	assert.Assert(t, w.class(true)+w.class(false) >= 32, "%d and %d", w.class(true), w.class(false))
}

func TestNeverAboveTheBoundOfADataCentre(t *testing.T) {
	w := newWorld()
	w.dry = true
	w.run(20, 5000)
	for p, n := range w.here {
		assert.Assert(t, n <= 10, "%v: %d", p, n)
	}
}

// The endpoints there carry a load when the duty's holder changes. None of
// them may be given back before others serve in their place.
func TestNothingIsGivenBackBeforeItsPlaceIsTaken(t *testing.T) {
	w := newWorld()
	least := 18
	for range 40 {
		w.step(350)
		least = min(least, w.class(true)+w.class(false))
	}
	assert.Assert(t, least >= 9, "%d", least)
}

// The duty's holder dies in the middle of a heavy day, while endpoints come and
// go. Its successor knows nothing of the load yet. It must neither give back
// what carries the load nor wait for the endpoints to stay the same.
func TestNewHolderUnderLoad(t *testing.T) {
	w := newWorld()
	w.here = map[Place]int{{"b", false}: 3}
	for _, dc := range []fleet.DataCentre{"a", "b", "c", "d"} {
		w.here[Place{dc, true}] = 8
	}
	for i := range 24 {
		w.here[Place{"a", true}] = 8 - i%2 // one fails and comes back
		w.step(700)
		n := w.class(true) + w.class(false)
		assert.Assert(t, n >= 33, "%d endpoints after %d steps", n, i+1)
	}
	for i := range 24 {
		w.here[Place{"a", true}] -= i % 2
		w.step(1500)
	}
	assert.Assert(t, w.class(true)+w.class(false) > 36, "%d and %d", w.class(true), w.class(false))
}

// A data centre is full when on-demand endpoints start there for what was lost
// elsewhere. Its reclaimable ones must not be given back to make room.
func TestNothingIsGivenBackForRoom(t *testing.T) {
	p := New()
	s := &Sample{Service: service(), Here: map[Place]int{{"b", true}: 8, {"b", false}: 4}, Seconds: 0.5}
	assert.Equal(t, p.room(s, "b"), 8)
	s.Here[Place{"b", false}] = 1
	assert.Equal(t, p.room(s, "b"), 9)
}
