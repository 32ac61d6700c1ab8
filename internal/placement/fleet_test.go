package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

const (
	testEngineRate = 100.0 // generated tokens a second of an engine
	testModelBytes = 10 << 30
	testWeightRate = 1 << 30 // bytes a second: a load takes ten seconds
)

var start = time.Unix(1_000_000, 0)

func ref(model, version string) fleet.ModelRef { return fleet.ModelRef{Model: model, Version: version} }

func want(model, version string, load float64) Want {
	return Want{Model: ref(model, version), Load: load, Bytes: testModelBytes}
}

// simFleet simulates engines that carry out a planner's orders.
type simFleet struct {
	now        time.Time
	p          *Planner
	rng        *rand.Rand
	engines    []Engine
	readyAt    map[Replica]time.Time
	loads      int
	unloads    int
	lastResult Result
}

// newFleet returns count engines in four data centres, with room for room models
// each.
func newFleet(count, room int) *simFleet {
	f := &simFleet{now: start, p: New(DefaultConfig(testEngineRate, testWeightRate)), readyAt: map[Replica]time.Time{}}
	f.rng = rand.New(rand.NewPCG(1, 1))
	for i := range count {
		id := fleet.EndpointID(fmt.Sprintf("e%d", i))
		f.engines = append(f.engines, Engine{ID: id, DataCentre: fleet.DataCentre("abcd"[i%4:][:1]), Capacity: room})
	}
	return f
}

// step advances the time by a second, plans, and carries out the orders.
func (f *simFleet) step(wants []Want) Result {
	f.now = f.now.Add(time.Second)
	f.lastResult = f.p.Plan(f.now, wants, f.engines)
	for _, o := range f.lastResult.Orders {
		f.apply(o)
	}
	for i := range f.engines {
		for k := range f.engines[i].Holds {
			f.advance(&f.engines[i], &f.engines[i].Holds[k])
		}
	}
	return f.lastResult
}

func (f *simFleet) apply(o Order) {
	e := &f.engines[slices.IndexFunc(f.engines, func(e Engine) bool { return e.ID == o.Engine })]
	at := slices.IndexFunc(e.Holds, func(h Held) bool { return h.Model == o.Model })
	switch {
	case o.Kind == engineapi.SetRole:
		e.Role = o.Role
	case o.Kind == engineapi.LoadModel && at < 0:
		f.loads++
		e.Holds = append(e.Holds, Held{Model: o.Model})
		f.readyAt[Replica{e.ID, o.Model}] = f.now.Add(20 * time.Second)
	case o.Kind == engineapi.UnloadModel && at >= 0:
		f.unloads++
		e.Holds = slices.Delete(e.Holds, at, at+1)
	}
}

// advance finishes a replica's load when its time has come, then ends and starts
// requests on it at random. A draining replica gets no new ones.
func (f *simFleet) advance(e *Engine, h *Held) {
	r := Replica{e.ID, h.Model}
	h.Ready = h.Ready || !f.now.Before(f.readyAt[r])
	if !h.Ready {
		return
	}
	h.Running = max(0, h.Running-f.rng.IntN(2))
	if !slices.Contains(f.lastResult.Drain, r) {
		h.Running = min(8, h.Running+f.rng.IntN(3))
	}
}

// count returns the number of replicas of m that are ready and not draining, by data
// centre.
func (f *simFleet) count(m fleet.ModelRef) map[fleet.DataCentre]int {
	n := map[fleet.DataCentre]int{}
	for _, e := range f.engines {
		for _, h := range e.Holds {
			if h.Model == m && h.Ready && !e.Leaving && !slices.Contains(f.lastResult.Drain, Replica{e.ID, m}) {
				n[e.DataCentre]++
			}
		}
	}
	return n
}

func total(n map[fleet.DataCentre]int) int {
	sum := 0
	for _, c := range n {
		sum += c
	}
	return sum
}

func (f *simFleet) settle(wants []Want) {
	for range 600 {
		f.step(wants)
	}
}
