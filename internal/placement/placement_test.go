package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A new version replaces an old one under load. Unloading the old one too early would
// cut off running requests or leave too few replicas for the load.
func TestVersionChangeKeepsEnoughServingAndCutsOffNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.IntRange(1, 3).Draw(t, "room")
		load := float64(rapid.IntRange(50, 450).Draw(t, "load"))
		f := newFleet(8, room)
		f.settle([]Want{want("m", "1", load)})
		w := want("m", "2", load)
		floor := w.floor(&f.p.cfg)
		for range 600 {
			before := running(f)
			res := f.step([]Want{w})
			for _, o := range res.Orders {
				if o.Kind == engineapi.UnloadModel {
					assert.Equal(t, before[Replica{o.Engine, o.Model}], 0)
				}
			}
			serving := total(f.count(ref("m", "1"))) + total(f.count(ref("m", "2")))
			assert.Assert(t, serving >= floor, "%d serve, floor %d", serving, floor)
		}
		assert.Equal(t, total(f.count(ref("m", "2"))), w.replicas(&f.p.cfg))
		assert.Equal(t, total(f.count(ref("m", "1"))), 0)
	})
}

func running(f *simFleet) map[Replica]int {
	n := map[Replica]int{}
	for _, e := range f.engines {
		for _, h := range e.Holds {
			n[Replica{e.ID, h.Model}] = h.Running
		}
	}
	return n
}

// An engine fails. Only its models are loaded again, on other engines, and no serving
// replica is moved: each needless load costs throughput of the weight store and
// starts with an empty prefix cache.
func TestOnlyLostReplicasAreLoadedAgain(t *testing.T) {
	wants := []Want{want("m", "1", 300), want("n", "1", 100), want("o", "1", 50)}
	f := newFleet(8, 3)
	f.settle(wants)
	before := f.loads
	for range 50 {
		assert.Equal(t, len(f.step(wants).Orders), 0)
	}
	lost := len(f.engines[0].Holds)
	f.engines = f.engines[1:]
	f.settle(wants)
	assert.Equal(t, f.loads-before, lost)
	assert.Equal(t, f.unloads, 0)
}

// Guards against all replicas of a model in one data centre: if that fails, the
// model's workspaces wait for a load.
func TestReplicasAreSpreadOverDataCentres(t *testing.T) {
	f := newFleet(12, 2)
	f.settle([]Want{want("m", "1", 300)}) // four replicas
	for _, n := range f.count(ref("m", "1")) {
		assert.Equal(t, n, 1)
	}
	// Only one data centre has room left, so both replicas are loaded there.
	f = newFleet(5, 1)
	f.engines = slices.DeleteFunc(f.engines, func(e Engine) bool { return e.DataCentre > "b" })
	f.engines[1].Holds = []Held{{Model: ref("n", "1"), Ready: true}}
	f.settle([]Want{want("n", "1", 10), want("m", "1", 150)})
	assert.DeepEqual(t, f.count(ref("m", "1")), map[fleet.DataCentre]int{"a": 2})
}

// Many models are missing at once, and the weight store can't deliver them all at
// once. A model that no replica serves comes first, then the one with the earliest
// NeedBy, whatever the order of the wants; one needed much later isn't loaded yet.
func TestLoadsAreOrderedByUrgencyWithinTheStoreRate(t *testing.T) {
	late, soon, far := want("late", "1", 200), want("soon", "1", 50), want("far", "1", 50)
	late.NeedBy = start.Add(20 * time.Minute)
	soon.NeedBy = start.Add(5 * time.Minute)
	far.NeedBy = start.Add(2 * time.Hour)
	f := newFleet(16, 2)
	var order []string
	var last time.Time
	for range 200 {
		for _, o := range f.step([]Want{far, late, soon, want("now", "1", 150)}).Orders {
			assert.Assert(t, f.now.Sub(last) >= 10*time.Second)
			last = f.now
			order = append(order, o.Model.Model)
		}
	}
	assert.DeepEqual(t, order, []string{"now", "now", "soon", "late", "late", "late"})
}

// The daemon that plans fails after its orders, or an order is lost. Its successor
// gives the same orders; a lost order is repeated after RetryAfter, not in every plan.
func TestSuccessorRepeatsOrdersAndLostOrdersAreRetried(t *testing.T) {
	wants := []Want{want("m", "1", 50)}
	wants[0].Bytes = 1 // the weight store is never busy
	f := newFleet(8, 2)
	first := f.p.Plan(start, wants, f.engines)
	assert.Equal(t, len(first.Orders), 1)
	assert.DeepEqual(t, New(f.p.cfg).Plan(start, wants, f.engines).Orders, first.Orders)
	assert.Equal(t, len(f.p.Plan(start.Add(time.Second), wants, f.engines).Orders), 0)
	assert.DeepEqual(t, f.p.Plan(start.Add(11*time.Second), wants, f.engines).Orders, first.Orders)
}

// An engine refuses a load, or never finishes it. Retrying on the same engine for ever
// would leave the model unserved.
func TestFailedAndStuckLoadsMoveToOtherEngines(t *testing.T) {
	wants := []Want{want("m", "1", 50)}
	f := newFleet(8, 2)
	r := Replica{f.p.Plan(start, wants, f.engines).Orders[0].Engine, ref("m", "1")}
	f.p.Failed(start, r)
	next := f.p.Plan(start.Add(11*time.Second), wants, f.engines).Orders[0]
	assert.Assert(t, next.Engine != r.Engine)
	i := slices.IndexFunc(f.engines, func(e Engine) bool { return e.ID == next.Engine })
	f.engines[i].Holds = []Held{{Model: next.Model}}
	now := start.Add(time.Minute)
	assert.Equal(t, len(f.p.Plan(now, wants, f.engines).Orders), 0)
	orders := f.p.Plan(now.Add(11*time.Minute), wants, f.engines).Orders
	assert.Equal(t, len(orders), 1)
	assert.Assert(t, orders[0].Engine != next.Engine)
}

// Engines under notice hold wanted models. These must be loaded on other engines before
// the notice ends, and nothing must be loaded on the leaving ones.
func TestLeavingEngineIsReplacedBeforeItStops(t *testing.T) {
	wants := []Want{want("m", "1", 50)}
	f := newFleet(2, 2)
	f.settle(wants)
	i := slices.IndexFunc(f.engines, func(e Engine) bool { return len(e.Holds) > 0 })
	f.engines[i].Leaving = true
	res := f.step(wants)
	assert.Equal(t, len(res.Orders), 1)
	assert.Assert(t, res.Orders[0].Engine != f.engines[i].ID)
	f.engines[1-i].Leaving = true
	assert.DeepEqual(t, f.step([]Want{want("n", "1", 50)}).Unplaced, []fleet.ModelRef{ref("n", "1")})
}

// An unwanted model stays loaded for a while where its room isn't needed; where it is
// needed, the model is drained at once and unloaded.
func TestUnwantedModelIsUnloadedWhenRoomIsNeeded(t *testing.T) {
	f := newFleet(1, 1)
	f.settle([]Want{want("old", "1", 10)})
	f.step(nil)
	assert.Equal(t, len(f.lastResult.Drain), 0)
	f.step([]Want{want("new", "1", 10)})
	assert.DeepEqual(t, f.lastResult.Drain, []Replica{{f.engines[0].ID, ref("old", "1")}})
	// The want is withdrawn and made again: the drain delay must start anew, since
	// routing may have sent requests in between.
	f.now = f.now.Add(time.Minute)
	f.step(nil)
	for range 5 {
		f.engines[0].Holds[0].Running = 0
		f.step([]Want{want("new", "1", 10)})
		assert.Equal(t, len(f.lastResult.Orders), 0)
	}
	f.settle([]Want{want("new", "1", 10)})
	assert.Equal(t, total(f.count(ref("new", "1"))), 1)
	for range 20 * 60 {
		f.step(nil)
	}
	assert.Equal(t, len(f.engines[0].Holds), 0)
}

// A role is set on an engine that has none, and never changed.
func TestRoleIsSetBeforeTheLoad(t *testing.T) {
	f := newFleet(2, 2)
	f.engines[0].Role = "prefill"
	w := want("m", "1", 10)
	w.Role = "decode"
	assert.DeepEqual(t, f.step([]Want{w}).Orders, []Order{
		{Engine: "e1", Kind: engineapi.SetRole, Role: "decode"},
		{Engine: "e1", Kind: engineapi.LoadModel, Model: ref("m", "1"), Role: "decode"},
	})
	w.Model, w.Role = fleet.ModelRef{Model: "n"}, "train"
	assert.DeepEqual(t, f.step([]Want{w}).Unplaced, []fleet.ModelRef{{Model: "n"}})
}

// A draining replica still runs a request, and another one has become idle. A planner
// that switched to the idle one in each plan would unload neither.
func TestDrainingContinuesWithTheSameReplica(t *testing.T) {
	f := newFleet(2, 1)
	old := func(running int) []Held { return []Held{{Model: ref("old", "1"), Ready: true, Running: running}} }
	f.engines[0].Holds, f.engines[1].Holds = old(1), old(2)
	wants := []Want{want("new", "1", 10)}
	assert.Equal(t, f.p.Plan(start, wants, f.engines).Drain[0].Engine, f.engines[0].ID)
	f.engines[1].Holds = old(0)
	assert.Equal(t, f.p.Plan(start.Add(time.Second), wants, f.engines).Drain[0].Engine, f.engines[0].ID)
}

// Two new versions need room in one plan. Each alone may replace an old replica; both
// together would leave fewer serving than the load takes.
func TestTwoNewVersionsInOnePlanKeepTheFloor(t *testing.T) {
	f := newFleet(3, 1)
	for i := range f.engines {
		f.engines[i].Holds = []Held{{Model: ref("m", "1"), Ready: true}}
	}
	res := f.p.Plan(start, []Want{want("m", "2", 150), want("m", "3", 150)}, f.engines)
	assert.Equal(t, len(res.Drain), 1)
}

// All replicas of a model are in one data centre, and the other one is full of unwanted
// models. Another replica in the first would be lost with the others if that data centre
// failed, so room must be made in the second one.
func TestRoomIsMadeInTheDataCentreThatLacksReplicas(t *testing.T) {
	f := newFleet(6, 1)
	f.engines = slices.DeleteFunc(f.engines, func(e Engine) bool { return e.DataCentre > "b" })
	f.engines[0].Holds = []Held{{Model: ref("m", "1"), Ready: true}}
	f.engines[2].Holds = []Held{{Model: ref("m", "1"), Ready: true}}
	f.engines[1].Holds = []Held{{Model: ref("old", "1"), Ready: true}}
	f.engines[3].Holds = []Held{{Model: ref("old", "1"), Ready: true}}
	f.engines = append(f.engines, Engine{ID: "free", DataCentre: "a", Capacity: 1})
	res := f.p.Plan(start, []Want{want("m", "1", 150)}, f.engines)
	assert.Equal(t, len(res.Orders), 0)
	assert.Equal(t, len(res.Drain), 1)
	assert.Equal(t, res.Drain[0].Model, ref("old", "1"))
}
